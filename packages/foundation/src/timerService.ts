/** The only source of time. All components use it, so that tests can control the clock. */

/** A scheduled callback that can be cancelled. */
export interface Subscription {
    cancel: () => void;
}

/** Clocks and timers. */
export interface TimerService {
    /** Returns the milliseconds of a monotonic clock with an arbitrary origin. */
    now: () => number;
    /** Returns the milliseconds since the epoch, only for timestamps that people read; no decision may depend on it. */
    wallClock: () => number;
    /** Calls the callback once after a delay in milliseconds. */
    onDelay: (delayMilliseconds: number, callback: () => void) => Subscription;
    /** Calls the callback repeatedly, at an interval in milliseconds. */
    onInterval: (intervalMilliseconds: number, callback: () => void) => Subscription;
}

/**
 * Waits for a duration.
 *
 * @param timers - the timer service
 * @param milliseconds - the duration
 * @returns a promise that resolves after the duration
 */
export const pause = (timers: TimerService, milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        timers.onDelay(milliseconds, () => resolve());
    });

/** Longest delay of the timers of Node.js, in milliseconds; a longer one would end at once. */
export const maxDelayMilliseconds = 2 ** 31 - 1;

/**
 * Creates a timer service that uses the clocks of the process.
 *
 * @param onFailure - called with the exception of a callback; without it, the exception is not caught
 * @returns a timer service in real time
 */
export const createTimerService = (onFailure?: (error: unknown) => void): TimerService => {
    const guard = (callback: () => void): () => void =>
        onFailure === undefined ? callback : () => {
            try {
                callback();
            }
            catch (error) {
                onFailure(error);
            }
        };
    return {
        now: () => performance.now(),
        wallClock: () => Date.now(),
        onDelay: (delayMilliseconds, callback) => {
            const handle = setTimeout(guard(callback), Math.min(delayMilliseconds, maxDelayMilliseconds));
            return { cancel: () => clearTimeout(handle) };
        },
        onInterval: (intervalMilliseconds, callback) => {
            const handle = setInterval(guard(callback), Math.min(intervalMilliseconds, maxDelayMilliseconds));
            return { cancel: () => clearInterval(handle) };
        },
    };
};
