/** One request on its way through an instance. */
import type * as traffic from "@mulberryseam/traffic";
import type * as http from "node:http";
import type * as requestBody from "./requestBody";
import type * as requestHead from "./requestHead";
import type * as tracing from "./tracing";

/** One request on its way. */
export interface Exchange {
    head: requestHead.RequestHead;
    body: requestBody.RequestBody;
    request: http.IncomingMessage;
    response: http.ServerResponse;
    deadlineAt: number;
    hop: tracing.Hop;
    /** Aborted when the caller leaves. */
    caller: AbortController;
    /** How each attempt ended, in order. */
    attempts: traffic.AttemptResultKind[];
    /** Upstreams of a pool that are passed over for now. */
    excluded: string[];
    /** Whether the next attempt has been taken from the budget of retries. */
    hasPaidRetry: boolean;
    /** Why the last attempt brought no answer. */
    reason: string;
}
