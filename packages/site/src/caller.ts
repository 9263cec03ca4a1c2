/** Sends single requests as a caller and checks that the response is complete and belongs to the request. */
import * as crypto from "node:crypto";
import * as undici from "undici";

/** A request to send. */
export interface CallerRequest {
    /** Address of an instance for callers, `IP:PORT`. */
    instance: string;
    service: string;
    rank: string;
    key?: string;
    method?: "GET" | "POST";
    body?: Buffer;
    isIdempotent?: boolean;
    deadlineMilliseconds?: number;
    /** Time that the upstream stand-in spends on the request. */
    workMilliseconds?: number;
    /** Size of the padding in the response of the upstream stand-in. */
    responseBytes?: number;
    dispatcher?: undici.Dispatcher;
}

/** Result of a request. */
export interface CallerResponse {
    identifier: string;
    /** `answered`, `not-run` or `unknown`; `none` without an outcome header; `broken` without a complete response. */
    outcome: string;
    status: number;
    /** Whether the response belongs to another request. */
    isMisdelivered: boolean;
    /** Whether the body of the request or of the response was truncated or altered on its way. */
    isCorrupted: boolean;
    /** Name of the upstream that ran the request. */
    server: string | undefined;
    /** Reason header of the response, or message of the error. */
    reason: string | undefined;
    milliseconds: number;
}

const defaultDeadlineMilliseconds = 60_000;
/** Added to the deadline of a request to get the caller's timeout for the response headers. */
const timeoutMarginMilliseconds = 2000;
const emptyDigest = crypto.createHash("sha256").digest("hex");

/**
 * Sends a request.
 *
 * @param request - the request
 * @returns the result; never rejects
 */
export const sendRequest = async (request: CallerRequest): Promise<CallerResponse> => {
    const identifier = crypto.randomUUID();
    const startedAt = performance.now();
    const headers: Record<string, string> = {
        "mulberryseam-rank": request.rank,
        "mulberryseam-request-identifier": identifier,
        ...(request.key === undefined ? {} : { "mulberryseam-key": request.key }),
        ...(request.isIdempotent === undefined ? {} : { "mulberryseam-idempotent": String(request.isIdempotent) }),
        ...(request.deadlineMilliseconds === undefined
            ? {}
            : { "mulberryseam-deadline-milliseconds": String(request.deadlineMilliseconds) }),
        ...(request.workMilliseconds === undefined
            ? {}
            : { "stand-in-work-milliseconds": String(request.workMilliseconds) }),
        ...(request.responseBytes === undefined ? {} : { "stand-in-answer-bytes": String(request.responseBytes) }),
    };
    const result: CallerResponse = {
        identifier,
        outcome: "broken",
        status: 0,
        isMisdelivered: false,
        isCorrupted: false,
        server: undefined,
        reason: undefined,
        milliseconds: 0,
    };
    try {
        const response = await undici.request(`http://${request.instance}/${request.service}/work`, {
            method: request.method ?? "GET",
            headers,
            body: request.body,
            headersTimeout: (request.deadlineMilliseconds ?? defaultDeadlineMilliseconds) + timeoutMarginMilliseconds,
            dispatcher: request.dispatcher,
        });
        const text = await response.body.text();
        result.status = response.statusCode;
        result.outcome = String(response.headers["mulberryseam-outcome"] ?? "none");
        result.reason = response.headers["mulberryseam-reason"] as string | undefined;
        if (result.outcome === "answered" && response.statusCode === 200) {
            const body = JSON.parse(text) as { server: string; identifier: string; digest: string; padding: string; };
            const digest = request.body === undefined
                ? emptyDigest
                : crypto.createHash("sha256").update(request.body).digest("hex");
            result.server = body.server;
            result.isMisdelivered = body.identifier !== identifier;
            result.isCorrupted = body.digest !== digest || body.padding.length !== (request.responseBytes ?? 0);
        }
    }
    catch (error) {
        result.reason = (error as Error).message;
    }
    result.milliseconds = performance.now() - startedAt;
    return result;
};
