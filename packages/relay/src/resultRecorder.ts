/** Records the results of attempts: in the health, memory and queue capacity of their upstreams, and in the log. */
import type * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import type * as attemptResult from "./attemptResult";
import type * as requestState from "./requestState";
import * as sendEligibility from "./sendEligibility";
import * as upstreamPool from "./upstreamPool";

/** Configures a recorder of results. */
export interface ResultRecorderOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    pool: upstreamPool.UpstreamPool;
}

/** Records the results of attempts. */
export interface ResultRecorder {
    /** Records in an upstream's health and memory that an attempt has ended; `result` is undefined after an exception. */
    recordEnd: (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        outstandingAttempt: scheduling.OutstandingAttempt,
        result: attemptResult.AttemptResult | undefined,
        signal: scheduling.HealthSignalValue,
    ) => void;
    /** Records that no response came although it was due; queue length and deadline are those at which the request was sent. */
    recordSilence: (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        queueLength: number | undefined,
        sentDeadlineAt: number,
    ) => void;
    /** Updates the records of the upstream and its service with a result whose attempt is no longer outstanding, and logs a failure. */
    applyResult: (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        limit: scheduling.QueueLimit,
        result: attemptResult.AttemptResult,
        signal: scheduling.HealthSignalValue,
    ) => void;
}

/** Why attempts end whose response is overdue. */
export const silenceReason = "the upstream is silent";

/** Returns what a result says about the health of its upstream. */
export const healthSignalOf = (result: attemptResult.AttemptResult): scheduling.HealthSignalValue => {
    if (
        result.kind === "notRun"
        && (result.reason === upstreamPool.holdOffReason || sendEligibility.isIneligibilityReason(result.reason))
    ) {
        return scheduling.HealthSignal.none;
    }
    if (result.kind === "unknown" && result.reason === silenceReason) {
        return scheduling.HealthSignal.silent;
    }
    if (result.kind === "answered") {
        return result.response.status >= 500
            ? scheduling.HealthSignal.failed
            : scheduling.HealthSignal.answered;
    }
    if (result.kind === "notRun" && result.isMisdirected) {
        return scheduling.HealthSignal.misdirected;
    }
    return result.kind === "notRun" && result.isRefused
        ? scheduling.HealthSignal.shed
        : scheduling.HealthSignal.broken;
};

const reportOf = (result: attemptResult.AttemptResult | undefined): scheduling.LoadReport | undefined =>
    result === undefined || result.kind === "unknown" ? undefined : result.report;

/** Records whether the response to an attempt that took longer than usual has come, before the result itself is recorded. */
const recordIfOverdue = (
    { now, observations }: upstreamPool.UpstreamPool,
    { health, upstream }: upstreamPool.PooledUpstream,
    { latestStartAt }: scheduling.OutstandingAttempt,
    isAnswered: boolean,
): void => {
    const serviceMilliseconds = health.serviceMilliseconds() ?? Infinity;
    const tail = observations.tail(upstream.service);
    const usual = scheduling.usualResponseMilliseconds(serviceMilliseconds, health.deviationMilliseconds() ?? 0);
    // Without a response, an attempt that ended earlier could still have been answered.
    const longest = Math.max(usual, serviceMilliseconds * tail.limitFactor());
    if (now() - latestStartAt > (isAnswered ? usual : longest)) {
        tail.recordOverdue(isAnswered);
    }
};

/**
 * Creates a recorder of results.
 *
 * @param options - clock, log and upstreams
 * @returns the recorder
 */
export const createResultRecorder = (options: ResultRecorderOptions): ResultRecorder => {
    const { timers, log, pool } = options;

    /** Ends the count of a request's bytes. A lost connection may show that the upstream has crashed of them. */
    const recordMemory = (
        state: requestState.RequestState,
        { upstream, memory }: upstreamPool.PooledUpstream,
        result: attemptResult.AttemptResult | undefined,
        signal: scheduling.HealthSignalValue,
    ): void => {
        const bytes = memory.outstandingBytes(timers.now());
        const isLost = result?.kind === "unknown" && signal === scheduling.HealthSignal.broken;
        if (isLost && memory.onBroken(timers.now())) {
            log.write("upstream-memory", { upstream: upstream.identifier, service: upstream.service, bytes });
        }
        memory.onEnd(state.bodyBytes);
    };

    return {
        recordEnd: (state, target, outstandingAttempt, result, signal) => {
            recordIfOverdue(pool, target, outstandingAttempt, result?.kind === "answered");
            target.health.recordResult(outstandingAttempt, signal, reportOf(result), timers.now());
            recordMemory(state, target, result, signal);
        },
        recordSilence: (state, target, queueLength, sentDeadlineAt) => {
            target.memory.occupyUntil(state.bodyBytes, sentDeadlineAt);
            const isFull = pool.onSilence(target, queueLength, sentDeadlineAt);
            log.write("upstream-silent", {
                request: state.requestIdentifier,
                upstream: target.upstream.identifier,
                service: target.upstream.service,
                queue: queueLength === undefined ? undefined : Math.round(queueLength),
                isFull,
                capacity: pool.capacityOf(target),
            });
        },
        applyResult: (state, { upstream, window }, limit, result, signal) => {
            const report = reportOf(result);
            if (signal === scheduling.HealthSignal.shed && (report?.waiting ?? 0) > 0) {
                pool.onRefusal(upstream.service);
            }
            if (report !== undefined) {
                const capacity = pool.queueCapacity(upstream.service);
                if (pool.isRefusing(upstream.service) && signal === scheduling.HealthSignal.shed) {
                    capacity.onRefusal(report);
                }
                else {
                    capacity.onReport(report);
                }
            }
            if (report !== undefined) {
                window.onReport(report, limit, timers.now());
            }
            else if (signal === scheduling.HealthSignal.silent || signal === scheduling.HealthSignal.broken) {
                window.onNoRoom(limit, timers.now());
            }
            if (result.kind !== "answered" && !state.isFinished) {
                log.write("attempt-failed", {
                    request: state.requestIdentifier,
                    upstream: upstream.identifier,
                    result: result.kind,
                    reason: result.reason,
                    isNewConnection: result.kind === "unknown" ? result.isNewConnection : undefined,
                    attempt: state.attemptCount,
                    queue: report === undefined ? undefined : report.running + report.waiting,
                });
            }
        },
    };
};
