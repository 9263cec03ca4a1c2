/** Sends one attempt of a request, and records its result in the upstream's health. */
import * as eligibilities from "@mulberryseam/eligibility";
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
import * as sendEligibility from "./sendEligibility";
import type * as upstreamNotice from "./upstreamNotice";
import * as upstreamPool from "./upstreamPool";

/** Configures a sender of attempts. */
export interface AttemptSenderOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    pool: upstreamPool.UpstreamPool;
    eligibility: eligibilities.Eligibility;
    traffic: foundation.TrafficAccount;
    failures: foundation.FailureBoundary;
    onNotice: upstreamNotice.NoticeHandler;
    /** Whether a request that has been sent could be sent again now. */
    canSendAgain: (state: requestState.RequestState) => boolean;
    /** Called with the response of an overdue attempt, which may come after the end of its request. */
    onLateAnswer: (state: requestState.RequestState, response: attemptResult.UpstreamResponse) => void;
}

/** Sends an attempt to an upstream, which can have so many requests in time, and returns its result. */
export type AttemptSender = (
    state: requestState.RequestState,
    target: upstreamPool.PooledUpstream,
    limit: scheduling.QueueLimit,
    body: attempts.AttemptOptions["body"],
) => Promise<attemptResult.AttemptResult>;

/** An attempt and what was known when it was sent. */
interface SentAttempt {
    outstandingAttempt: scheduling.OutstandingAttempt;
    /** Requests taken to be at the upstream. */
    queueLength: number;
    /** Deadline that the upstream was told. */
    deadlineAt: number;
}

/** Interval at which requests without a response are checked, in milliseconds. */
const silenceCheckMilliseconds = 50;
const silenceReason = "the upstream is silent";
/** Service times that a further attempt is expected to need at most. */
const retryServiceTimes = 2;
/** Interval between log lines about malformed load reports of one upstream, in milliseconds. */
const malformedLoadLogMilliseconds = 60_000;

const healthSignalOf = (result: attemptResult.AttemptResult): scheduling.HealthSignalValue => {
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

const createUnsentResult = (ineligibility: eligibilities.Ineligibility): attemptResult.AttemptResult => ({
    kind: "notRun",
    reason: sendEligibility.toRefusal(ineligibility).reason,
    isRefused: false,
    isMisdirected: false,
    report: undefined,
});

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

const logMalformedSlowness = (
    log: foundation.EventLog,
    now: number,
    target: upstreamPool.PooledUpstream,
    slowness: string,
): void => {
    if (now - target.malformedLoadLoggedAt < malformedLoadLogMilliseconds) {
        return;
    }
    target.malformedLoadLoggedAt = now;
    log.write("slowness-unreadable", {
        upstream: target.upstream.identifier,
        service: target.upstream.service,
        slowness,
    });
};

/**
 * Creates a sender of attempts.
 *
 * @param options - clock, log and upstreams
 * @returns the sender
 */
export const createAttemptSender = (options: AttemptSenderOptions): AttemptSender => {
    const { timers, log, pool } = options;
    const silenceChecks = foundation.createSharedInterval(timers, silenceCheckMilliseconds);

    /** Whether a response should have come by now, or by `latestAt` if that is earlier. */
    const isResponseOverdue = (
        state: requestState.RequestState,
        { health, upstream }: upstreamPool.PooledUpstream,
        { latestStartAt }: scheduling.OutstandingAttempt,
        latestAt = Infinity,
    ): boolean => {
        const tail = pool.observations.tail(upstream.service);
        return timers.now() > scheduling.latestResponseAt({
            latestStartAt,
            serviceMilliseconds: health.serviceMilliseconds() ?? Infinity,
            deviationMilliseconds: health.deviationMilliseconds() ?? 0,
            attempt: state.attemptCount,
            isRefusing: pool.isRefusing(upstream.service),
            tailFactor: tail.isSilenceLikely() ? undefined : tail.limitFactor(),
            latestRetryAt: latestAt,
        });
    };

    /**
     * Calls back once an attempt has been silent for so long that its upstream probably has no room for it, and the request can be sent
     * again.
     */
    const watchForSilence = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        outstandingAttempt: scheduling.OutstandingAttempt,
        onSilent: () => void,
    ): foundation.Subscription =>
        silenceChecks.add(() => {
            const serviceMilliseconds = target.health.serviceMilliseconds() ?? Infinity;
            const latestRetryAt = state.deadlineAt - serviceMilliseconds * retryServiceTimes;
            if (isResponseOverdue(state, target, outstandingAttempt, latestRetryAt) && options.canSendAgain(state)) {
                onSilent();
            }
        });

    /** Keeps an attempt whose request is sent again: the upstream may be working on it, and its response still counts. */
    const keepOverdue = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        { outstandingAttempt, queueLength, deadlineAt }: SentAttempt,
        attempt: attemptResult.Attempt,
    ): void => {
        target.health.recordOverdue(timers.now());
        const handled = attempt.result.then(result => {
            target.openAttempts.delete(attempt);
            const isAnswered = result.kind === "answered";
            recordIfOverdue(pool, target, outstandingAttempt, isAnswered);
            const signal = state.isFinished && !isAnswered ? scheduling.HealthSignal.none : healthSignalOf(result);
            target.health.recordResult(outstandingAttempt, signal, reportOf(result), timers.now());
            recordMemory(state, target, result, signal);
            if (isAnswered) {
                options.onLateAnswer(state, result.response);
            }
            else if (state.isFinished) {
                // The request has ended before a response came.
                recordSilence(state, target, queueLength, deadlineAt);
            }
        }).catch(error => options.failures.report("attempt", error, { request: state.requestIdentifier }))
            .finally(() => state.overdueAttempts.delete(attempt));
        state.overdueAttempts.set(attempt, handled);
    };

    /** Cancels an attempt that has not been sent when its upstream may no longer get the request because of where it is. */
    const cancelIfIneligible = (
        state: requestState.RequestState,
        { upstream }: upstreamPool.PooledUpstream,
        isRetry: boolean,
        attempt: attemptResult.Attempt,
    ): foundation.Subscription =>
        options.eligibility.onChange(() => {
            const now = timers.now();
            const found = sendEligibility.findIneligibility(options.eligibility, state, upstream, now, isRetry);
            // The attempt itself has used a part of the rate of a cold upstream.
            const isInPlace = found === undefined || found.reason === eligibilities.IneligibilityReason.warmup;
            if (!isInPlace && !attempt.mayHaveBeenSent()) {
                attempt.cancel(sendEligibility.toRefusal(found).reason);
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
            || (result.reason === requestState.FailureReason.timeout
                && isResponseOverdue(state, target, outstandingAttempt)));

    const recordSilence = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        queueLength: number,
        sentDeadlineAt: number,
    ): void => {
        target.memory.occupyUntil(state.bodyBytes, sentDeadlineAt);
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
            onMalformedSlowness: slowness => logMalformedSlowness(log, timers.now(), target, slowness),
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
        const now = timers.now();
        // Time may have passed since the selection.
        const isRetry = sendEligibility.hasBeenSent(state);
        const ineligibility = sendEligibility.findIneligibility(options.eligibility, state, upstream, now, isRetry);
        if (ineligibility !== undefined) {
            // Counted, so that selections that do not agree with this check come to an end.
            state.attemptCount += 1;
            return createUnsentResult(ineligibility);
        }
        options.eligibility.onSent(upstream, now);
        const attemptOptions = toAttemptOptions(state, target, body);
        const queueLength = health.queueLength(now);
        const outstandingAttempt = health.recordStart(now);
        let result: attemptResult.AttemptResult | undefined;
        let signal: scheduling.HealthSignalValue = scheduling.HealthSignal.none;
        const sent = { outstandingAttempt, queueLength, deadlineAt: state.deadlineAt };
        let isSetAside = false;
        try {
            target.window.onSent(now);
            target.memory.onSent(state.bodyBytes);
            state.attemptCount += 1;
            state.triedUpstreams.add(upstream.identifier);
            state.notifiedBy = undefined;
            result = await currentAttempt.runAttempt(state, attemptOptions, (attempt, setAside) => {
                const onSilent = (): void => {
                    if (!attempt.mayHaveBeenSent()) {
                        attempt.cancel(silenceReason);
                        return;
                    }
                    if (!isSetAside) {
                        isSetAside = true;
                        keepOverdue(state, target, sent, attempt);
                        setAside(silenceReason);
                    }
                };
                // A request that may run only once is not sent again, so its response is waited for.
                const silenceCheck = state.route.kind === routing.RouteKind.idempotent && body.kind === "whole"
                    ? watchForSilence(state, target, outstandingAttempt, onSilent)
                    : undefined;
                const eligibilityCheck = cancelIfIneligible(state, target, isRetry, attempt);
                target.openAttempts.add(attempt);
                return {
                    cancel: () => {
                        eligibilityCheck.cancel();
                        silenceCheck?.cancel();
                        if (!isSetAside) {
                            target.openAttempts.delete(attempt);
                        }
                    },
                };
            });
            signal = state.isFinished ? scheduling.HealthSignal.none : healthSignalOf(result);
        }
        finally {
            if (!isSetAside) {
                recordIfOverdue(pool, target, outstandingAttempt, result?.kind === "answered");
                health.recordResult(outstandingAttempt, signal, reportOf(result), timers.now());
                recordMemory(state, target, result, signal);
            }
        }
        if (!isSetAside && wasSilent(state, target, outstandingAttempt, result)) {
            recordSilence(state, target, sent.queueLength, sent.deadlineAt);
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
