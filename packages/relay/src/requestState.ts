/** One request on its way, and how it may end. */
import type * as routing from "@mulberryseam/routing";
import type * as http from "node:http";
import type * as attempts from "./attempt";

/** Why a request ended without an upstream's answer. */
export const Reason = {
    noDocument: "no document is known yet",
    noRoute: "no route",
    bodyTooLarge: "the body is too large",
    noUpstream: "no upstream is ready",
    noOwner: "no upstream owns the key",
    noRoom: "no answer is expected in time",
    noConnection: "no connection to an upstream is free",
    behind: "the instance is behind with its work",
    refused: "upstreams refused it",
    timeout: "the time limit has passed",
    lost: "the answer was lost",
    callerLeft: "the caller left",
} as const;

/** One of {@link Reason}. */
export type ReasonText = typeof Reason[keyof typeof Reason];

/** What the selection of an upstream rested on, for the log. */
export interface Decision {
    upstream: string;
    /** Token of the owner of the request's key; undefined for a request without a key. */
    token: number | undefined;
    /** Requests that were taken to be at the upstream. */
    queueLength: number;
    /** Age of the newest report that this rests on, in milliseconds; undefined before any. */
    reportAgeMilliseconds: number | undefined;
    serviceMilliseconds: number;
    waitMilliseconds: number;
}

/** A request on its way. */
export interface RequestState {
    request: http.IncomingMessage;
    response: http.ServerResponse;
    route: routing.Route;
    service: string;
    isKeyed: boolean;
    key: number | undefined;
    requestIdentifier: string | undefined;
    /** Version of the document that chose the route. */
    version: number;
    arrivedAt: number;
    /** Time at which the caller, or the route, gives up. */
    endsAt: number;
    tried: Set<string>;
    /** Token of the owner that answered that it does not hold the request's key. */
    misdirectedToken: number | undefined;
    attempts: number;
    mayHaveRun: boolean;
    isOver: boolean;
    current: attempts.Attempt | undefined;
    /** Bytes that the request and its answer are taken to have. */
    bytes: number;
    /** What the newest selection rested on; undefined before one. */
    decision: Decision | undefined;
}
