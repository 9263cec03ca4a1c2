/** Responds to callers with an upstream's response or the reason for its absence, and logs the outcome. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as scheduling from "@mulberryseam/scheduling";
import type * as http from "node:http";
import * as stream from "node:stream";
import type * as attemptResult from "./attemptResult";
import * as delegatedRequest from "./delegatedRequest";
import type * as eventLoopDelay from "./eventLoopDelay";
import * as framing from "./framing";
import * as headers from "./headers";
import * as requestState from "./requestState";
import * as selection from "./selection";

/** Outcome of a request, for the metrics. */
export interface FinishedRequest {
    route: string;
    status: number;
    reason: string;
    durationMilliseconds: number;
    attempts: number;
    /** Whether an upstream did not get the request because it is or may be cold. */
    wasHeldBack: boolean;
    /** Only of requests that may wait for room in the instance. */
    waiting?: WaitOutcome;
}

/** How a request waited for room. */
export interface WaitOutcome {
    service: string;
    milliseconds: number;
    /** Whether the caller had come back after a refusal, as far as it is known. */
    hasReturned: boolean;
    /** Whether it was refused for a lack of room. */
    isRefused: boolean;
}

/** Configures a responder. */
export interface ResponderOptions {
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    eventLoopDelay: eventLoopDelay.EventLoopDelay;
    /** Whether responses tell callers to open their next connection elsewhere. */
    shouldCloseConnections: () => boolean;
    onFinished: (result: FinishedRequest) => void;
}

/** Time in which a caller has to take a response that is written whole, in milliseconds; one that reads nothing holds its bytes. */
const maxDeliveryMilliseconds = 10_000;

/** Responds to callers. */
export interface Responder {
    /** Logs and counts the outcome of a request. The reason is empty if an upstream responded; such events are sampled. */
    recordOutcome: (state: requestState.RequestState, status: number, reason: string) => void;
    reply: (response: http.ServerResponse, status: number, extraHeaders: string[], text: string) => void;
    /** Replies with 503 to a request that has not run, and tells the caller to return after the default time. */
    refuse: (response: http.ServerResponse, extraHeaders: string[], text: string) => void;
    /** Ends a request without an upstream's response: with 503 if it has not run, with 502 or 504 if it may have. */
    fail: (state: requestState.RequestState, reason: requestState.FailureReasonValue, waitMilliseconds: number) => void;
    forward: (state: requestState.RequestState, upstreamResponse: attemptResult.UpstreamResponse) => void;
}

/**
 * Statuses that tell a caller that its request has not run. An upstream's response that is no refusal does not state that, so it is
 * not forwarded with such a status to a caller whose request may run only once.
 */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Creates the responder of an instance.
 *
 * @param options - the instance's state, log and metrics
 * @returns the responder
 */
export const createResponder = (options: ResponderOptions): Responder => {
    const { timers, log, random, failures } = options;

    /** A connection that is closed before the rest of a request was read is reset, and the response may be lost. */
    const responseHeaders = ({ req: request }: http.ServerResponse, extraHeaders: string[]): string[] =>
        options.shouldCloseConnections() && request.complete ? [...extraHeaders, "Connection", "close"] : extraHeaders;

    const waitOutcomeOf = (state: requestState.RequestState): WaitOutcome | undefined =>
        state.mayWait
            ? {
                service: state.service,
                milliseconds: state.waitedMilliseconds + timers.now() - (state.waitingSince ?? timers.now()),
                hasReturned: state.underWayMilliseconds > 0,
                isRefused: state.refusalCause !== undefined,
            }
            : undefined;

    const writeOutcome = (state: requestState.RequestState, status: number, reason: string): void => {
        const durationMilliseconds = timers.now() - state.arrivedAt;
        const { decision } = state;
        const rounded = (value: number | undefined): number | undefined =>
            value === undefined ? undefined : Math.round(value);
        const waiting = waitOutcomeOf(state);
        const fields = {
            request: state.requestIdentifier,
            route: state.route.name,
            service: state.service,
            key: state.key,
            status,
            reason,
            attempts: state.attemptCount,
            tried: [...state.triedUpstreams].join(","),
            milliseconds: Math.round(durationMilliseconds),
            mayHaveRun: state.mayHaveRun,
            version: state.documentVersion,
            remaining: Math.round(state.deadlineAt - timers.now()),
            upstream: decision?.upstream,
            token: decision?.token,
            queue: rounded(decision?.queueLength),
            reportAge: rounded(decision?.reportAgeMilliseconds),
            serviceTime: rounded(decision?.serviceMilliseconds),
            expectedWait: rounded(decision?.waitMilliseconds),
            slowness: rounded(decision?.slowness?.percent),
            slownessAge: rounded(decision?.slowness?.ageMilliseconds),
            behind: rounded(options.eventLoopDelay.milliseconds()),
            delegate: state.delegate,
            isDelegated: state.isDelegated || undefined,
            waited: rounded(waiting?.milliseconds),
            refusal: state.refusalCause,
            underWay: state.underWayMilliseconds > 0 ? Math.round(state.underWayMilliseconds) : undefined,
        };
        if (reason === "") {
            log.sample("request-answered", fields);
        }
        else {
            log.write("request-failed", fields);
        }
        if (state.isDelegated) {
            // The instance that has the caller counts the request.
            return;
        }
        options.onFinished({
            route: state.route.name,
            status,
            reason,
            durationMilliseconds,
            attempts: state.attemptCount,
            wasHeldBack: state.wasHeldBack || reason === requestState.FailureReason.warmup,
            ...(waiting === undefined ? {} : { waiting }),
        });
    };

    const recordOutcome: Responder["recordOutcome"] = (state, status, reason) =>
        failures.run("request outcome", () => writeOutcome(state, status, reason), {
            request: state.requestIdentifier,
        });

    /** Ends a response, and resets the connection of a caller that does not take it, which frees the bytes held for it. */
    const endResponse = (response: http.ServerResponse, body: Buffer): void => {
        const { socket } = response;
        response.end(body);
        if (response.writableFinished) {
            return;
        }
        const timeout = timers.onDelay(maxDeliveryMilliseconds, () => foundation.resetConnection(socket ?? undefined));
        response.once("finish", () => timeout.cancel());
        response.once("close", () => timeout.cancel());
    };

    const reply = (response: http.ServerResponse, status: number, extraHeaders: string[], text: string): void => {
        if (response.headersSent || response.destroyed) {
            return;
        }
        const body = Buffer.from(`${text}\n`);
        response.writeHead(status, responseHeaders(response, [...extraHeaders, "Content-Length", String(body.length)]));
        endResponse(response, body);
    };

    const retryAfterHeader = (milliseconds: number): string[] => ["Retry-After", (milliseconds / 1000).toFixed(3)];

    const refuse: Responder["refuse"] = (response, extraHeaders, text) =>
        reply(response, 503, [...retryAfterHeader(selection.defaultRetryAfterMilliseconds), ...extraHeaders], text);

    const fail = (
        state: requestState.RequestState,
        reason: requestState.FailureReasonValue,
        waitMilliseconds: number,
    ): void => {
        if (state.isFinished) {
            return;
        }
        state.isFinished = true;
        const isTimeout = reason === requestState.FailureReason.timeout;
        const status = state.mayHaveRun ? (isTimeout ? 504 : 502) : 503;
        recordOutcome(state, status, reason);
        const remaining = state.deadlineAt - timers.now();
        const retryAfter = scheduling.retryAfterMilliseconds(
            waitMilliseconds,
            remaining,
            random.fraction(),
            reason === requestState.FailureReason.heldOff || reason === requestState.FailureReason.warmup
                || state.refusalCause !== undefined,
        );
        const extraHeaders = [
            ...(status === 503 ? retryAfterHeader(retryAfter) : []),
            ...(state.isDelegated ? delegatedRequest.failureHeaders(state.requestIdentifier, reason) : []),
        ];
        reply(state.response, status, extraHeaders, reason);
    };

    /**
     * Streams the rest of a response: until the caller's own deadline if it has a declared length, and until the deadline of the
     * request otherwise, as an upstream in trouble may send without end.
     */
    const forwardRest = (
        state: requestState.RequestState,
        rest: http.IncomingMessage,
        endAt: number,
    ): void => {
        const timeout = timers.onDelay(Math.max(0, endAt - timers.now()), () => {
            rest.destroy(new Error("the response does not end"));
        });
        stream.pipeline(rest, state.response, error => {
            timeout.cancel();
            if (error) {
                log.write("answer-broke-off", { request: state.requestIdentifier, reason: error.message });
            }
        });
    };

    const forwardResponse = (
        state: requestState.RequestState,
        upstreamResponse: attemptResult.UpstreamResponse,
    ): void => {
        const claimsNotRun = state.route.kind !== routing.RouteKind.idempotent
            && notRunStatuses.has(upstreamResponse.status);
        const framingHeaders = framing.framingHeaders(state.request, upstreamResponse);
        if (claimsNotRun || framingHeaders === undefined) {
            upstreamResponse.rest?.destroy();
            state.mayHaveRun = true;
            fail(state, claimsNotRun ? requestState.FailureReason.lost : requestState.FailureReason.noFraming, 0);
            return;
        }
        state.isFinished = true;
        recordOutcome(state, upstreamResponse.status, "");
        const { response } = state;
        const forwardedHeaders = headers.forwardedHeaders(upstreamResponse.rawHeaders, [
            delegatedRequest.failureHeader,
            delegatedRequest.upstreamHeader,
        ]);
        if (state.isDelegated && state.notifiedBy !== undefined) {
            forwardedHeaders.push(
                delegatedRequest.upstreamHeader,
                delegatedRequest.encodeUpstream(state.notifiedBy),
            );
        }
        const { body, declaredLength, rest } = upstreamResponse;
        if (response.destroyed) {
            rest?.destroy();
            return;
        }
        response.writeHead(
            upstreamResponse.status,
            responseHeaders(response, [...forwardedHeaders, ...framingHeaders]),
        );
        if (rest === undefined) {
            endResponse(response, body);
            return;
        }
        response.write(body);
        forwardRest(state, rest, declaredLength === undefined ? state.deadlineAt : state.callerDeadlineAt);
    };

    const forward: Responder["forward"] = (state, upstreamResponse) => {
        try {
            forwardResponse(state, upstreamResponse);
        }
        catch (error) {
            upstreamResponse.rest?.destroy();
            throw error;
        }
    };

    return { recordOutcome, reply, refuse, fail, forward };
};
