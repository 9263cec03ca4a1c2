/** Serves requests: admission, attempts, retries, and what the caller is told in the end. */
import type * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as http from "node:http";
import * as acquisition from "./acquisition";
import * as answers from "./answers";
import * as attempts from "./attempts";
import type * as exchanges from "./exchange";
import * as requestBody from "./requestBody";
import * as requestHead from "./requestHead";
import * as serviceLanes from "./serviceLanes";
import * as slots from "./slots";
import type * as tracing from "./tracing";
import type * as upstreamClient from "./upstreamClient";
import type * as upstreamState from "./upstreamState";

/** What a gateway works with. */
export interface GatewayOptions {
    instance: string;
    region: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    metrics: foundation.Metrics;
    random: foundation.Random;
    tracing: tracing.Tracing;
    /** Tells the owner of a slot. */
    route: acquisition.RouteOf;
    /** Number of live instances that share the upstreams. */
    instanceCount: () => number;
}

/** Serves requests. */
export interface Gateway {
    /** Puts an environment document in force. */
    setEnvironment: (environment: configuration.Environment) => void;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;
    /** Requests being served now. */
    inFlight: () => number;
    /** The busiest slots by this instance's requests. */
    busiestSlots: traffic.LoadCounter["busiestSlots"];
    /** Bytes sent to and got from other regions. */
    crossRegionBytes: () => number;
}

const firstPauseMilliseconds = 10;
const longestPauseMilliseconds = 100;
const loadSampleMilliseconds = 1000;
const bitsPerMegabit = 1_000_000;

/** Budgets of the paid links from the gateway's region, by the region at their other end. */
const createLinks = (
    document: configuration.Environment,
    { region, instanceCount }: GatewayOptions,
): Map<string, traffic.LinkBudget> =>
    new Map(
        document.links.filter(link => link.between.includes(region)).map(link => {
            const other = link.between[0] === region ? link.between[1] : link.between[0];
            const bitsPerSecond = link.megabitsPerSecond * bitsPerMegabit / instanceCount();
            const shareOf = (rank: string): number => document.ranks.find(entry => entry.name === rank)?.linkShare ?? 0;
            return [other, traffic.createLinkBudget(bitsPerSecond, shareOf)];
        }),
    );

/**
 * Creates a gateway.
 *
 * @param options - what it works with
 * @param owner - ends its timers and connections
 * @returns a gateway with no environment in force
 */
export const createGateway = (options: GatewayOptions, owner: foundation.Owner): Gateway => {
    const { timers, metrics } = options;
    const acquire = acquisition.createAcquire(timers, options.route);
    const budget = traffic.createRetryBudget();
    const attemptOnce = attempts.createAttemptOnce(timers, options.route, budget.tryConsume);
    const loads = traffic.createLoadCounter(timers.now());
    let environment: configuration.Environment | undefined;
    let services = new Map<string, serviceLanes.ServiceLanes>();
    let links = new Map<string, traffic.LinkBudget>();
    let inFlight = 0;
    let earlierLinkBytes = 0;

    const linkBytes = (): number => [...links.values()].reduce((sum, link) => sum + link.totalBytes(), 0);

    // What a change of the document leaves alone keeps its lanes, and with them all that was learned of its upstreams.
    const lanesFor = (
        service: configuration.Service,
        document: configuration.Environment,
    ): serviceLanes.ServiceLanes => {
        const basis = JSON.stringify([service, document.ranks, document.regions]);
        const before = services.get(service.name);
        if (before !== undefined && before.basis === basis) {
            return before;
        }
        return serviceLanes.createServiceLanes({
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

    const setEnvironment = (document: configuration.Environment): void => {
        const before = services;
        earlierLinkBytes += linkBytes();
        environment = document;
        links = createLinks(document, options);
        services = new Map(document.services.map(service => [service.name, lanesFor(service, document)]));
        // Requests under way keep the connections they began with; those close when the last one ends.
        before.forEach((lanes, name) => {
            if (services.get(name) !== lanes) {
                void lanes.close();
            }
        });
    };

    const meter = (state: upstreamState.UpstreamState, rank: string, bytes: number): void => {
        if (state.region !== options.region) {
            links.get(state.region)?.onBytes(rank, bytes, timers.now());
        }
    };

    const relay = async (
        exchange: exchanges.Exchange,
        attempt: upstreamClient.Attempt,
        target: upstreamState.UpstreamState,
    ): Promise<void> => {
        const service = exchange.head.service.name;
        meter(target, exchange.head.rank.name, Number(attempt.answer?.headers["content-length"] ?? 0));
        const cutReason = await answers.relayAnswer(exchange, attempt, options.instance);
        if (cutReason !== undefined) {
            options.logger.warning("An answer was cut.", { service, reason: cutReason });
            metrics.count("answers.cut", 1, { service });
        }
    };

    const countOutcome = (exchange: exchanges.Exchange, startedAt: number): void => {
        const tags = { service: exchange.head.service.name, rank: exchange.head.rank.name };
        const outcome = traffic.outcomeOf(exchange.attempts);
        metrics.count("requests", 1, { ...tags, outcome });
        metrics.timing("requests.duration", timers.now() - startedAt, { ...tags, outcome });
        exchange.hop.end({ outcome, ...tags });
    };

    // Attempts that certainly did not run go on until the deadline; one that may have run is repeated from the budget.
    const wantsMore = (exchange: exchanges.Exchange, attempt: upstreamClient.Attempt): boolean => {
        const mayRepeat = traffic.canRetry({
            attempts: exchange.attempts,
            isIdempotent: exchange.head.isIdempotent,
            isBodyReplayable: exchange.body.isIntact(),
            remainingMilliseconds: exchange.deadlineAt - timers.now(),
        });
        const isFree = attempt.result !== traffic.AttemptResult.lost || exchange.hasPaidRetry;
        exchange.hasPaidRetry = false;
        return mayRepeat && !exchange.caller.signal.aborted && (isFree || budget.tryConsume());
    };

    const run = async (exchange: exchanges.Exchange): Promise<traffic.QueueRefusal | undefined> => {
        let pauseMilliseconds = firstPauseMilliseconds;
        for (;;) {
            const lanes = services.get(exchange.head.service.name);
            if (lanes === undefined) {
                return { reason: traffic.RefusalReason.overload, retryAfterMilliseconds: 0 };
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
                if (attempt.result === traffic.AttemptResult.answered) {
                    await relay(exchange, attempt, slot.target);
                    return undefined;
                }
                if (!wantsMore(exchange, attempt)) {
                    return undefined;
                }
            }
            finally {
                slot.release(exchange.attempts[exchange.attempts.length - 1] === traffic.AttemptResult.answered);
            }
            if (!isKeyed) {
                exchange.excluded = exchange.excluded.length < lanes.states.size / 2
                    ? [...exchange.excluded, slot.target.upstream.name]
                    : [];
            }
            await foundation.pause(timers, pauseMilliseconds);
            pauseMilliseconds = Math.min(longestPauseMilliseconds, pauseMilliseconds * 2);
        }
    };

    const serve = async (exchange: exchanges.Exchange): Promise<void> => {
        const startedAt = timers.now();
        budget.onRequest();
        const { key, service } = exchange.head;
        if (service.kind === "keyed" && key !== undefined) {
            loads.onRequest(service.name, slots.slotOf(key, service.keySlots));
        }
        const refusal = await run(exchange);
        answers.tellOutcome(exchange, refusal, options.instance);
        countOutcome(exchange, startedAt);
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const document = environment;
        if (document === undefined) {
            answers.refuseRequest(response, 503, "no environment is in force yet", options.instance);
            return;
        }
        const head = requestHead.readHead(request, document);
        if (head.err) {
            options.logger.information("A request was refused.", { status: head.val.status, reason: head.val.message });
            answers.refuseRequest(response, head.val.status, head.val.message, options.instance);
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
            const body = await requestBody.prepareBody(request);
            const exchange: exchanges.Exchange = {
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
        busiestSlots: loads.busiestSlots,
        crossRegionBytes: () => earlierLinkBytes + linkBytes(),
    };
};
