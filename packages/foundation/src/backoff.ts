/** Exponential backoff with jitter, so that many processes do not overload a failed service with retries. */
import type * as random from "./random";

/** Delays between retries of one operation. */
export interface Backoff {
    /** Returns the next delay in milliseconds. */
    next: () => number;
    /** Returns to the minimum delay; call it after a success. */
    reset: () => void;
}

/** Maximum deviation of a delay from its base, as a fraction of the base, so that processes do not retry in step. */
const jitterRatio = 0.25;

/**
 * Creates a backoff whose base delay doubles with each retry.
 *
 * @param minMilliseconds - base of the first delay
 * @param maxMilliseconds - upper limit of the base delay; jitter may exceed it
 * @param randomSource - source of the jitter
 * @returns a backoff at its minimum delay
 */
export const createBackoff = (
    minMilliseconds: number,
    maxMilliseconds: number,
    randomSource: random.Random,
): Backoff => {
    let baseMilliseconds = minMilliseconds;
    return {
        next: () => {
            const delayMilliseconds = baseMilliseconds * (1 - jitterRatio + 2 * jitterRatio * randomSource.fraction());
            baseMilliseconds = Math.min(maxMilliseconds, baseMilliseconds * 2);
            return delayMilliseconds;
        },
        reset: () => {
            baseMilliseconds = minMilliseconds;
        },
    };
};
