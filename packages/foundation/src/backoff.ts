/** Pauses between attempts at something that fails, so that many processes together do not press on what is down. */
import type * as random from "./random";

/** Growing pauses. */
export interface Backoff {
    /** The next pause, in milliseconds. */
    next: () => number;
    /** Begins with the shortest pause again, after a success. */
    reset: () => void;
}

/** How far a pause may lie from its usual length, as a part of it, so that processes do not come together. */
const spread = 0.25;

/**
 * Creates pauses that double.
 *
 * @param shortestMilliseconds - the first pause
 * @param longestMilliseconds - no pause is usually longer
 * @param source - of chance
 * @returns the pauses
 */
export const createBackoff = (
    shortestMilliseconds: number,
    longestMilliseconds: number,
    source: random.Random,
): Backoff => {
    let usual = shortestMilliseconds;
    return {
        next: () => {
            const pause = usual * (1 - spread + 2 * spread * source.fraction());
            usual = Math.min(longestMilliseconds, usual * 2);
            return pause;
        },
        reset: () => {
            usual = shortestMilliseconds;
        },
    };
};
