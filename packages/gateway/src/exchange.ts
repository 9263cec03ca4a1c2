/** State of one request while an instance processes it. */
import type * as traffic from "@mulberryseam/traffic";
import type * as http from "node:http";
import type * as requestBody from "./requestBody";
import type * as requestHead from "./requestHead";
import type * as tracing from "./tracing";

/** A request with its response and the state of its attempts. */
export interface Exchange {
    head: requestHead.RequestHead;
    body: requestBody.RequestBody;
    request: http.IncomingMessage;
    response: http.ServerResponse;
    deadlineAt: number;
    span: tracing.Span;
    /** Aborted when the caller disconnects. */
    callerAbort: AbortController;
    /** Result of each attempt, in order. */
    results: traffic.AttemptResultKind[];
    /** Upstreams of a pool that the next attempt skips. */
    excludedUpstreams: string[];
    /** Whether the next attempt is already charged to the retry budget. */
    isRetryCharged: boolean;
    /** Reason the last attempt received no response. */
    failureReason: string;
}
