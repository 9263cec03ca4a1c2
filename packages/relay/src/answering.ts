/** Answers callers: with an upstream's answer, or with why there is none. Every request gets one line in the log. */
import * as foundation from "@mulberryseam/foundation";
import type * as http from "node:http";
import * as stream from "node:stream";
import * as admission from "./admission";
import type * as attempts from "./attempt";
import * as headers from "./headers";
import type * as loopDelay from "./loopDelay";
import * as requestState from "./requestState";

/** How a request ended, for counters. */
export interface FinishedRequest {
    route: string;
    status: number;
    reason: string;
    milliseconds: number;
    attempts: number;
}

/** What answers depend on. */
export interface AnsweringOptions {
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    loopDelay: loopDelay.LoopDelay;
    isStopping: () => boolean;
    onFinished: (result: FinishedRequest) => void;
}

/** Answers callers. */
export interface Answering {
    /** Writes what became of a request; the reason is empty when an upstream answered. */
    record: (state: requestState.RequestState, status: number, reason: string) => void;
    reply: (response: http.ServerResponse, status: number, extra: string[], text: string) => void;
    /** Ends a request that has no answer; it is called not run only if no attempt may have run. */
    fail: (state: requestState.RequestState, reason: requestState.ReasonText, waitMilliseconds: number) => void;
    deliver: (state: requestState.RequestState, answer: attempts.UpstreamAnswer) => void;
}

/**
 * Creates the answers of an instance.
 *
 * @param options - what they depend on
 * @returns the answers
 */
export const createAnswering = (options: AnsweringOptions): Answering => {
    const { timers, log, random } = options;

    const answerHeaders = (extra: string[]): string[] =>
        options.isStopping() ? [...extra, "Connection", "close"] : extra;

    const record = (state: requestState.RequestState, status: number, reason: string): void => {
        const milliseconds = timers.now() - state.arrivedAt;
        const { decision } = state;
        const rounded = (value: number | undefined): number | undefined =>
            value === undefined ? undefined : Math.round(value);
        const fields = {
            request: state.requestIdentifier,
            route: state.route.name,
            service: state.service,
            key: state.key,
            status,
            reason,
            attempts: state.attempts,
            tried: [...state.tried].join(","),
            milliseconds: Math.round(milliseconds),
            mayHaveRun: state.mayHaveRun,
            version: state.version,
            remaining: Math.round(state.endsAt - timers.now()),
            upstream: decision?.upstream,
            token: decision?.token,
            queue: rounded(decision?.queueLength),
            reportAge: rounded(decision?.reportAgeMilliseconds),
            serviceTime: rounded(decision?.serviceMilliseconds),
            expectedWait: rounded(decision?.waitMilliseconds),
            behind: rounded(options.loopDelay.milliseconds()),
        };
        if (reason === "") {
            log.sample("request-answered", fields);
        }
        else {
            log.write("request-failed", fields);
        }
        options.onFinished({ route: state.route.name, status, reason, milliseconds, attempts: state.attempts });
    };

    const reply = (response: http.ServerResponse, status: number, extra: string[], text: string): void => {
        if (response.headersSent || response.destroyed) {
            return;
        }
        const body = Buffer.from(`${text}\n`);
        response.writeHead(status, answerHeaders([...extra, "Content-Length", String(body.length)]));
        response.end(body);
    };

    const fail = (
        state: requestState.RequestState,
        reason: requestState.ReasonText,
        waitMilliseconds: number,
    ): void => {
        if (state.isOver) {
            return;
        }
        state.isOver = true;
        const isTimeout = reason === requestState.Reason.timeout;
        const status = state.mayHaveRun ? (isTimeout ? 504 : 502) : 503;
        record(state, status, reason);
        const remaining = state.endsAt - timers.now();
        const comeBack = admission.returnMilliseconds(waitMilliseconds, remaining, random.fraction());
        const extra = status === 503 ? ["Retry-After", (comeBack / 1000).toFixed(3)] : [];
        reply(state.response, status, extra, reason);
    };

    const finishStream = (state: requestState.RequestState, rest: http.IncomingMessage | undefined): void => {
        if (rest === undefined) {
            state.response.end();
            return;
        }
        stream.pipeline(rest, state.response, error => {
            if (error) {
                log.write("answer-broke-off", { request: state.requestIdentifier, reason: error.message });
            }
        });
    };

    const deliver = (state: requestState.RequestState, answer: attempts.UpstreamAnswer): void => {
        state.isOver = true;
        record(state, answer.status, "");
        const { response } = state;
        const kept = headers.passedOn(answer.rawHeaders, []);
        if (response.destroyed) {
            answer.rest?.destroy();
            return;
        }
        const hasBody = state.request.method !== "HEAD" && answer.status !== 204 && answer.status !== 304;
        if (answer.isUnframed && hasBody) {
            // The length is not known, so the answer must not claim one: not even none, as the upstream may have ended
            // before the first byte.
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(answer.status, [...kept, "Connection", "close"]);
            if (answer.body.length > 0) {
                response.write(answer.body);
            }
            finishStream(state, answer.rest);
            return;
        }
        if (answer.rest === undefined) {
            const length = hasBody ? ["Content-Length", String(answer.body.length)] : [];
            response.writeHead(answer.status, answerHeaders([...kept, ...length]));
            response.end(answer.body);
            return;
        }
        response.writeHead(answer.status, answerHeaders([...kept, "Transfer-Encoding", "chunked"]));
        response.write(answer.body);
        finishStream(state, answer.rest);
    };

    return { record, reply, fail, deliver };
};
