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
    refused: "upstreams refused it",
    timeout: "the time limit has passed",
    lost: "the answer was lost",
    callerLeft: "the caller left",
} as const;

/** One of {@link Reason}. */
export type ReasonText = typeof Reason[keyof typeof Reason];

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
    attempts: number;
    mayHaveRun: boolean;
    isOver: boolean;
    current: attempts.Attempt | undefined;
    /** Bytes that the request and its answer are taken to have. */
    bytes: number;
    lastWaitMilliseconds: number;
}
