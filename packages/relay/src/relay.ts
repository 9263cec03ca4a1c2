/**
 * The way of one request: route, body, attempts, answer. The upstream is chosen when an attempt is sent. A caller is
 * told that its request has not run only by the result of attempts that all ended as not run.
 */
import type * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import type * as http from "node:http";
import * as stream from "node:stream";
import * as admission from "./admission";
import * as attempts from "./attempt";
import * as choice from "./choice";
import * as headers from "./headers";
import * as requestBody from "./requestBody";
import * as retryWindow from "./retryWindow";
import * as upstreamHealth from "./upstreamHealth";
import * as upstreamPool from "./upstreamPool";

/** What is in force for new requests. */
export interface InForce {
    document: routing.RoutingDocument;
    table: routing.RouteTable;
}

/** What the relay needs. */
export interface RelayOptions {
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    pool: upstreamPool.UpstreamPool;
    /** Undefined until the first document is known. */
    inForce: () => InForce | undefined;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
    onKeyRequested: (service: string, key: number) => void;
    allowance: retryWindow.RetryAllowance;
    isStopping: () => boolean;
    onFinished: (result: FinishedRequest) => void;
}

/** How a request ended, for counters. */
export interface FinishedRequest {
    route: string;
    status: number;
    reason: string;
    milliseconds: number;
    attempts: number;
}

/** Passes requests on. */
export interface Relay {
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => void;
    /** Requests that have not been answered. */
    open: () => number;
}

/** Why a request ended without an upstream's answer. */
const Reason = {
    noDocument: "no document is known yet",
    noRoute: "no route",
    bodyTooLarge: "the body is too large",
    noUpstream: "no upstream is ready",
    noOwner: "no upstream owns the key",
    noRoom: "no answer is expected in time",
    noConnection: "no connection to an upstream is free",
    refused: "upstreams refused it",
    timeout: "the time limit has passed",
    lost: "the answer was lost",
    callerLeft: "the caller left",
} as const;

type ReasonText = typeof Reason[keyof typeof Reason];

/** Pause before an owner is looked up again, in milliseconds. */
const ownerPauseMilliseconds = 25;
/** Pause before a request goes again to an owner that refused it, in milliseconds. */
const sameOwnerPauseMilliseconds = 30;
/** Time until a caller should ask again when nothing is known of the load, in milliseconds. */
const unknownReturnMilliseconds = 250;
/** Longest time that a request waits for its key to get an owner, as a part of its route's target. */
const ownerWaitPart = 0.6;

interface RequestState {
    request: http.IncomingMessage;
    response: http.ServerResponse;
    route: routing.Route;
    service: string;
    isKeyed: boolean;
    key: number | undefined;
    requestIdentifier: string | undefined;
    arrivedAt: number;
    /** Time at which the caller, or the route, gives up. */
    endsAt: number;
    tried: Set<string>;
    attempts: number;
    mayHaveRun: boolean;
    isOver: boolean;
    current: attempts.Attempt | undefined;
    /** Bytes that the request and its answer are taken to have. */
    bytes: number;
    lastWaitMilliseconds: number;
}

type Selection =
    | { kind: "chosen"; target: upstreamPool.PooledUpstream; choice: choice.Choice; }
    | { kind: "none"; reason: ReasonText; waitMilliseconds: number; mayCome: boolean; };

/** Bytes of an ordinary answer with its headers. */
const usualAnswerBytes = 1200;

/**
 * Creates the relay.
 *
 * @param options - what it needs
 * @returns the relay
 */
export const createRelay = (options: RelayOptions): Relay => {
    const { timers, pool, log, random } = options;
    const windows = new Map<string, retryWindow.RetryWindow>();
    let openRequests = 0;

    const windowOf = (service: string): retryWindow.RetryWindow => {
        const window = windows.get(service) ?? retryWindow.createRetryWindow(options.allowance);
        windows.set(service, window);
        return window;
    };

    const answerHeaders = (extra: string[]): string[] =>
        options.isStopping() ? [...extra, "Connection", "close"] : extra;

    const record = (state: RequestState, status: number, reason: string): void => {
        const milliseconds = timers.now() - state.arrivedAt;
        const fields = {
            request: state.requestIdentifier,
            route: state.route.name,
            service: state.service,
            key: state.key,
            status,
            reason,
            attempts: state.attempts,
            tried: [...state.tried].join(","),
            milliseconds: Math.round(milliseconds),
            mayHaveRun: state.mayHaveRun,
            expectedWait: Math.round(state.lastWaitMilliseconds),
        };
        if (reason === "") {
            log.sample("request-answered", fields);
        }
        else {
            log.write("request-failed", fields);
        }
        options.onFinished({ route: state.route.name, status, reason, milliseconds, attempts: state.attempts });
    };

    const reply = (response: http.ServerResponse, status: number, extra: string[], text: string): void => {
        if (response.headersSent || response.destroyed) {
            return;
        }
        const body = Buffer.from(`${text}\n`);
        response.writeHead(status, answerHeaders([...extra, "Content-Length", String(body.length)]));
        response.end(body);
    };

    const fail = (state: RequestState, reason: ReasonText, waitMilliseconds: number): void => {
        if (state.isOver) {
            return;
        }
        state.isOver = true;
        const isTimeout = reason === Reason.timeout;
        const status = state.mayHaveRun ? (isTimeout ? 504 : 502) : 503;
        record(state, status, reason);
        const remaining = state.endsAt - timers.now();
        const comeBack = admission.returnMilliseconds(waitMilliseconds, remaining, random.fraction());
        const extra = status === 503 ? ["Retry-After", (comeBack / 1000).toFixed(3)] : [];
        reply(state.response, status, extra, reason);
    };

    const selectOwner = (state: RequestState, key: number): Selection => {
        const route = options.findOwner(state.service, key);
        const target = route === undefined
            ? undefined
            : pool.find(route.owner.identifier, route.owner.startedAt);
        if (target === undefined) {
            return { kind: "none", reason: Reason.noOwner, waitMilliseconds: unknownReturnMilliseconds, mayCome: true };
        }
        const option = pool.describe(target, state.bytes);
        const chosen = choice.choose([option], 0) as choice.Choice;
        if (pool.isFull(target)) {
            return {
                kind: "none",
                reason: Reason.noConnection,
                waitMilliseconds: chosen.waitMilliseconds,
                mayCome: false,
            };
        }
        return { kind: "chosen", target, choice: chosen };
    };

    const selectAny = (state: RequestState): Selection => {
        const usable = pool.usable(state.service);
        const untried = usable.filter(target => !state.tried.has(target.upstream.identifier));
        const open = (untried.length > 0 ? untried : usable).filter(target => !pool.isFull(target));
        const described = open.map(target => pool.describe(target, state.bytes));
        const chosen = choice.choose(described, random.fraction());
        const target = open[described.findIndex(option => option === chosen?.option)];
        if (chosen === undefined || target === undefined) {
            const reason = usable.length === 0 ? Reason.noUpstream : Reason.noConnection;
            return { kind: "none", reason, waitMilliseconds: unknownReturnMilliseconds, mayCome: false };
        }
        return { kind: "chosen", target, choice: chosen };
    };

    const select = (state: RequestState): Selection =>
        state.isKeyed && state.key !== undefined ? selectOwner(state, state.key) : selectAny(state);

    const finishStream = (state: RequestState, rest: http.IncomingMessage | undefined): void => {
        if (rest === undefined) {
            state.response.end();
            return;
        }
        stream.pipeline(rest, state.response, error => {
            if (error) {
                log.write("answer-broke-off", { request: state.requestIdentifier, reason: error.message });
            }
        });
    };

    const deliver = (state: RequestState, answer: attempts.UpstreamAnswer): void => {
        state.isOver = true;
        record(state, answer.status, "");
        const { response } = state;
        const kept = headers.passedOn(answer.rawHeaders, []);
        if (response.destroyed) {
            answer.rest?.destroy();
            return;
        }
        if (answer.isUnframed && answer.body.length > 0) {
            // The length is not known, so the answer must not claim one.
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(answer.status, [...kept, "Connection", "close"]);
            response.write(answer.body);
            finishStream(state, answer.rest);
            return;
        }
        if (answer.rest === undefined) {
            const hasBody = state.request.method !== "HEAD" && answer.status !== 204 && answer.status !== 304;
            const length = hasBody ? ["Content-Length", String(answer.body.length)] : [];
            response.writeHead(answer.status, answerHeaders([...kept, ...length]));
            response.end(answer.body);
            return;
        }
        response.writeHead(answer.status, answerHeaders([...kept, "Transfer-Encoding", "chunked"]));
        response.write(answer.body);
        finishStream(state, answer.rest);
    };

    const signOf = (end: attempts.AttemptEnd): upstreamHealth.AttemptSignValue => {
        if (end.kind === "answered") {
            return end.answer.status >= 500 ? upstreamHealth.AttemptSign.failed : upstreamHealth.AttemptSign.answered;
        }
        return end.kind === "notRun" && end.isShed
            ? upstreamHealth.AttemptSign.shed
            : upstreamHealth.AttemptSign.broken;
    };

    const send = async (
        state: RequestState,
        target: upstreamPool.PooledUpstream,
        body: attempts.AttemptOptions["body"],
    ): Promise<attempts.AttemptEnd> => {
        const { upstream, health } = target;
        const now = timers.now();
        const open = health.begin(now);
        state.attempts += 1;
        state.tried.add(upstream.identifier);
        const remaining = Math.max(1, Math.floor(state.endsAt - now));
        const attempt = attempts.startAttempt({
            connections: target.connections,
            host: upstream.host,
            port: upstream.port,
            method: state.request.method ?? "GET",
            path: state.request.url ?? "/",
            headers: [
                ...headers.passedOn(state.request.rawHeaders, [
                    platform.HeaderName.remainingMilliseconds,
                    platform.HeaderName.expectedUpstream,
                ]),
                "Request-Deadline-Ms",
                String(remaining),
                "Target-Instance",
                upstream.identifier,
            ],
            requestIdentifier: state.requestIdentifier,
            body,
            connectMilliseconds: pool.connectMilliseconds(target),
            onConnected: milliseconds => pool.onConnected(target, milliseconds),
        });
        state.current = attempt;
        const end = await attempt.end;
        state.current = undefined;
        if (end.kind === "unknown") {
            state.mayHaveRun = true;
        }
        const report = end.kind === "unknown" ? undefined : end.report;
        health.end(open, state.isOver ? upstreamHealth.AttemptSign.none : signOf(end), report, timers.now());
        if (end.kind !== "answered" && !state.isOver) {
            log.write("attempt-failed", {
                request: state.requestIdentifier,
                upstream: upstream.identifier,
                result: end.kind,
                reason: end.reason,
                attempt: state.attempts,
                queue: report === undefined ? undefined : report.running + report.waiting,
            });
        }
        return end;
    };

    /** Waits for an upstream that can take the request. */
    const awaitSelection = async (state: RequestState): Promise<Selection> => {
        const giveUpAt = Math.min(
            state.endsAt,
            state.arrivedAt + state.route.targetMilliseconds * ownerWaitPart + ownerPauseMilliseconds,
        );
        for (;;) {
            const selection = select(state);
            if (selection.kind === "chosen" || !selection.mayCome || state.isOver || timers.now() >= giveUpAt) {
                return selection;
            }
            await foundation.pause(timers, ownerPauseMilliseconds);
        }
    };

    const mayRetry = (state: RequestState, end: attempts.AttemptEnd, isIntact: boolean): boolean => {
        const mayRepeat = end.kind === "notRun" || state.route.kind === routing.RouteKind.idempotent;
        const wasSent = end.kind === "unknown" || (end.kind === "notRun" && end.isShed);
        const ran = end.kind === "unknown" && state.attempts >= state.route.maximumAttempts;
        return mayRepeat && isIntact && !ran && !state.isOver
            && (!wasSent || windowOf(state.service).take(timers.now()));
    };

    const run = async (state: RequestState, body: attempts.AttemptOptions["body"]): Promise<void> => {
        const isIntact = body.kind === "whole";
        while (!state.isOver) {
            const selection = await awaitSelection(state);
            if (state.isOver) {
                return;
            }
            if (selection.kind === "none") {
                fail(state, selection.reason, selection.waitMilliseconds);
                return;
            }
            const { expectedMilliseconds, waitMilliseconds } = selection.choice;
            state.lastWaitMilliseconds = waitMilliseconds;
            const remainingMilliseconds = state.endsAt - timers.now();
            const targetMilliseconds = state.arrivedAt + state.route.targetMilliseconds - timers.now();
            const expectation = { expectedMilliseconds, waitMilliseconds, remainingMilliseconds, targetMilliseconds };
            if (!admission.isServable(expectation)) {
                fail(state, Reason.noRoom, waitMilliseconds);
                return;
            }
            const end = await send(state, selection.target, body);
            if (state.isOver) {
                return;
            }
            if (end.kind === "answered") {
                deliver(state, end.answer);
                return;
            }
            if (!mayRetry(state, end, isIntact)) {
                fail(state, end.kind === "notRun" ? Reason.refused : Reason.lost, waitMilliseconds);
                return;
            }
            if (state.isKeyed) {
                await foundation.pause(timers, sameOwnerPauseMilliseconds);
            }
        }
    };

    const watch = (state: RequestState): void => {
        const timeout = timers.onDelay(Math.max(0, state.endsAt - timers.now()), () => {
            const attempt = state.current;
            if (attempt?.mayHaveBeenSent() === true) {
                state.mayHaveRun = true;
            }
            fail(state, Reason.timeout, unknownReturnMilliseconds);
            attempt?.cancel(Reason.timeout);
        });
        state.response.on("close", () => {
            timeout.cancel();
            openRequests -= 1;
            if (!state.isOver) {
                state.isOver = true;
                record(state, 499, Reason.callerLeft);
                state.current?.cancel(Reason.callerLeft);
            }
        });
    };

    const parseKey = (request: http.IncomingMessage): number | undefined => {
        const key = Number(request.headers[platform.HeaderName.key]);
        return Number.isInteger(key) && key >= 0 && key < 65_536 ? key : undefined;
    };

    const start = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        document: routing.RoutingDocument,
        entry: routing.RouteEntry,
    ): Promise<void> => {
        const { route } = entry;
        const service = entry.nextService();
        const arrivedAt = timers.now();
        const wanted = Number(request.headers[platform.HeaderName.remainingMilliseconds]);
        const patience = Number.isFinite(wanted) && wanted > 0 ? wanted : route.timeoutMilliseconds;
        const identifier = request.headers[platform.HeaderName.requestIdentifier];
        const state: RequestState = {
            request,
            response,
            route,
            service,
            isKeyed: document.services.get(service)?.isKeyed === true,
            key: parseKey(request),
            requestIdentifier: Array.isArray(identifier) ? identifier[0] : identifier,
            arrivedAt,
            endsAt: arrivedAt + Math.min(patience, route.timeoutMilliseconds),
            tried: new Set(),
            attempts: 0,
            mayHaveRun: false,
            isOver: false,
            current: undefined,
            bytes: usualAnswerBytes,
            lastWaitMilliseconds: 0,
        };
        openRequests += 1;
        windowOf(service).onRequest(arrivedAt);
        if (state.isKeyed && state.key !== undefined) {
            options.onKeyRequested(service, state.key);
        }
        watch(state);
        const body = await requestBody.readBody(request, document.limits.bodyBytes);
        if (state.isOver) {
            return;
        }
        if (body.kind === "tooLarge") {
            state.isOver = true;
            record(state, 413, Reason.bodyTooLarge);
            reply(response, 413, ["Connection", "close"], Reason.bodyTooLarge);
            return;
        }
        if (body.kind === "broken") {
            response.destroy();
            return;
        }
        state.bytes += body.kind === "whole" ? body.bytes.length : Number(request.headers["content-length"] ?? 0);
        await run(state, body);
    };

    return {
        handle: (request, response) => {
            const inForce = options.inForce();
            if (inForce === undefined) {
                reply(response, 503, ["Retry-After", (unknownReturnMilliseconds / 1000).toFixed(3)], Reason.noDocument);
                return;
            }
            const [path] = (request.url ?? "/").split("?");
            const entry = inForce.table.find(request.headers.host ?? "", path);
            if (entry === undefined) {
                log.write("request-failed", {
                    request: String(request.headers[platform.HeaderName.requestIdentifier]),
                    host: request.headers.host,
                    path,
                    status: 404,
                    reason: Reason.noRoute,
                    version: inForce.document.version,
                });
                reply(response, 404, [], Reason.noRoute);
                return;
            }
            void start(request, response, inForce.document, entry);
        },
        open: () => openRequests,
    };
};
