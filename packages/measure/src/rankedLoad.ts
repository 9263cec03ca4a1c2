/** Generates load of several ranks concurrently and checks the reported outcomes against the upstreams' journals. */
import * as sites from "@mulberryseam/site";
import * as crypto from "node:crypto";
import * as undici from "undici";
import * as openLoopLoad from "./openLoopLoad";
import * as resultCounters from "./resultCounters";
import type * as scenario from "./scenario";

/** Configures the load of one rank. */
export interface RankLoad {
    rank: string;
    requestsPerSecond: number;
    workMilliseconds: number;
    bodyBytes: number;
    isIdempotent: boolean;
    /** The deadline that callers set; defaults to the deadline of the rank. */
    deadlineMilliseconds?: number;
}

/** The responses that callers of one rank received, and their measurements. */
export interface RankResult {
    rank: string;
    answeredPerSecond: number;
    measurements: scenario.Measurements;
    responses: sites.CallerResponse[];
}

/** Configures a load of several ranks. */
export interface RankedLoadOptions {
    seed: number;
    /** Returns the addresses at which the routers accept callers. Called for each request. */
    getAddresses: () => readonly string[];
    service: string;
    loads: readonly RankLoad[];
    durationMilliseconds: number;
    getTargetMilliseconds: (rank: string) => number;
}

/**
 * Runs the loads of all ranks concurrently.
 *
 * @param options - the load of each rank, its duration and its target
 * @returns the result of each rank
 */
export const runRankedLoad = async (options: RankedLoadOptions): Promise<RankResult[]> => {
    const runRank = async (load: RankLoad, rankIndex: number): Promise<RankResult> => {
        // Each rank has its own unlimited connections, so that ranks contend only at the instances.
        const dispatcher = new undici.Agent();
        const counters = resultCounters.createResultCounters(options.getTargetMilliseconds(load.rank));
        const responses: sites.CallerResponse[] = [];
        const body = load.bodyBytes > 0 ? crypto.randomBytes(load.bodyBytes) : undefined;
        await openLoopLoad.runOpenLoopLoad({
            seed: options.seed * 10 + rankIndex,
            requestsPerSecond: load.requestsPerSecond,
            durationMilliseconds: options.durationMilliseconds,
            send: async index => {
                const addresses = options.getAddresses();
                const response = await sites.sendRequest({
                    instance: addresses[index % addresses.length],
                    service: options.service,
                    rank: load.rank,
                    method: body === undefined ? "GET" : "POST",
                    body,
                    isIdempotent: load.isIdempotent,
                    workMilliseconds: load.workMilliseconds,
                    deadlineMilliseconds: load.deadlineMilliseconds,
                    dispatcher,
                });
                responses.push(response);
                counters.recordResponse(response);
            },
        });
        await dispatcher.close();
        const answeredPerSecond = counters.answeredCount() / (options.durationMilliseconds / 1000);
        return { rank: load.rank, answeredPerSecond, measurements: counters.measurements(), responses };
    };
    return Promise.all(options.loads.map(runRank));
};

/**
 * Compares a flood with the normal load before it.
 *
 * @param normalResults - the results under normal load
 * @param floodResults - the results during the flood
 * @returns the measurements by rank, with the ratio of the goodput during the flood to that under normal load
 */
export const compareWithNormalLoad = (
    normalResults: readonly RankResult[],
    floodResults: readonly RankResult[],
): scenario.Measurements => {
    const measurements: { [rank: string]: scenario.Measurements; } = {};
    for (const result of floodResults) {
        const normalRate = normalResults.find(entry => entry.rank === result.rank)?.answeredPerSecond ?? 0;
        const goodputRatio = normalRate === 0 ? 0 : resultCounters.round(result.answeredPerSecond / normalRate, 3);
        measurements[result.rank] = { ...result.measurements, keptShare: goodputRatio };
    }
    return measurements;
};

/**
 * Counts the executions by upstreams that contradict a request's idempotency or its reported outcome.
 *
 * @param site - the site whose upstreams keep journals
 * @param service - the name of the called service
 * @param results - the responses that callers received
 * @param loads - the loads, which tell idempotent ranks
 * @returns the number of non-idempotent requests that ran more than once, and of requests that ran although they were
 *   reported as not run
 */
export const countExecutionErrors = async (
    site: sites.Site,
    service: string,
    results: readonly RankResult[],
    loads: readonly RankLoad[],
): Promise<{ doubled: number; falseNotRun: number; }> => {
    const upstreams = site.document.services.find(entry => entry.name === service)?.upstreams ?? [];
    const executionCounts = new Map<string, number>();
    for (const upstream of upstreams) {
        for (const entry of await site.journal(upstream.name)) {
            executionCounts.set(entry.identifier, (executionCounts.get(entry.identifier) ?? 0) + 1);
        }
    }
    let doubled = 0;
    let falseNotRun = 0;
    for (const result of results) {
        const isIdempotent = loads.find(load => load.rank === result.rank)?.isIdempotent ?? true;
        for (const response of result.responses) {
            const executionCount = executionCounts.get(response.identifier) ?? 0;
            doubled += !isIdempotent && executionCount > 1 ? 1 : 0;
            falseNotRun += response.outcome === "not-run" && executionCount > 0 ? 1 : 0;
        }
    }
    return { doubled, falseNotRun };
};
