/** One request on its way through an instance. */
import type { AttemptResultKind } from "@mulberryseam/traffic";
import type * as http from "node:http";
import type { RequestBody } from "./requestBody";
import type { RequestHead } from "./requestHead";
import type { Hop } from "./tracing";

/** One request on its way. */
export interface Exchange {
    head: RequestHead;
    body: RequestBody;
    request: http.IncomingMessage;
    response: http.ServerResponse;
    deadlineAt: number;
    hop: Hop;
    /** Aborted when the caller leaves. */
    caller: AbortController;
    /** How each attempt ended, in order. */
    attempts: AttemptResultKind[];
    /** Upstreams of a pool that are passed over for now. */
    excluded: string[];
    /** Whether the next attempt has been taken from the budget of retries. */
    hasPaidRetry: boolean;
    /** Why the last attempt brought no answer. */
    reason: string;
}
