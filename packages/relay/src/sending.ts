/** Sends one attempt of a request, and learns from how it ends. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as attempts from "./attempt";
import * as headers from "./headers";
import type * as requestState from "./requestState";
import * as upstreamHealth from "./upstreamHealth";
import type * as upstreamPool from "./upstreamPool";

/** What sending depends on. */
export interface SenderOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    pool: upstreamPool.UpstreamPool;
}

/** Sends an attempt. */
export type Sender = (
    state: requestState.RequestState,
    target: upstreamPool.PooledUpstream,
    body: attempts.AttemptOptions["body"],
) => Promise<attempts.AttemptEnd>;

const signOf = (end: attempts.AttemptEnd): upstreamHealth.AttemptSignValue => {
    if (end.kind === "answered") {
        return end.answer.status >= 500 ? upstreamHealth.AttemptSign.failed : upstreamHealth.AttemptSign.answered;
    }
    if (end.kind === "notRun" && end.isMisdirected) {
        return upstreamHealth.AttemptSign.misdirected;
    }
    return end.kind === "notRun" && end.isShed
        ? upstreamHealth.AttemptSign.shed
        : upstreamHealth.AttemptSign.broken;
};

/**
 * Creates a sender.
 *
 * @param options - what it depends on
 * @returns sends an attempt to an upstream
 */
export const createSender = (options: SenderOptions): Sender => {
    const { timers, log, pool } = options;
    return async (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        body: attempts.AttemptOptions["body"],
    ): Promise<attempts.AttemptEnd> => {
        const { upstream, health } = target;
        const now = timers.now();
        const open = health.begin(now);
        state.attempts += 1;
        state.tried.add(upstream.identifier);
        const remaining = Math.max(1, Math.floor(state.endsAt - now));
        const attempt = attempts.startAttempt({
            connections: target.connections,
            host: upstream.host,
            port: upstream.port,
            method: state.request.method ?? "GET",
            path: state.request.url ?? "/",
            headers: [
                ...headers.passedOn(state.request.rawHeaders, [
                    platform.HeaderName.remainingMilliseconds,
                    platform.HeaderName.targetUpstream,
                ]),
                "Request-Deadline-Ms",
                String(remaining),
                "Target-Instance",
                upstream.identifier,
            ],
            requestIdentifier: state.requestIdentifier,
            body,
            connectMilliseconds: pool.connectMilliseconds(target),
            onConnected: milliseconds => pool.onConnected(target, milliseconds),
        });
        state.current = attempt;
        const end = await attempt.end;
        state.current = undefined;
        if (end.kind === "unknown") {
            state.mayHaveRun = true;
        }
        if (end.kind === "notRun" && end.isMisdirected) {
            state.misdirectedToken = state.decision?.token;
        }
        const report = end.kind === "unknown" ? undefined : end.report;
        health.end(open, state.isOver ? upstreamHealth.AttemptSign.none : signOf(end), report, timers.now());
        if (end.kind !== "answered" && !state.isOver) {
            log.write("attempt-failed", {
                request: state.requestIdentifier,
                upstream: upstream.identifier,
                result: end.kind,
                reason: end.reason,
                isNewConnection: end.kind === "unknown" ? end.isNewConnection : undefined,
                attempt: state.attempts,
                queue: report === undefined ? undefined : report.running + report.waiting,
            });
        }
        return end;
    };
};
