/** Sends one attempt of a request. */
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
import * as overdueAttempts from "./overdueAttempts";
import type * as requestState from "./requestState";
import * as resultRecorder from "./resultRecorder";
import * as sendEligibility from "./sendEligibility";
import type * as upstreamNotice from "./upstreamNotice";
import type * as upstreamPool from "./upstreamPool";

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

/** Interval between log lines about malformed load reports of one upstream, in milliseconds. */
const malformedLoadLogMilliseconds = 60_000;

const createUnsentResult = (ineligibility: eligibilities.Ineligibility): attemptResult.AttemptResult => ({
    kind: "notRun",
    reason: sendEligibility.toRefusal(ineligibility).reason,
    isRefused: false,
    isMisdirected: false,
    report: undefined,
});

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
    const recorder = resultRecorder.createResultRecorder(options);
    const overdue = overdueAttempts.createOverdueAttempts({ ...options, recorder });

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
                        attempt.cancel(resultRecorder.silenceReason);
                        return;
                    }
                    if (!isSetAside) {
                        isSetAside = true;
                        overdue.keep(state, target, sent, attempt);
                        setAside(resultRecorder.silenceReason);
                    }
                };
                // A request that may run only once is not sent again, so its response is waited for.
                const silenceCheck = state.route.kind === routing.RouteKind.idempotent && body.kind === "whole"
                    ? overdue.watchForSilence(state, target, outstandingAttempt, onSilent)
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
            signal = state.isFinished ? scheduling.HealthSignal.none : resultRecorder.healthSignalOf(result);
        }
        finally {
            if (!isSetAside) {
                recorder.recordEnd(state, target, outstandingAttempt, result, signal);
            }
        }
        if (!isSetAside && overdue.wasSilent(state, target, outstandingAttempt, result)) {
            recorder.recordSilence(state, target, sent.queueLength, sent.deadlineAt);
        }
        if (result.kind === "unknown") {
            state.mayHaveRun = true;
        }
        if (result.kind === "notRun" && result.isMisdirected) {
            state.misdirectedToken = state.decision?.token;
        }
        recorder.applyResult(state, target, limit, result, signal);
        return result;
    };
};
