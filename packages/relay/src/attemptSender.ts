/** Sends one attempt of a request, and records its result in the upstream's health. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as scheduling from "@mulberryseam/scheduling";
import type * as attempts from "./attempt";
import type * as attemptResult from "./attemptResult";
import * as currentAttempt from "./currentAttempt";
import * as delegatedRequest from "./delegatedRequest";
import * as headers from "./headers";
import * as requestState from "./requestState";
import type * as upstreamNotice from "./upstreamNotice";
import * as upstreamPool from "./upstreamPool";

/** Configures a sender of attempts. */
export interface AttemptSenderOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    pool: upstreamPool.UpstreamPool;
    traffic: foundation.TrafficAccount;
    failures: foundation.FailureBoundary;
    onNotice: upstreamNotice.NoticeHandler;
    /** Whether a request that has been sent could be sent again now. */
    canSendAgain: (state: requestState.RequestState) => boolean;
}

/** Sends an attempt to an upstream, which can have so many requests in time, and returns its result. */
export type AttemptSender = (
    state: requestState.RequestState,
    target: upstreamPool.PooledUpstream,
    limit: scheduling.QueueLimit,
    body: attempts.AttemptOptions["body"],
) => Promise<attemptResult.AttemptResult>;

/** Interval at which requests without a response are checked, in milliseconds. */
const silenceCheckMilliseconds = 50;
const silenceReason = "the upstream is silent";

const healthSignalOf = (result: attemptResult.AttemptResult): scheduling.HealthSignalValue => {
    if (result.kind === "notRun" && result.reason === upstreamPool.holdOffReason) {
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

/**
 * Creates a sender of attempts.
 *
 * @param options - clock, log and upstreams
 * @returns the sender
 */
export const createAttemptSender = (options: AttemptSenderOptions): AttemptSender => {
    const { timers, log, pool } = options;
    const silenceChecks = foundation.createSharedInterval(timers, silenceCheckMilliseconds);

    /** Whether the response to a request was due already. */
    const isOverdue = (
        state: requestState.RequestState,
        { health, upstream }: upstreamPool.PooledUpstream,
        { latestStartAt }: scheduling.OutstandingAttempt,
    ): boolean =>
        timers.now() > scheduling.latestResponseAt({
            latestStartAt,
            serviceMilliseconds: health.serviceMilliseconds() ?? Infinity,
            deviationMilliseconds: health.deviationMilliseconds() ?? 0,
            attempt: state.attemptCount,
            isRefusing: pool.isRefusing(upstream.service),
        });

    /**
     * Aborts an attempt that its upstream has no room for, so that the request can be sent again. If it cannot, it is better waited for: the
     * upstream may be working on it.
     */
    const abortIfSilent = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        outstandingAttempt: scheduling.OutstandingAttempt,
        attempt: attemptResult.Attempt,
    ): foundation.Subscription =>
        silenceChecks.add(() => {
            if (isOverdue(state, target, outstandingAttempt) && options.canSendAgain(state)) {
                attempt.cancel(silenceReason);
            }
        });

    /** Whether an attempt ended without a response that was due: it was aborted, or the time of its request is over. */
    const wasSilent = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        outstandingAttempt: scheduling.OutstandingAttempt,
        result: attemptResult.AttemptResult,
    ): boolean =>
        result.kind === "unknown"
        && (result.reason === silenceReason
            || (result.reason === requestState.FailureReason.timeout && isOverdue(state, target, outstandingAttempt)));

    const recordSilence = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        queueLength: number,
        sentDeadlineAt: number,
    ): void => {
        const isFull = pool.onSilence(target, queueLength, sentDeadlineAt);
        log.write("upstream-silent", {
            request: state.requestIdentifier,
            upstream: target.upstream.identifier,
            service: target.upstream.service,
            queue: Math.round(queueLength),
            isFull,
            capacity: pool.capacityOf(target),
        });
    };

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

    const toAttemptOptions = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        body: attempts.AttemptOptions["body"],
    ): attempts.AttemptOptions => {
        const { upstream } = target;
        const remaining = Math.max(1, Math.floor(state.deadlineAt - timers.now()));
        return {
            timers,
            connections: target.connections,
            host: upstream.host,
            port: upstream.port,
            method: state.request.method ?? "GET",
            path: state.request.url ?? "/",
            headers: [
                ...headers.forwardedHeaders(state.request.rawHeaders, [
                    platform.HeaderName.remainingMilliseconds,
                    platform.HeaderName.targetUpstream,
                    delegatedRequest.delegationHeader,
                ]),
                "Request-Deadline-Ms",
                String(remaining),
                "Target-Instance",
                upstream.identifier,
            ],
            requestIdentifier: state.requestIdentifier,
            reservation: state.reservation,
            failures: options.failures,
            body,
            connectTimeoutMilliseconds: pool.connectTimeoutMilliseconds(target),
            onConnected: milliseconds => pool.onConnected(target, milliseconds),
            onNotice: notice => {
                state.notifiedBy = upstream;
                options.onNotice(upstream, notice);
            },
            onCloseDelimitedEnd: end =>
                log.write("answer-without-length", {
                    request: state.requestIdentifier,
                    upstream: upstream.identifier,
                    ...end,
                }),
            onTransferred: transfer =>
                options.traffic.add(foundation.TrafficPurpose.request, pool.reachOf(target), transfer),
        };
    };

    /** Updates the request and the upstream's records with a result; its attempt is no longer outstanding. */
    const applyResult = (
        state: requestState.RequestState,
        { upstream, window }: upstreamPool.PooledUpstream,
        limit: scheduling.QueueLimit,
        result: attemptResult.AttemptResult,
        signal: scheduling.HealthSignalValue,
    ): void => {
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
    };

    return async (state, target, limit, body) => {
        const { upstream, health } = target;
        const attemptOptions = toAttemptOptions(state, target, body);
        const now = timers.now();
        const queueLength = health.queueLength(now);
        const sentDeadlineAt = state.deadlineAt;
        const outstandingAttempt = health.recordStart(now);
        let result: attemptResult.AttemptResult | undefined;
        let signal: scheduling.HealthSignalValue = scheduling.HealthSignal.none;
        try {
            target.window.onSent(now);
            target.memory.onSent(state.bodyBytes);
            state.attemptCount += 1;
            state.triedUpstreams.add(upstream.identifier);
            state.notifiedBy = undefined;
            result = await currentAttempt.runAttempt(state, attemptOptions, attempt => {
                // A request that may run only once is not sent again, so its response is waited for.
                const silenceCheck = state.route.kind === routing.RouteKind.idempotent && body.kind === "whole"
                    ? abortIfSilent(state, target, outstandingAttempt, attempt)
                    : undefined;
                target.openAttempts.add(attempt);
                return {
                    cancel: () => {
                        target.openAttempts.delete(attempt);
                        silenceCheck?.cancel();
                    },
                };
            });
            signal = state.isFinished ? scheduling.HealthSignal.none : healthSignalOf(result);
        }
        finally {
            health.recordResult(outstandingAttempt, signal, reportOf(result), timers.now());
            recordMemory(state, target, result, signal);
        }
        if (wasSilent(state, target, outstandingAttempt, result)) {
            target.memory.occupyUntil(state.bodyBytes, sentDeadlineAt);
            recordSilence(state, target, queueLength, sentDeadlineAt);
        }
        if (result.kind === "unknown") {
            state.mayHaveRun = true;
        }
        if (result.kind === "notRun" && result.isMisdirected) {
            state.misdirectedToken = state.decision?.token;
        }
        applyResult(state, target, limit, result, signal);
        return result;
    };
};
