/** A caller: sends one request and judges whether the answer is whole and its own. */
import * as crypto from "node:crypto";
import * as undici from "undici";

/** A request to send. */
export interface CallerRequest {
    /** Callers' address of an instance, `IP:PORT`. */
    instance: string;
    service: string;
    rank: string;
    key?: string;
    method?: "GET" | "POST";
    body?: Buffer;
    isIdempotent?: boolean;
    deadlineMilliseconds?: number;
    /** Work that the stand-in is asked to do. */
    workMilliseconds?: number;
    /** Padding of the stand-in's answer. */
    answerBytes?: number;
    dispatcher?: undici.Dispatcher;
}

/** What came of a request. */
export interface CallerAnswer {
    identifier: string;
    /** `answered`, `not-run`, `unknown`, or `broken` when the connection ended without a whole answer. */
    outcome: string;
    status: number;
    /** Whether the answer belongs to another request. */
    isCrossed: boolean;
    /** Whether the upstream got another body than was sent. */
    isCut: boolean;
    server: string | undefined;
    reason: string | undefined;
    milliseconds: number;
}

const defaultDeadlineMilliseconds = 60_000;
/** Time beyond the deadline after which a caller gives up. */
const patienceMilliseconds = 2000;
const emptyDigest = crypto.createHash("sha256").digest("hex");

/**
 * Sends a request.
 *
 * @param request - what to send
 * @returns what came of it; never rejects
 */
export const sendRequest = async (request: CallerRequest): Promise<CallerAnswer> => {
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
        ...(request.answerBytes === undefined ? {} : { "stand-in-answer-bytes": String(request.answerBytes) }),
    };
    const answer: CallerAnswer = {
        identifier,
        outcome: "broken",
        status: 0,
        isCrossed: false,
        isCut: false,
        server: undefined,
        reason: undefined,
        milliseconds: 0,
    };
    try {
        const response = await undici.request(`http://${request.instance}/${request.service}/work`, {
            method: request.method ?? "GET",
            headers,
            body: request.body,
            headersTimeout: (request.deadlineMilliseconds ?? defaultDeadlineMilliseconds) + patienceMilliseconds,
            dispatcher: request.dispatcher,
        });
        const text = await response.body.text();
        answer.status = response.statusCode;
        answer.outcome = String(response.headers["mulberryseam-outcome"] ?? "none");
        answer.reason = response.headers["mulberryseam-reason"] as string | undefined;
        if (answer.outcome === "answered" && response.statusCode === 200) {
            const body = JSON.parse(text) as { server: string; identifier: string; digest: string; padding: string; };
            const digest = request.body === undefined
                ? emptyDigest
                : crypto.createHash("sha256").update(request.body).digest("hex");
            answer.server = body.server;
            answer.isCrossed = body.identifier !== identifier;
            answer.isCut = body.digest !== digest || body.padding.length !== (request.answerBytes ?? 0);
        }
    }
    catch (error) {
        answer.reason = (error as Error).message;
    }
    answer.milliseconds = performance.now() - startedAt;
    return answer;
};
