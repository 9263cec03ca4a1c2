/** Request handling: admission, attempts at upstreams, retries, and the response to the caller. */
import type * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as http from "node:http";
import * as attempts from "./attempts";
import type * as exchanges from "./exchange";
import * as requestBody from "./requestBody";
import * as requestHead from "./requestHead";
import * as responses from "./responses";
import * as serviceQueues from "./serviceQueues";
import * as slotAcquisition from "./slotAcquisition";
import * as slots from "./slots";
import type * as tracing from "./tracing";
import type * as upstreamClient from "./upstreamClient";
import type * as upstreamState from "./upstreamState";

/** Configures a gateway. */
export interface GatewayOptions {
    instance: string;
    region: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    metrics: foundation.Metrics;
    random: foundation.Random;
    tracing: tracing.Tracing;
    /** Returns the route to the owner of a key slot. */
    findRoute: slotAcquisition.FindRoute;
    /** Number of live instances that share the upstreams. */
    instanceCount: () => number;
}

/** Handles requests from callers. */
export interface Gateway {
    /** Puts an environment document in force. */
    setEnvironment: (environment: configuration.Environment) => void;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;
    /** Number of requests in flight. */
    inFlight: () => number;
    /** Returns the key slots that receive the most requests through this instance. */
    busiestSlots: traffic.LoadCounter["busiestSlots"];
    /** Bytes sent to and received from other regions. */
    crossRegionBytes: () => number;
}

const initialBackoffMilliseconds = 10;
const maxBackoffMilliseconds = 100;
const loadSampleIntervalMilliseconds = 1000;
const bitsPerMegabit = 1_000_000;

/** Creates the budgets of the paid links that connect the gateway's region, by remote region. */
const createLinkBudgets = (
    document: configuration.Environment,
    { region, instanceCount }: GatewayOptions,
): Map<string, traffic.LinkBudget> =>
    new Map(
        document.links.filter(link => link.between.includes(region)).map(link => {
            const remoteRegion = link.between[0] === region ? link.between[1] : link.between[0];
            const bitsPerSecond = link.megabitsPerSecond * bitsPerMegabit / instanceCount();
            const linkFractionOf = (rank: string): number =>
                document.ranks.find(entry => entry.name === rank)?.linkShare ?? 0;
            return [remoteRegion, traffic.createLinkBudget(bitsPerSecond, linkFractionOf)];
        }),
    );

/**
 * Creates a gateway.
 *
 * @param options - settings and dependencies
 * @param owner - disposal scope of the gateway's timers and connections
 * @returns a gateway with no environment in force
 */
export const createGateway = (options: GatewayOptions, owner: foundation.Owner): Gateway => {
    const { timers, metrics } = options;
    const acquireSlot = slotAcquisition.createAcquireSlot(timers, options.findRoute);
    const retryBudget = traffic.createRetryBudget();
    const sendAttempt = attempts.createSendAttempt(timers, options.findRoute, retryBudget.tryConsume);
    const loadCounter = traffic.createLoadCounter(timers.now());
    let environment: configuration.Environment | undefined;
    let serviceQueuesByName = new Map<string, serviceQueues.ServiceQueues>();
    let linkBudgets = new Map<string, traffic.LinkBudget>();
    let inFlight = 0;
    let previousLinkBytes = 0;

    const currentLinkBytes = (): number => [...linkBudgets.values()].reduce((sum, link) => sum + link.totalBytes(), 0);

    // A service that a new document does not change keeps its queues and the measured state of its upstreams.
    const queuesFor = (
        service: configuration.Service,
        document: configuration.Environment,
    ): serviceQueues.ServiceQueues => {
        const configurationText = JSON.stringify([service, document.ranks, document.regions]);
        const existing = serviceQueuesByName.get(service.name);
        if (existing !== undefined && existing.configurationText === configurationText) {
            return existing;
        }
        return serviceQueues.createServiceQueues({
            service,
            configurationText,
            environment: document,
            region: options.region,
            instanceCount: options.instanceCount(),
            timers,
            random: options.random,
            linkBudgetFor: region => linkBudgets.get(region),
        });
    };

    const setEnvironment = (document: configuration.Environment): void => {
        const previousQueues = serviceQueuesByName;
        previousLinkBytes += currentLinkBytes();
        environment = document;
        linkBudgets = createLinkBudgets(document, options);
        serviceQueuesByName = new Map(document.services.map(service => [service.name, queuesFor(service, document)]));
        // Requests in flight keep their connections, which close once the last of those requests completes.
        previousQueues.forEach((queues, name) => {
            if (serviceQueuesByName.get(name) !== queues) {
                void queues.close();
            }
        });
    };

    const addBytes = (state: upstreamState.UpstreamState, rank: string, bytes: number): void => {
        if (state.region !== options.region) {
            linkBudgets.get(state.region)?.onBytes(rank, bytes, timers.now());
        }
    };

    const relayResponse = async (
        exchange: exchanges.Exchange,
        attempt: upstreamClient.Attempt,
        target: upstreamState.UpstreamState,
    ): Promise<void> => {
        const service = exchange.head.service.name;
        addBytes(target, exchange.head.rank.name, Number(attempt.response?.headers["content-length"] ?? 0));
        const interruption = await responses.relayResponse(exchange, attempt, options.instance);
        if (interruption !== undefined) {
            options.logger.warning("The response to a caller was interrupted.", { service, reason: interruption });
            metrics.count("answers.cut", 1, { service });
        }
    };

    const recordOutcome = (exchange: exchanges.Exchange, startedAt: number): void => {
        const tags = { service: exchange.head.service.name, rank: exchange.head.rank.name };
        const outcome = traffic.outcomeOf(exchange.results);
        metrics.count("requests", 1, { ...tags, outcome });
        metrics.timing("requests.duration", timers.now() - startedAt, { ...tags, outcome });
        exchange.span.end({ outcome, ...tags });
    };

    // Work that certainly has not run is retried until the deadline; other retries are charged to the retry budget.
    const shouldRetry = (exchange: exchanges.Exchange, attempt: upstreamClient.Attempt): boolean => {
        const canRetry = traffic.canRetry({
            attempts: exchange.results,
            isIdempotent: exchange.head.isIdempotent,
            isBodyReplayable: exchange.body.isSendable(),
            remainingMilliseconds: exchange.deadlineAt - timers.now(),
        });
        const isBudgetExempt = attempt.result !== traffic.AttemptResult.lost || exchange.isRetryCharged;
        exchange.isRetryCharged = false;
        return canRetry && !exchange.callerAbort.signal.aborted && (isBudgetExempt || retryBudget.tryConsume());
    };

    const runAttempts = async (exchange: exchanges.Exchange): Promise<traffic.QueueRefusal | undefined> => {
        let backoffMilliseconds = initialBackoffMilliseconds;
        for (;;) {
            const queues = serviceQueuesByName.get(exchange.head.service.name);
            if (queues === undefined) {
                return { reason: traffic.RefusalReason.overload, retryAfterMilliseconds: 0 };
            }
            const isKeyed = queues.service.kind === "keyed";
            const queueSpan = exchange.span.startChild("queue");
            const slot = await acquireSlot(exchange, queues);
            queueSpan.end();
            if ("reason" in slot) {
                return slot;
            }
            try {
                const attempt = await sendAttempt(exchange, queues, slot);
                addBytes(slot.target, exchange.head.rank.name, Number(exchange.request.headers["content-length"] ?? 0));
                exchange.results.push(attempt.result);
                exchange.failureReason = attempt.reason;
                if (attempt.result === traffic.AttemptResult.answered) {
                    await relayResponse(exchange, attempt, slot.target);
                    return undefined;
                }
                if (!shouldRetry(exchange, attempt)) {
                    return undefined;
                }
            }
            finally {
                slot.release(exchange.results[exchange.results.length - 1] === traffic.AttemptResult.answered);
            }
            if (!isKeyed) {
                exchange.excludedUpstreams = exchange.excludedUpstreams.length < queues.upstreamStates.size / 2
                    ? [...exchange.excludedUpstreams, slot.target.upstream.name]
                    : [];
            }
            await foundation.pause(timers, backoffMilliseconds);
            backoffMilliseconds = Math.min(maxBackoffMilliseconds, backoffMilliseconds * 2);
        }
    };

    const serve = async (exchange: exchanges.Exchange): Promise<void> => {
        const startedAt = timers.now();
        retryBudget.onRequest();
        const { key, service } = exchange.head;
        if (service.kind === "keyed" && key !== undefined) {
            loadCounter.onRequest(service.name, slots.slotOf(key, service.keySlots));
        }
        const refusal = await runAttempts(exchange);
        responses.sendOutcome(exchange, refusal, options.instance);
        recordOutcome(exchange, startedAt);
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const document = environment;
        if (document === undefined) {
            responses.rejectRequest(response, 503, "no environment is in force yet", options.instance);
            return;
        }
        const head = requestHead.parseHead(request, document);
        if (head.err) {
            options.logger.information("Rejected an invalid request.", {
                status: head.val.status,
                reason: head.val.message,
            });
            responses.rejectRequest(response, head.val.status, head.val.message, options.instance);
            return;
        }
        const callerAbort = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                callerAbort.abort();
            }
        });
        const deadlineAt = timers.now() + head.val.deadlineMilliseconds;
        const span = options.tracing.startSpan("request", request.headers);
        inFlight += 1;
        try {
            const body = await requestBody.prepareBody(request);
            const exchange: exchanges.Exchange = {
                head: head.val,
                body,
                request,
                response,
                deadlineAt,
                span,
                callerAbort,
                results: [],
                isRetryCharged: false,
                excludedUpstreams: [],
                failureReason: "",
            };
            await serve(exchange);
        }
        catch (error) {
            options.logger.debug("A request failed before it completed.", { reason: (error as Error).message });
            response.destroy();
        }
        finally {
            inFlight -= 1;
        }
    };

    const loadSampling = timers.onInterval(loadSampleIntervalMilliseconds, () => {
        loadCounter.sample(timers.now());
        serviceQueuesByName.forEach(queues => queues.setInstanceCount(options.instanceCount()));
        metrics.gauge("requests.inFlight", inFlight);
    });
    owner.onCleanup(async () => {
        loadSampling.cancel();
        for (const queues of serviceQueuesByName.values()) {
            await queues.close();
        }
    });

    return {
        setEnvironment,
        handle,
        inFlight: () => inFlight,
        busiestSlots: loadCounter.busiestSlots,
        crossRegionBytes: () => previousLinkBytes + currentLinkBytes(),
    };
};
