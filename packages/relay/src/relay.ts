/**
 * The way of one request: route, body, attempts, answer. The upstream is chosen when an attempt is sent. A caller is
 * told that its request has not run only by the result of attempts that all ended as not run.
 */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import type * as http from "node:http";
import * as admission from "./admission";
import * as answers from "./answering";
import * as attempts from "./attempt";
import * as loopDelay from "./loopDelay";
import * as requestBody from "./requestBody";
import * as requestState from "./requestState";
import * as retryWindow from "./retryWindow";
import * as selection from "./selection";
import * as sending from "./sending";
import * as splitCost from "./splitCost";
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
    loopDelay: loopDelay.LoopDelay;
    isStopping: () => boolean;
    onFinished: (result: answers.FinishedRequest) => void;
}

/** Passes requests on. */
export interface Relay {
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => void;
    /** Requests that have not been answered. */
    open: () => number;
}

/** Pause before an owner is looked up again, in milliseconds. */
const ownerPauseMilliseconds = 25;
/** Pause before a request goes again to an owner that refused it, in milliseconds. */
const sameOwnerPauseMilliseconds = 30;
/** Attempts of one request, those included that found no connection: enough to get past a failed failure domain. */
const highestAttempts = 5;
/** Status in logs and metrics of a request whose caller left. */
const callerLeftStatus = 499;
/** Longest time that a request waits for its key to get an owner, as a part of its route's target. */
const ownerWaitPart = 0.6;

/** Bytes of an ordinary answer with its headers. */
const usualAnswerBytes = 1200;

/** Reads the key of a request to a keyed service; undefined when it has none. */
const parseKey = (request: http.IncomingMessage): number | undefined => {
    const key = Number(request.headers[platform.HeaderName.key]);
    return Number.isInteger(key) && key >= 0 && key < assignment.keyCount ? key : undefined;
};

/**
 * Creates the relay.
 *
 * @param options - what it needs
 * @returns the relay
 */
export const createRelay = (options: RelayOptions): Relay => {
    const { timers, log } = options;
    const answering = answers.createAnswering(options);
    const select = selection.createSelector(options);
    const send = sending.createSender(options);
    const costOf = splitCost.createSplitCost(options);
    const windows = new Map<string, retryWindow.RetryWindow>();
    let openRequests = 0;

    const windowOf = (service: string): retryWindow.RetryWindow => {
        const window = windows.get(service) ?? retryWindow.createRetryWindow(options.allowance);
        windows.set(service, window);
        return window;
    };

    /** Waits for an upstream that can take the request. */
    const awaitSelection = async (state: requestState.RequestState): Promise<selection.Selection> => {
        const giveUpAt = Math.min(
            state.endsAt,
            state.arrivedAt + state.route.targetMilliseconds * ownerWaitPart + ownerPauseMilliseconds,
        );
        for (;;) {
            const selected = select(state);
            if (selected.kind === "chosen" || !selected.mayCome || state.isOver || timers.now() >= giveUpAt) {
                return selected;
            }
            await foundation.pause(timers, ownerPauseMilliseconds);
        }
    };

    const mayRetry = (state: requestState.RequestState, end: attempts.AttemptEnd, isIntact: boolean): boolean => {
        const mayRepeat = end.kind === "notRun" || state.route.kind === routing.RouteKind.idempotent;
        const wasSent = end.kind === "unknown" || (end.kind === "notRun" && end.isShed);
        const ran = end.kind === "unknown" && state.attempts >= state.route.maxAttempts;
        // An owner with a queue refuses the next attempt too, and no other upstream may serve the key.
        const isOwnerFull = state.isKeyed && end.kind === "notRun" && (end.report?.waiting ?? 0) > 0;
        return !isOwnerFull && state.attempts < highestAttempts && mayRepeat && isIntact && !ran && !state.isOver
            && (!wasSent || windowOf(state.service).take(timers.now()));
    };

    const run = async (state: requestState.RequestState, body: attempts.AttemptOptions["body"]): Promise<void> => {
        const isIntact = body.kind === "whole";
        while (!state.isOver) {
            const selected = await awaitSelection(state);
            if (state.isOver) {
                return;
            }
            if (selected.kind === "none") {
                answering.fail(state, selected.reason, selected.waitMilliseconds);
                return;
            }
            const { expectedMilliseconds, waitMilliseconds } = selected.choice;
            const remainingMilliseconds = state.endsAt - timers.now();
            const targetMilliseconds = state.arrivedAt + state.route.targetMilliseconds - timers.now();
            const { isMeasured } = selected.choice.option;
            const expectation = {
                isMeasured,
                expectedMilliseconds,
                waitMilliseconds,
                remainingMilliseconds,
                targetMilliseconds,
            };
            if (!admission.isServable(expectation)) {
                answering.fail(state, requestState.Reason.noRoom, waitMilliseconds);
                return;
            }
            const end = await send(state, selected.target, body);
            if (state.isOver) {
                return;
            }
            if (end.kind === "answered") {
                answering.deliver(state, end.answer);
                return;
            }
            if (!mayRetry(state, end, isIntact)) {
                answering.fail(
                    state,
                    end.kind === "notRun" ? requestState.Reason.refused : requestState.Reason.lost,
                    waitMilliseconds,
                );
                return;
            }
            if (state.isKeyed) {
                await foundation.pause(timers, sameOwnerPauseMilliseconds);
            }
        }
    };

    const watch = (state: requestState.RequestState): void => {
        const timeout = timers.onDelay(Math.max(0, state.endsAt - timers.now()), () => {
            const attempt = state.current;
            if (attempt?.mayHaveBeenSent() === true) {
                state.mayHaveRun = true;
            }
            answering.fail(state, requestState.Reason.timeout, selection.unknownReturnMilliseconds);
            attempt?.cancel(requestState.Reason.timeout);
        });
        state.response.on("close", () => {
            timeout.cancel();
            openRequests -= 1;
            if (!state.isOver) {
                state.isOver = true;
                answering.record(state, callerLeftStatus, requestState.Reason.callerLeft);
                state.current?.cancel(requestState.Reason.callerLeft);
            }
        });
    };

    const start = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        document: routing.RoutingDocument,
        entry: routing.RouteEntry,
    ): Promise<void> => {
        const { route } = entry;
        const key = parseKey(request);
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        const service = entry.nextService(name =>
            document.services.get(name)?.isKeyed === true ? costOf(name, key, usualAnswerBytes + declaredBytes) : 0
        );
        const arrivedAt = timers.now();
        const wanted = Number(request.headers[platform.HeaderName.remainingMilliseconds]);
        const patience = Number.isFinite(wanted) && wanted > 0 ? wanted : route.timeoutMilliseconds;
        const identifier = request.headers[platform.HeaderName.requestIdentifier];
        const state: requestState.RequestState = {
            request,
            response,
            route,
            service,
            isKeyed: document.services.get(service)?.isKeyed === true,
            key,
            version: document.version,
            requestIdentifier: Array.isArray(identifier) ? identifier[0] : identifier,
            arrivedAt,
            endsAt: arrivedAt + Math.min(patience, route.timeoutMilliseconds),
            tried: new Set(),
            misdirectedToken: undefined,
            attempts: 0,
            mayHaveRun: false,
            isOver: false,
            current: undefined,
            bytes: usualAnswerBytes,
            decision: undefined,
        };
        openRequests += 1;
        windowOf(service).onRequest(arrivedAt);
        if (state.isKeyed && state.key !== undefined) {
            options.onKeyRequested(service, state.key);
        }
        watch(state);
        if (loopDelay.isBehind(route.rank, options.loopDelay.milliseconds())) {
            answering.fail(state, requestState.Reason.behind, selection.unknownReturnMilliseconds);
            return;
        }
        const body = await requestBody.readBody(request, document.limits.maxBodyBytes);
        if (state.isOver) {
            return;
        }
        if (body.kind === "tooLarge") {
            state.isOver = true;
            answering.record(state, 413, requestState.Reason.bodyTooLarge);
            answering.reply(response, 413, ["Connection", "close"], requestState.Reason.bodyTooLarge);
            return;
        }
        if (body.kind === "broken") {
            response.destroy();
            return;
        }
        await options.loopDelay.catchUp();
        if (state.isOver || request.socket.destroyed || request.socket.readableEnded) {
            return;
        }
        state.bytes += body.kind === "whole" ? body.bytes.length : declaredBytes;
        await run(state, body);
    };

    return {
        handle: (request, response) => {
            const inForce = options.inForce();
            if (inForce === undefined) {
                answering.reply(
                    response,
                    503,
                    ["Retry-After", (selection.unknownReturnMilliseconds / 1000).toFixed(3)],
                    requestState.Reason.noDocument,
                );
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
                    reason: requestState.Reason.noRoute,
                    version: inForce.document.version,
                });
                answering.reply(response, 404, [], requestState.Reason.noRoute);
                return;
            }
            void start(request, response, inForce.document, entry);
        },
        open: () => openRequests,
    };
};
