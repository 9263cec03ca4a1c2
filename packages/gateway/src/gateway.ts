/** Serves requests: admission, attempts, retries, and what the caller is told in the end. */
import type { Environment, Service } from "@mulberryseam/configuration";
import { type Logger, type Metrics, type Owner, pause, type Random, type TimerService } from "@mulberryseam/foundation";
import {
    AttemptResult,
    createLinkBudget,
    createLoadCounter,
    createRetryBudget,
    type LinkBudget,
    type LoadCounter,
    mayAttemptAgain,
    outcomeOf,
    type QueueRefusal,
    RefusalReason,
} from "@mulberryseam/traffic";
import type * as http from "node:http";
import { createAcquire, type RouteOf } from "./acquisition";
import { refuseRequest, relayAnswer, tellOutcome } from "./answers";
import { createAttemptOnce } from "./attempts";
import type { Exchange } from "./exchange";
import { prepareBody } from "./requestBody";
import { readHead } from "./requestHead";
import { createServiceLanes, type ServiceLanes } from "./serviceLanes";
import { slotOf } from "./slots";
import type { Tracing } from "./tracing";
import type { Attempt } from "./upstreamClient";
import type { UpstreamState } from "./upstreamState";

/** What a gateway works with. */
export interface GatewayOptions {
    instance: string;
    region: string;
    timers: TimerService;
    logger: Logger;
    metrics: Metrics;
    random: Random;
    tracing: Tracing;
    /** Tells the owner of a slot. */
    route: RouteOf;
    /** Number of live instances that share the upstreams. */
    instanceCount: () => number;
}

/** Serves requests. */
export interface Gateway {
    /** Puts an environment document in force. */
    setEnvironment: (environment: Environment) => void;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;
    /** Requests being served now. */
    inFlight: () => number;
    /** The busiest slots by this instance's requests. */
    busiestSlots: LoadCounter["busiest"];
    /** Bytes sent to and got from other regions. */
    crossRegionBytes: () => number;
}

const firstPauseMilliseconds = 10;
const longestPauseMilliseconds = 100;
const loadSampleMilliseconds = 1000;
const bitsPerMegabit = 1_000_000;

/**
 * Creates a gateway.
 *
 * @param options - what it works with
 * @param owner - ends its timers and connections
 * @returns a gateway with no environment in force
 */
export const createGateway = (options: GatewayOptions, owner: Owner): Gateway => {
    const { timers, metrics } = options;
    const acquire = createAcquire(timers, options.route);
    const budget = createRetryBudget();
    const attemptOnce = createAttemptOnce(timers, options.route, budget.take);
    const loads = createLoadCounter(timers.now());
    let environment: Environment | undefined;
    let services = new Map<string, ServiceLanes>();
    let links = new Map<string, LinkBudget>();
    let inFlight = 0;
    let earlierLinkBytes = 0;

    const linkBytes = (): number => [...links.values()].reduce((sum, link) => sum + link.totalBytes(), 0);

    const createLinks = (document: Environment): Map<string, LinkBudget> =>
        new Map(
            document.links.filter(link => link.between.includes(options.region)).map(link => {
                const other = link.between[0] === options.region ? link.between[1] : link.between[0];
                const bitsPerSecond = link.megabitsPerSecond * bitsPerMegabit / options.instanceCount();
                const shareOf = (rank: string): number =>
                    document.ranks.find(entry => entry.name === rank)?.linkShare ?? 0;
                return [other, createLinkBudget(bitsPerSecond, shareOf)];
            }),
        );

    // What a change of the document leaves alone keeps its lanes, and with them all that was learned of its upstreams.
    const lanesFor = (service: Service, document: Environment): ServiceLanes => {
        const basis = JSON.stringify([service, document.ranks, document.regions]);
        const before = services.get(service.name);
        if (before !== undefined && before.basis === basis) {
            return before;
        }
        return createServiceLanes({
            service,
            basis,
            environment: document,
            region: options.region,
            instances: options.instanceCount(),
            timers,
            random: options.random,
            linkTo: region => links.get(region),
        });
    };

    const setEnvironment = (document: Environment): void => {
        const before = services;
        earlierLinkBytes += linkBytes();
        environment = document;
        links = createLinks(document);
        services = new Map(document.services.map(service => [service.name, lanesFor(service, document)]));
        // Requests under way keep the connections they began with; those close when the last one ends.
        before.forEach((lanes, name) => {
            if (services.get(name) !== lanes) {
                void lanes.close();
            }
        });
    };

    const meter = (state: UpstreamState, rank: string, bytes: number): void => {
        if (state.region !== options.region) {
            links.get(state.region)?.onBytes(rank, bytes, timers.now());
        }
    };

    const relay = async (exchange: Exchange, attempt: Attempt, target: UpstreamState): Promise<void> => {
        const service = exchange.head.service.name;
        meter(target, exchange.head.rank.name, Number(attempt.answer?.headers["content-length"] ?? 0));
        const cutReason = await relayAnswer(exchange, attempt, options.instance);
        if (cutReason !== undefined) {
            options.logger.warning("An answer was cut.", { service, reason: cutReason });
            metrics.count("answers.cut", 1, { service });
        }
    };

    const countOutcome = (exchange: Exchange, startedAt: number): void => {
        const tags = { service: exchange.head.service.name, rank: exchange.head.rank.name };
        const outcome = outcomeOf(exchange.attempts);
        metrics.count("requests", 1, { ...tags, outcome });
        metrics.timing("requests.duration", timers.now() - startedAt, { ...tags, outcome });
        exchange.hop.end({ outcome, ...tags });
    };

    // Attempts that certainly did not run go on until the deadline; one that may have run is repeated from the budget.
    const wantsMore = (exchange: Exchange, attempt: Attempt): boolean => {
        const mayRepeat = mayAttemptAgain({
            attempts: exchange.attempts,
            isIdempotent: exchange.head.isIdempotent,
            isBodyIntact: exchange.body.isIntact(),
            remainingMilliseconds: exchange.deadlineAt - timers.now(),
        });
        const isFree = attempt.result !== AttemptResult.lost || exchange.hasPaidRetry;
        exchange.hasPaidRetry = false;
        return mayRepeat && !exchange.caller.signal.aborted && (isFree || budget.take());
    };

    const run = async (exchange: Exchange): Promise<QueueRefusal | undefined> => {
        let pauseMilliseconds = firstPauseMilliseconds;
        for (;;) {
            const lanes = services.get(exchange.head.service.name);
            if (lanes === undefined) {
                return { reason: RefusalReason.overload, retryAfterMilliseconds: 0 };
            }
            const isKeyed = lanes.service.kind === "keyed";
            const queueHop = exchange.hop.child("queue");
            const slot = await acquire(exchange, lanes);
            queueHop.end();
            if ("reason" in slot) {
                return slot;
            }
            try {
                const attempt = await attemptOnce(exchange, lanes, slot);
                meter(slot.target, exchange.head.rank.name, Number(exchange.request.headers["content-length"] ?? 0));
                exchange.attempts.push(attempt.result);
                exchange.reason = attempt.reason;
                if (attempt.result === AttemptResult.answered) {
                    await relay(exchange, attempt, slot.target);
                    return undefined;
                }
                if (!wantsMore(exchange, attempt)) {
                    return undefined;
                }
            }
            finally {
                slot.release(exchange.attempts[exchange.attempts.length - 1] === AttemptResult.answered);
            }
            if (!isKeyed) {
                exchange.excluded = exchange.excluded.length < lanes.states.size / 2
                    ? [...exchange.excluded, slot.target.upstream.name]
                    : [];
            }
            await pause(timers, pauseMilliseconds);
            pauseMilliseconds = Math.min(longestPauseMilliseconds, pauseMilliseconds * 2);
        }
    };

    const serve = async (exchange: Exchange): Promise<void> => {
        const startedAt = timers.now();
        budget.onRequest();
        const { key, service } = exchange.head;
        if (service.kind === "keyed" && key !== undefined) {
            loads.onRequest(service.name, slotOf(key, service.keySlots));
        }
        const refusal = await run(exchange);
        tellOutcome(exchange, refusal, options.instance);
        countOutcome(exchange, startedAt);
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const document = environment;
        if (document === undefined) {
            refuseRequest(response, 503, "no environment is in force yet", options.instance);
            return;
        }
        const head = readHead(request, document);
        if (head.err) {
            options.logger.information("A request was refused.", { status: head.val.status, reason: head.val.message });
            refuseRequest(response, head.val.status, head.val.message, options.instance);
            return;
        }
        const caller = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                caller.abort();
            }
        });
        const deadlineAt = timers.now() + head.val.deadlineMilliseconds;
        const hop = options.tracing.begin("request", request.headers);
        inFlight += 1;
        try {
            const body = await prepareBody(request);
            const exchange: Exchange = {
                head: head.val,
                body,
                request,
                response,
                deadlineAt,
                hop,
                caller,
                attempts: [],
                hasPaidRetry: false,
                excluded: [],
                reason: "",
            };
            await serve(exchange);
        }
        catch (error) {
            options.logger.debug("A request ended early.", { reason: (error as Error).message });
            response.destroy();
        }
        finally {
            inFlight -= 1;
        }
    };

    const sampling = timers.onInterval(loadSampleMilliseconds, () => {
        loads.sample(timers.now());
        services.forEach(lanes => lanes.setInstances(options.instanceCount()));
        metrics.gauge("requests.inFlight", inFlight);
    });
    owner.onCleanup(async () => {
        sampling.cancel();
        for (const lanes of services.values()) {
            await lanes.close();
        }
    });

    return {
        setEnvironment,
        handle,
        inFlight: () => inFlight,
        busiestSlots: loads.busiest,
        crossRegionBytes: () => earlierLinkBytes + linkBytes(),
    };
};
