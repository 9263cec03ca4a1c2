/** State of a request in progress, and the reasons why a request can fail. */
import type * as routing from "@mulberryseam/routing";
import type * as http from "node:http";
import type * as attempts from "./attempt";

/** Why a request ended without a response from an upstream. */
export const FailureReason = {
    noDocument: "no document is known yet",
    noRoute: "no route",
    bodyTooLarge: "the body is too large",
    noUpstream: "no upstream is ready",
    noOwner: "no upstream owns the key",
    deadlineUnreachable: "no answer is expected in time",
    noConnection: "no connection to an upstream is free",
    overloaded: "the instance is behind with its work",
    refused: "upstreams refused it",
    timeout: "the time limit has passed",
    lost: "the answer was lost",
    callerDisconnected: "the caller left",
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
    triedUpstreams: Set<string>;
    /** Token of the owner that responded that it does not hold the request's key. */
    misdirectedToken: number | undefined;
    attemptCount: number;
    mayHaveRun: boolean;
    isFinished: boolean;
    currentAttempt: attempts.Attempt | undefined;
    /** Estimated size of the request and its response, in bytes. */
    estimatedBytes: number;
    /** Estimates of the newest selection; undefined before the first one. */
    decision: Decision | undefined;
}
