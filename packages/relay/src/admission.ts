/** Decides whether a request can still be served, and when a refused caller should come back. */

/** What the decision depends on; times in milliseconds. */
export interface AdmissionInput {
    /** Time until the answer. */
    expectedMilliseconds: number;
    /** Whether the upstream's speed was measured; one that never answered would never be asked otherwise. */
    isMeasured: boolean;
    /** Part of it that is spent waiting for a slot. */
    waitMilliseconds: number;
    /** Time that the caller still waits. */
    remainingMilliseconds: number;
    /** Time after which an answer is worth little; negative when it has passed. */
    targetMilliseconds: number;
}

/** Part of the remaining time that an answer may be expected to take; the rest is for what the estimate misses. */
const usablePart = 0.95;
/** How far beyond the target an answer may be expected, as a factor, before the queue is taken to be too long. */
const targetFactor = 1.1;
/** Part of their remaining time that callers wait as told. */
const highestWaitPart = 0.3;
/** Shortest wait that is worth another connection, in milliseconds. */
const lowestWaitMilliseconds = 40;

/**
 * Tells whether a request can be answered in time. Behind a queue that is longer than the target every answer would be
 * late, so the queue is kept shorter than that; a request that is late for other reasons is served all the same.
 *
 * @param input - what is known
 * @returns whether to send it on
 */
export const isServable = (input: AdmissionInput): boolean =>
    (!input.isMeasured || input.expectedMilliseconds <= input.remainingMilliseconds * usablePart)
    && (input.waitMilliseconds === 0 || input.targetMilliseconds <= 0
        || input.expectedMilliseconds <= input.targetMilliseconds * targetFactor);

/**
 * Tells when a refused caller should come back.
 *
 * @param waitMilliseconds - time until room is expected
 * @param remainingMilliseconds - time that the caller still waits
 * @param fraction - a random number from 0 to 1, so that callers do not come back together
 * @returns milliseconds
 */
export const returnMilliseconds = (
    waitMilliseconds: number,
    remainingMilliseconds: number,
    fraction: number,
): number => {
    const highest = Math.max(lowestWaitMilliseconds, remainingMilliseconds * highestWaitPart);
    const spread = Math.max(lowestWaitMilliseconds, waitMilliseconds) * (0.75 + 0.5 * fraction);
    return Math.min(highest, spread);
};
