/** Load of several ranks at once, and the judgement of what callers were told against what upstreams ran. */
import * as sites from "@mulberryseam/site";
import * as crypto from "node:crypto";
import * as undici from "undici";
import * as clock from "./clock";
import type * as scenario from "./scenario";
import * as tallying from "./tally";

/** Load of one rank. */
export interface RankLoad {
    rank: string;
    perSecond: number;
    workMilliseconds: number;
    bodyBytes: number;
    isIdempotent: boolean;
    /** Deadline that callers set; by default the rank's. */
    deadlineMilliseconds?: number;
}

/** What one rank's callers saw. */
export interface RankResult {
    rank: string;
    answeredPerSecond: number;
    figures: scenario.Figures;
    answers: sites.CallerResponse[];
}

/** A load to run. */
export interface RankedLoadOptions {
    seed: number;
    /** Callers' addresses of the instances. */
    entries: () => readonly string[];
    service: string;
    loads: readonly RankLoad[];
    durationMilliseconds: number;
    targetOf: (rank: string) => number;
}

/**
 * Runs the load of every rank at once.
 *
 * @param options - the load
 * @returns a result for each rank
 */
export const runRankedLoad = async (options: RankedLoadOptions): Promise<RankResult[]> => {
    const runRank = async (load: RankLoad, rankNumber: number): Promise<RankResult> => {
        // Each rank has connections of its own, without limit, so that ranks meet only at the instances.
        const dispatcher = new undici.Agent();
        const tally = tallying.createTally(options.targetOf(load.rank));
        const answers: sites.CallerResponse[] = [];
        const body = load.bodyBytes > 0 ? crypto.randomBytes(load.bodyBytes) : undefined;
        await clock.runArrivals({
            seed: options.seed * 10 + rankNumber,
            perSecond: load.perSecond,
            durationMilliseconds: options.durationMilliseconds,
            send: async index => {
                const entries = options.entries();
                const answer = await sites.sendRequest({
                    instance: entries[index % entries.length],
                    service: options.service,
                    rank: load.rank,
                    method: body === undefined ? "GET" : "POST",
                    body,
                    isIdempotent: load.isIdempotent,
                    workMilliseconds: load.workMilliseconds,
                    deadlineMilliseconds: load.deadlineMilliseconds,
                    dispatcher,
                });
                answers.push(answer);
                tally.take(answer);
            },
        });
        await dispatcher.close();
        const answeredPerSecond = tally.answered() / (options.durationMilliseconds / 1000);
        return { rank: load.rank, answeredPerSecond, figures: tally.figures(), answers };
    };
    return Promise.all(options.loads.map(runRank));
};

/**
 * Compares a flood with the calm before it.
 *
 * @param calm - results of the calm
 * @param flood - results of the flood
 * @returns figures by rank, with the share of the calm's goodput that each rank kept
 */
export const compareWithCalm = (calm: readonly RankResult[], flood: readonly RankResult[]): scenario.Figures => {
    const figures: { [rank: string]: scenario.Figures; } = {};
    for (const result of flood) {
        const before = calm.find(entry => entry.rank === result.rank)?.answeredPerSecond ?? 0;
        const keptShare = before === 0 ? 0 : tallying.round(result.answeredPerSecond / before, 3);
        figures[result.rank] = { ...result.figures, keptShare };
    }
    return figures;
};

/**
 * Judges what callers were told.
 *
 * @param site - the site whose upstreams kept journals
 * @param service - the service that was called
 * @param results - what callers saw
 * @param loads - which ranks are idempotent
 * @returns how often a request that is not idempotent ran twice, and how often one ran that was told as not run
 */
export const judgeRuns = async (
    site: sites.Site,
    service: string,
    results: readonly RankResult[],
    loads: readonly RankLoad[],
): Promise<{ doubled: number; falseNotRun: number; }> => {
    const upstreams = site.document.services.find(entry => entry.name === service)?.upstreams ?? [];
    const runs = new Map<string, number>();
    for (const upstream of upstreams) {
        for (const entry of await site.journal(upstream.name)) {
            runs.set(entry.identifier, (runs.get(entry.identifier) ?? 0) + 1);
        }
    }
    let doubled = 0;
    let falseNotRun = 0;
    for (const result of results) {
        const isIdempotent = loads.find(load => load.rank === result.rank)?.isIdempotent ?? true;
        for (const answer of result.answers) {
            const count = runs.get(answer.identifier) ?? 0;
            doubled += !isIdempotent && count > 1 ? 1 : 0;
            falseNotRun += answer.outcome === "not-run" && count > 0 ? 1 : 0;
        }
    }
    return { doubled, falseNotRun };
};
