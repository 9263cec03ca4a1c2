/** Admission control: whether a request can still be served in time, and when a refused caller should retry. */

import type * as concurrencyWindow from "./concurrencyWindow";

/** Input of an admission decision; times in milliseconds. */
export interface AdmissionInput {
    /** Expected response time. */
    expectedMilliseconds: number;
    /** Whether the service time was measured; an unmeasured upstream is always tried, or it would never be measured. */
    isMeasured: boolean;
    /** Portion of the response time spent waiting for a slot. */
    waitMilliseconds: number;
    /** Time until the caller's deadline. */
    remainingMilliseconds: number;
    /** Time until the route's target, after which a response has little value; negative once it has passed. */
    targetMilliseconds: number;
}

/** Ratio of the remaining time that the expected response time can use; the rest covers errors of the estimate. */
const usableRatio = 0.95;
/**
 * Ratio of the target's slack that the wait for a slot can use. Each instance knows only a part of the queue, so the real wait may be
 * longer, and with a longer queue every response would be late.
 */
const maxWaitOfSlackRatio = 0.8;
/** Ratio of their remaining time up to which callers honour `Retry-After`. */
const maxWaitRatio = 0.3;
/** Largest ratio of a wait by which it is shortened or extended at random. */
const maxJitter = 0.25;
/** Shortest wait that is worth another connection, in milliseconds. */
const minWaitMilliseconds = 40;

/**
 * Whether a request can be answered in time. With a queue that uses up the target every response would be late, so the
 * queue is kept shorter; a request that is late for other reasons is still served.
 *
 * @param input - estimates and limits of the request
 * @returns whether to send the request to the upstream
 */
export const isAdmissible = (input: AdmissionInput): boolean => {
    const { expectedMilliseconds, waitMilliseconds, targetMilliseconds } = input;
    if (input.isMeasured && expectedMilliseconds > input.remainingMilliseconds * usableRatio) {
        return false;
    }
    const slackMilliseconds = targetMilliseconds - (expectedMilliseconds - waitMilliseconds);
    return waitMilliseconds === 0 || targetMilliseconds <= 0
        || waitMilliseconds <= slackMilliseconds * maxWaitOfSlackRatio;
};

/** What is known of an upstream and a request for it; times in milliseconds. */
export interface QueueLimitInput extends AdmissionInput {
    slots: number;
    /** Service time of one request at the upstream. */
    serviceMilliseconds: number;
}

/**
 * Returns how many requests of all instances an upstream can have while it still serves a further one in time: before the target
 * or, once that has passed, before the deadline.
 *
 * @param input - estimates and limits of the request
 * @returns the limit
 */
export const queueLimit = (input: QueueLimitInput): concurrencyWindow.QueueLimit => {
    const { slots, serviceMilliseconds } = input;
    const workMilliseconds = input.expectedMilliseconds - input.waitMilliseconds;
    const untilMilliseconds = input.targetMilliseconds > 0 ? input.targetMilliseconds : input.remainingMilliseconds;
    const maxWaitMilliseconds = Math.max(0, untilMilliseconds - workMilliseconds) * maxWaitOfSlackRatio;
    return { requests: slots + maxWaitMilliseconds / serviceMilliseconds * slots, serviceMilliseconds };
};

/**
 * Returns the time after which a refused caller should retry.
 *
 * @param waitMilliseconds - expected time until a slot is free
 * @param remainingMilliseconds - time until the caller's deadline
 * @param randomFraction - a random number from 0 to 1, the jitter that keeps callers from retrying at the same time
 * @param isMinimum - whether a retry before the end of the wait is certain to be refused
 * @returns the delay in milliseconds
 */
export const retryAfterMilliseconds = (
    waitMilliseconds: number,
    remainingMilliseconds: number,
    randomFraction: number,
    isMinimum = false,
): number => {
    const maxMilliseconds = Math.max(minWaitMilliseconds, remainingMilliseconds * maxWaitRatio);
    const jitterFactor = (isMinimum ? 1 : 1 - maxJitter) + 2 * maxJitter * randomFraction;
    const jitteredMilliseconds = Math.max(minWaitMilliseconds, waitMilliseconds) * jitterFactor;
    return Math.min(maxMilliseconds, jitteredMilliseconds);
};
