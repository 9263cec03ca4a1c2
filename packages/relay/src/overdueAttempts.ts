/** Watches for attempts whose response is overdue, and keeps them while their request is sent again: their response still counts. */
import * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import type * as attemptResult from "./attemptResult";
import * as requestState from "./requestState";
import * as resultRecorder from "./resultRecorder";
import type * as upstreamPool from "./upstreamPool";

/** Configures what watches for overdue attempts. */
export interface OverdueAttemptsOptions {
    timers: foundation.TimerService;
    pool: upstreamPool.UpstreamPool;
    failures: foundation.FailureBoundary;
    recorder: resultRecorder.ResultRecorder;
    /** Whether a request that has been sent could be sent again now. */
    canSendAgain: (state: requestState.RequestState) => boolean;
    /** Called with the response of an overdue attempt, which may come after the end of its request. */
    onLateAnswer: (state: requestState.RequestState, response: attemptResult.UpstreamResponse) => void;
}

/** An attempt and what was known when it was sent. */
export interface SentAttempt {
    outstandingAttempt: scheduling.OutstandingAttempt;
    /** Requests taken to be at the upstream. */
    queueLength: number;
    /** Deadline that the upstream was told. */
    deadlineAt: number;
}

/** Watches for attempts whose response is overdue. */
export interface OverdueAttempts {
    /** Calls back once a response takes longer than usual, and the request can be sent again. */
    watchForSilence: (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        outstandingAttempt: scheduling.OutstandingAttempt,
        onSilent: () => void,
    ) => foundation.Subscription;
    /** Keeps an attempt whose request is sent again: the upstream may be working on it, and its response still counts. */
    keep: (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        sent: SentAttempt,
        attempt: attemptResult.Attempt,
    ) => void;
    /** Whether an attempt ended without a response that was due: it was aborted, or the time of its request is over. */
    wasSilent: (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        outstandingAttempt: scheduling.OutstandingAttempt,
        result: attemptResult.AttemptResult,
    ) => boolean;
}

/** Interval at which requests without a response are checked, in milliseconds. */
const silenceCheckMilliseconds = 50;

/**
 * Creates what watches for overdue attempts.
 *
 * @param options - clock, upstreams and what is done with the result of an overdue attempt
 * @returns the watch
 */
export const createOverdueAttempts = (options: OverdueAttemptsOptions): OverdueAttempts => {
    const { timers, pool, recorder } = options;
    const silenceChecks = foundation.createSharedInterval(timers, silenceCheckMilliseconds);

    /** Whether a response should have come by now; `tailFactor` allows for responses of the tail. */
    const isResponseOverdue = (
        state: requestState.RequestState,
        { health, upstream }: upstreamPool.PooledUpstream,
        { latestStartAt }: scheduling.OutstandingAttempt,
        tailFactor?: number,
    ): boolean =>
        timers.now() > scheduling.latestResponseAt({
            latestStartAt,
            serviceMilliseconds: health.serviceMilliseconds() ?? Infinity,
            deviationMilliseconds: health.deviationMilliseconds() ?? 0,
            attempt: state.attemptCount,
            isRefusing: pool.isRefusing(upstream.service),
            tailFactor,
        });

    /** Whether the upstream has probably ignored a request: not even a response of the tail takes so long. */
    const isSilent = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        outstandingAttempt: scheduling.OutstandingAttempt,
    ): boolean => {
        const tail = pool.observations.tail(target.upstream.service);
        const tailFactor = tail.isSilenceLikely() ? undefined : tail.limitFactor();
        return isResponseOverdue(state, target, outstandingAttempt, tailFactor);
    };

    return {
        watchForSilence: (state, target, outstandingAttempt, onSilent) =>
            silenceChecks.add(() => {
                // A response of the tail still counts if it comes, so the request is sent again before one is ruled out.
                if (isResponseOverdue(state, target, outstandingAttempt) && options.canSendAgain(state)) {
                    onSilent();
                }
            }),
        keep: (state, target, { outstandingAttempt, queueLength, deadlineAt }, attempt) => {
            target.health.recordOverdue(timers.now());
            const handled = attempt.result.then(result => {
                target.openAttempts.delete(attempt);
                const isAnswered = result.kind === "answered";
                const signal = state.isFinished && !isAnswered
                    ? scheduling.HealthSignal.none
                    : resultRecorder.healthSignalOf(result);
                recorder.recordEnd(state, target, outstandingAttempt, result, signal);
                if (isAnswered) {
                    options.onLateAnswer(state, result.response);
                }
                else if (state.isFinished) {
                    const evidence = isSilent(state, target, outstandingAttempt) ? queueLength : undefined;
                    recorder.recordSilence(state, target, evidence, deadlineAt);
                }
            }).catch(error => options.failures.report("attempt", error, { request: state.requestIdentifier }))
                .finally(() => state.overdueAttempts.delete(attempt));
            state.overdueAttempts.set(attempt, handled);
        },
        wasSilent: (state, target, outstandingAttempt, result) =>
            result.kind === "unknown"
            && (result.reason === resultRecorder.silenceReason
                || (result.reason === requestState.FailureReason.timeout
                    && isSilent(state, target, outstandingAttempt))),
    };
};
