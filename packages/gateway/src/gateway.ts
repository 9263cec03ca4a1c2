/** Serves requests: admission, attempts, retries, and what the caller is told in the end. */
import type { Environment, Service } from "@mulberryseam/configuration";
import type { Logger, Metrics, Owner, Random, TimerService } from "@mulberryseam/foundation";
import {
    AttemptResult,
    type AttemptResultKind,
    createLinkBudget,
    createLoadCounter,
    createRetryBudget,
    type LinkBudget,
    type LoadCounter,
    mayAttemptAgain,
    Outcome,
    outcomeOf,
    type QueueRefusal,
    RefusalReason,
} from "@mulberryseam/traffic";
import type * as http from "node:http";
import * as stream from "node:stream/promises";
import { connectionHeaders, HeaderName, internalHeaders } from "./headers";
import type { LaneRequest, Slot } from "./lane";
import { prepareBody, type RequestBody } from "./requestBody";
import { readHead, type RequestHead } from "./requestHead";
import { createServiceLanes, type ServiceLanes } from "./serviceLanes";
import type { Hop, Tracing } from "./tracing";
import type { Attempt } from "./upstreamClient";
import { noteAnswer, noteDraining, type UpstreamState } from "./upstreamState";

/** Where the requests of a slot go. */
export interface OwnerRoute {
    server: string;
    token: number;
    /** Whether the server may be sent requests now. */
    isReady: boolean;
}

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
    route: (service: Service, slot: number) => OwnerRoute | undefined;
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

interface Exchange {
    head: RequestHead;
    body: RequestBody;
    request: http.IncomingMessage;
    response: http.ServerResponse;
    deadlineAt: number;
    hop: Hop;
    /** Aborted when the caller leaves. */
    caller: AbortController;
    attempts: AttemptResultKind[];
    excluded: string[];
    reason: string;
}

type SlotResult = Slot<UpstreamState> & { token: number | undefined; };

const firstPauseMilliseconds = 10;
const longestPauseMilliseconds = 100;
const routePollMilliseconds = 10;
const deadlineCheckMilliseconds = 50;
const loadSampleMilliseconds = 1000;
const idleAttemptShare = 0.5;
const millisecondsPerSecond = 1000;
const bitsPerMegabit = 1_000_000;

const statusOf = { [Outcome.notRun]: 503, [Outcome.unknown]: 502 } as const;

/**
 * Creates a gateway.
 *
 * @param options - what it works with
 * @param owner - ends its timers and connections
 * @returns a gateway with no environment in force
 */
export const createGateway = (options: GatewayOptions, owner: Owner): Gateway => {
    const { timers, metrics } = options;
    const budget = createRetryBudget();
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

    const pause = (milliseconds: number): Promise<void> =>
        new Promise(resolve => timers.onDelay(milliseconds, () => resolve()));

    const meter = (state: UpstreamState, rank: string, bytes: number): void => {
        if (state.region !== options.region) {
            links.get(state.region)?.onBytes(rank, bytes, timers.now());
        }
    };

    const laneRequestOf = (exchange: Exchange): LaneRequest => ({
        rank: exchange.head.rank.name,
        deadlineAt: exchange.deadlineAt,
        bytes: exchange.body.heldBytes,
        excluded: exchange.excluded,
        signal: exchange.caller.signal,
    });

    const acquirePool = async (exchange: Exchange, lanes: ServiceLanes): Promise<SlotResult | QueueRefusal> => {
        const slot = await lanes.pool.acquire(laneRequestOf(exchange));
        return slot.ok ? { ...slot.val, token: undefined } : slot.val;
    };

    // The owner may change while a request waits; it then goes to the lane of the new owner.
    const acquireOwner = async (exchange: Exchange, lanes: ServiceLanes): Promise<SlotResult | QueueRefusal> => {
        const slotNumber = exchange.head.slot ?? 0;
        while (timers.now() < exchange.deadlineAt && !exchange.caller.signal.aborted) {
            const route = options.route(lanes.service, slotNumber);
            const lane = route?.isReady === true ? lanes.server(route.server) : undefined;
            if (route === undefined || lane === undefined) {
                await pause(routePollMilliseconds);
                continue;
            }
            const slot = await lane.acquire(laneRequestOf(exchange));
            if (slot.err) {
                return slot.val;
            }
            const current = options.route(lanes.service, slotNumber);
            if (current?.isReady === true && current.server === route.server) {
                return { ...slot.val, token: current.token };
            }
            slot.val.release();
        }
        return { reason: RefusalReason.deadline, retryAfterMilliseconds: millisecondsPerSecond };
    };

    const headersFor = (exchange: Exchange, token: number | undefined, hop: Hop): Record<string, string | string[]> => {
        const headers: Record<string, string | string[]> = {};
        const dropped = [...connectionHeaders, ...internalHeaders, "host"];
        const listed = (exchange.request.headers.connection ?? "").toLowerCase().split(",").map(name => name.trim());
        for (const [name, value] of Object.entries(exchange.request.headers)) {
            if (value !== undefined && !dropped.includes(name) && !listed.includes(name)) {
                headers[name] = value;
            }
        }
        headers[HeaderName.service] = exchange.head.service.name;
        headers[HeaderName.rank] = exchange.head.rank.name;
        headers[HeaderName.requestIdentifier] = exchange.head.identifier;
        headers[HeaderName.deadline] = String(Math.max(1, Math.floor(exchange.deadlineAt - timers.now())));
        if (token !== undefined) {
            headers[HeaderName.slot] = String(exchange.head.slot);
            headers[HeaderName.token] = String(token);
        }
        hop.inject(headers as Record<string, string>);
        return headers;
    };

    // A deadline bounds the wait for an answer, not a body that is still on its way up.
    const watchAttempt = (exchange: Exchange, lanes: ServiceLanes, target: UpstreamState, abort: AbortController) => {
        const startedAt = timers.now();
        const { head } = exchange;
        const attemptEnd = head.isIdempotent && lanes.service.kind === "pool"
            ? startedAt + (exchange.deadlineAt - startedAt) * idleAttemptShare
            : exchange.deadlineAt;
        return timers.onInterval(deadlineCheckMilliseconds, () => {
            const isSending = !exchange.request.complete;
            const hasMoved = head.isIdempotent && head.slot !== undefined
                && options.route(lanes.service, head.slot)?.server !== target.upstream.name;
            if ((timers.now() >= attemptEnd && !isSending) || hasMoved) {
                abort.abort();
            }
        });
    };

    const noteAttempt = (attempt: Attempt, lanes: ServiceLanes, target: UpstreamState, startedAt: number): void => {
        const now = timers.now();
        const name = target.upstream.name;
        if (attempt.result === AttemptResult.answered) {
            lanes.ejection.onSuccess(name);
            noteAnswer(target, now - startedAt);
            lanes.onAnswered();
        }
        else if (attempt.result !== AttemptResult.refused) {
            lanes.ejection.onFailure(name, now);
        }
        else if (attempt.reason === "draining") {
            noteDraining(target, now);
        }
        else if (attempt.reason === "shedding") {
            target.window.onShed(now);
            lanes.onShed(now);
        }
    };

    const attemptOnce = async (exchange: Exchange, lanes: ServiceLanes, slot: SlotResult): Promise<Attempt> => {
        const target = slot.target;
        const hop = exchange.hop.child("attempt", { upstream: target.upstream.name, rank: exchange.head.rank.name });
        const abort = new AbortController();
        const leave = (): void => abort.abort();
        exchange.caller.signal.addEventListener("abort", leave, { once: true });
        const watch = watchAttempt(exchange, lanes, target, abort);
        const startedAt = timers.now();
        target.outstanding += 1;
        try {
            const attempt = await target.client.attempt({
                method: exchange.head.method,
                path: exchange.head.path,
                headers: headersFor(exchange, slot.token, hop),
                body: exchange.body.take(),
                signal: abort.signal,
            });
            noteAttempt(attempt, lanes, target, startedAt);
            hop.end({ result: attempt.result, reason: attempt.reason });
            meter(target, exchange.head.rank.name, Number(exchange.request.headers["content-length"] ?? 0));
            return attempt;
        }
        finally {
            watch.cancel();
            target.outstanding -= 1;
        }
    };

    const relayAnswer = async (exchange: Exchange, attempt: Attempt, target: UpstreamState): Promise<void> => {
        const { response, head } = exchange;
        const answer = attempt.answer;
        if (answer === undefined) {
            return;
        }
        const headers: http.OutgoingHttpHeaders = {};
        for (const [name, value] of Object.entries(answer.headers)) {
            if (value !== undefined && !connectionHeaders.includes(name)) {
                headers[name] = value;
            }
        }
        headers[HeaderName.outcome] = Outcome.answered;
        headers[HeaderName.instance] = options.instance;
        headers[HeaderName.requestIdentifier] = head.identifier;
        response.writeHead(answer.statusCode, headers);
        meter(target, head.rank.name, Number(answer.headers["content-length"] ?? 0));
        try {
            await stream.pipeline(answer.body, response);
        }
        catch (error) {
            // The head has gone out, so only a broken connection can tell the caller that the body is not whole.
            options.logger.warning("An answer was cut.", {
                service: head.service.name,
                reason: (error as Error).message,
            });
            metrics.count("answers.cut", 1, { service: head.service.name });
            response.destroy();
        }
    };

    const tell = (exchange: Exchange, refusal: QueueRefusal | undefined): void => {
        const { response, head } = exchange;
        const outcome = outcomeOf(exchange.attempts);
        if (response.headersSent || outcome === Outcome.answered) {
            return;
        }
        const retryAfter = Math.max(1, Math.ceil((refusal?.retryAfterMilliseconds ?? 0) / millisecondsPerSecond));
        const headers: http.OutgoingHttpHeaders = {
            [HeaderName.outcome]: outcome,
            [HeaderName.reason]: refusal?.reason ?? exchange.reason,
            [HeaderName.instance]: options.instance,
            [HeaderName.requestIdentifier]: head.identifier,
            "content-type": "text/plain",
        };
        if (outcome === Outcome.notRun) {
            headers["retry-after"] = String(retryAfter);
        }
        if (!exchange.request.complete) {
            headers.connection = "close";
        }
        response.writeHead(statusOf[outcome], headers);
        response.end(`${outcome}\n`);
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
        const isFree = attempt.result !== AttemptResult.lost;
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
            const slot = isKeyed ? await acquireOwner(exchange, lanes) : await acquirePool(exchange, lanes);
            queueHop.end();
            if ("reason" in slot) {
                return slot;
            }
            try {
                const attempt = await attemptOnce(exchange, lanes, slot);
                exchange.attempts.push(attempt.result);
                exchange.reason = attempt.reason;
                if (attempt.result === AttemptResult.answered) {
                    await relayAnswer(exchange, attempt, slot.target);
                    return undefined;
                }
                if (!wantsMore(exchange, attempt)) {
                    return undefined;
                }
            }
            finally {
                slot.release();
            }
            if (!isKeyed) {
                exchange.excluded = exchange.excluded.length < lanes.states.size / 2
                    ? [...exchange.excluded, slot.target.upstream.name]
                    : [];
            }
            await pause(pauseMilliseconds);
            pauseMilliseconds = Math.min(longestPauseMilliseconds, pauseMilliseconds * 2);
        }
    };

    const serve = async (exchange: Exchange): Promise<void> => {
        const startedAt = timers.now();
        budget.onRequest();
        if (exchange.head.slot !== undefined) {
            loads.onRequest(exchange.head.service.name, exchange.head.slot);
        }
        const refusal = await run(exchange);
        tell(exchange, refusal);
        countOutcome(exchange, startedAt);
    };

    const refuseHead = (response: http.ServerResponse, status: number, message: string): void => {
        response.writeHead(status, {
            [HeaderName.outcome]: Outcome.notRun,
            [HeaderName.instance]: options.instance,
            "content-type": "text/plain",
            "connection": "close",
        });
        response.end(`${message}\n`);
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const document = environment;
        if (document === undefined) {
            refuseHead(response, 503, "no environment is in force yet");
            return;
        }
        const head = readHead(request, document);
        if (head.err) {
            options.logger.information("A request was refused.", { status: head.val.status, reason: head.val.message });
            refuseHead(response, head.val.status, head.val.message);
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
