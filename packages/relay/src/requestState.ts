/** State of a request in progress, and the reasons why a request can fail. */
import * as platform from "@mulberryseam/platform";
import type * as routing from "@mulberryseam/routing";
import type * as scheduling from "@mulberryseam/scheduling";
import type * as http from "node:http";
import type * as attemptResult from "./attemptResult";
import type * as byteBudget from "./byteBudget";

/** Why a request ended without a response from an upstream. */
export const FailureReason = {
    noDocument: "no document is known yet",
    noRoute: "no route",
    bodyTooLarge: "the body is too large",
    noUpstream: "no upstream is ready",
    noOwner: "no upstream owns the key",
    deadlineUnreachable: "no answer is expected in time",
    heldOff: "upstreams want no requests for a time",
    regionNotAllowed: "no upstream is in a region that the route allows",
    evacuated: "the failure domains of the upstreams are evacuated",
    warmup: "the upstreams are cold",
    noConnection: "no connection to an upstream is free",
    overloaded: "the instance is behind with its work",
    refused: "upstreams refused it",
    timeout: "the time limit has passed",
    lost: "the answer was lost",
    noFraming: "the answer is too large for the caller's version of HTTP",
    callerDisconnected: "the caller left",
    answeredElsewhere: "the request has ended",
    notAccepted: "the instance takes no delegated requests",
    stopping: "the instance is stopping",
    noMemory: "the instance has no memory for the body",
    pipelined: "too many requests are open on the connection",
    malformed: "the request is malformed",
    internalError: "an internal error",
} as const;

/** One of {@link FailureReason}. */
export type FailureReasonValue = typeof FailureReason[keyof typeof FailureReason];

/** The estimates behind the selection of an upstream, for the log. */
export interface Decision {
    upstream: string;
    /** Fencing token of the owner of the request's key; undefined for a request without a key. */
    token: number | undefined;
    /** Estimated number of requests that run or wait at the upstream. */
    queueLength: number;
    /** Age of the newest load report, in milliseconds; undefined before the first one. */
    reportAgeMilliseconds: number | undefined;
    serviceMilliseconds: number;
    waitMilliseconds: number;
    /** Expected slowness of the upstream's machine when the work begins; undefined if it has reported none. */
    slowness: scheduling.ExpectedSlowness | undefined;
}

/** A request in progress. */
export interface RequestState {
    request: http.IncomingMessage;
    response: http.ServerResponse;
    route: routing.Route;
    service: string;
    isKeyed: boolean;
    key: number | undefined;
    requestIdentifier: string | undefined;
    /** Version of the document that defines the route. */
    documentVersion: number;
    arrivedAt: number;
    /** Deadline of the caller or the route, whichever is earlier. */
    deadlineAt: number;
    /** Time at which the caller stops waiting for the rest of a response, which may come after `deadlineAt`. */
    callerDeadlineAt: number;
    triedUpstreams: Set<string>;
    /** Token of the owner that responded that it does not hold the request's key. */
    misdirectedToken: number | undefined;
    /** The upstream of the newest attempt, if it has said something of itself that other instances need to know. */
    notifiedBy: routing.Incarnation | undefined;
    attemptCount: number;
    mayHaveRun: boolean;
    /** Whether an upstream did not get the request because it is or may be cold. */
    wasHeldBack: boolean;
    isFinished: boolean;
    currentAttempt: attemptResult.Attempt | undefined;
    /**
     * Attempts that have been without a response for so long that the request is sent again. Their responses still count; each promise
     * resolves once the result of its attempt has been handled.
     */
    overdueAttempts: Map<attemptResult.Attempt, Promise<void>>;
    /** Bytes of the request and its response that are buffered. */
    reservation: byteBudget.ByteReservation;
    /** Estimated size of the request and its response, in bytes. */
    estimatedBytes: number;
    /** Size of the request's body, in bytes; that of a large one if it is not known. */
    bodyBytes: number;
    /** Estimates of the newest selection; undefined before the first one. */
    decision: Decision | undefined;
    /** Whether another instance delegated the request to this one. */
    isDelegated: boolean;
    /** Identifier of the instance that the request was delegated to, if any. */
    delegate: string | undefined;
    /** Whether the request may wait in the instance for room at its upstreams. */
    mayWait: boolean;
    /** Time for which the caller has been under way with earlier attempts, as far as it is known, in milliseconds. */
    underWayMilliseconds: number;
    /** Time for which the request has waited for room, without the wait in progress, in milliseconds. */
    waitedMilliseconds: number;
    /** Start of the wait in progress. */
    waitingSince: number | undefined;
    /** Why the request was refused instead of waiting. */
    refusalCause: string | undefined;
}

/** What is known of a request when it arrives. */
export type ArrivedRequest = Pick<
    RequestState,
    | "request"
    | "response"
    | "route"
    | "service"
    | "isKeyed"
    | "key"
    | "documentVersion"
    | "arrivedAt"
    | "reservation"
    | "isDelegated"
    | "mayWait"
>;

/** Typical size of a response with its headers, in bytes. */
export const typicalBytes = 1200;
/** Time for a whole response to a caller that does not state how long it waits, in milliseconds. */
const defaultCallerTimeoutMilliseconds = 60_000;
/** Longest time that a caller is taken to wait, in milliseconds: a day. */
const maxCallerTimeoutMilliseconds = 86_400_000;

/**
 * Returns the request identifier of a message.
 *
 * @param message - a request or a response
 * @returns the identifier, or undefined if there is none
 */
export const identifierOf = ({ headers }: http.IncomingMessage): string | undefined => {
    const identifier = headers[platform.HeaderName.requestIdentifier];
    return identifier === undefined || identifier.length === 0 ? undefined : String(identifier);
};

/**
 * Creates the state of a request before its first attempt.
 *
 * @param arrived - the request and its route
 * @returns the state, with the deadlines that the request's headers and its route define
 */
export const createRequestState = (arrived: ArrivedRequest): RequestState => {
    const { request, route, arrivedAt } = arrived;
    const requested = Number(request.headers[platform.HeaderName.remainingMilliseconds]);
    const callerTimeout = Number.isFinite(requested) && requested > 0
        ? Math.min(requested, maxCallerTimeoutMilliseconds)
        : defaultCallerTimeoutMilliseconds;
    return {
        ...arrived,
        requestIdentifier: identifierOf(request),
        deadlineAt: arrivedAt + Math.min(callerTimeout, route.timeoutMilliseconds),
        callerDeadlineAt: arrivedAt + callerTimeout,
        triedUpstreams: new Set(),
        misdirectedToken: undefined,
        notifiedBy: undefined,
        attemptCount: 0,
        mayHaveRun: false,
        wasHeldBack: false,
        isFinished: false,
        currentAttempt: undefined,
        overdueAttempts: new Map(),
        estimatedBytes: typicalBytes,
        bodyBytes: 0,
        decision: undefined,
        delegate: undefined,
        underWayMilliseconds: 0,
        waitedMilliseconds: 0,
        waitingSince: undefined,
        refusalCause: undefined,
    };
};

/**
 * Cancels the overdue attempts of a request that has ended.
 *
 * @param state - the request
 * @param reason - why they end
 */
export const cancelOverdueAttempts = (state: RequestState, reason: string): void =>
    [...state.overdueAttempts.keys()].forEach(attempt => attempt.cancel(reason));

/**
 * Cancels all attempts of a request that has ended.
 *
 * @param state - the request
 * @param reason - why they end
 */
export const cancelAttempts = (state: RequestState, reason: string): void => {
    state.currentAttempt?.cancel(reason);
    cancelOverdueAttempts(state, reason);
};
