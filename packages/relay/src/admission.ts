/** Decides whether a request can still be served, and when a refused caller should come back. */

/** What the decision depends on; times in milliseconds. */
export interface AdmissionInput {
    /** Time until the answer. */
    expectedMilliseconds: number;
    /** Time that the caller still waits. */
    remainingMilliseconds: number;
}

/** Part of the remaining time that an answer may be expected to take; the rest is for what the estimate misses. */
const usablePart = 0.95;
/** Part of their remaining time that callers wait as told. */
const highestWaitPart = 0.3;
/** Shortest wait that is worth another connection, in milliseconds. */
const lowestWaitMilliseconds = 40;

/**
 * Tells whether a request can be answered in time.
 *
 * @param input - what is known
 * @returns whether to send it on
 */
export const isServable = (input: AdmissionInput): boolean =>
    input.expectedMilliseconds <= input.remainingMilliseconds * usablePart;

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
