/** The one source of time. Parts subscribe to it, so that tests can drive time by hand. */

/** A pending callback that can be withdrawn. */
export interface Subscription {
    cancel: () => void;
}

/** Tells the time and calls subscribers back. */
export interface TimerService {
    /** Milliseconds on a monotonic clock whose origin is arbitrary. */
    now: () => number;
    /** Milliseconds since the epoch, for records that people read; never used in a decision. */
    wallClock: () => number;
    /** Calls back once after a delay in milliseconds. */
    onDelay: (delayMilliseconds: number, callback: () => void) => Subscription;
    /** Calls back repeatedly, each time an interval in milliseconds after the last. */
    onInterval: (intervalMilliseconds: number, callback: () => void) => Subscription;
}

/**
 * Waits.
 *
 * @param timers - the timer service
 * @param milliseconds - how long
 * @returns when the time is up
 */
export const pause = (timers: TimerService, milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        timers.onDelay(milliseconds, () => resolve());
    });

/**
 * Creates a timer service on the clock of the process.
 *
 * @returns a timer service that tells real time
 */
export const createTimerService = (): TimerService => ({
    now: () => performance.now(),
    wallClock: () => Date.now(),
    onDelay: (delayMilliseconds, callback) => {
        const handle = setTimeout(callback, delayMilliseconds);
        return { cancel: () => clearTimeout(handle) };
    },
    onInterval: (intervalMilliseconds, callback) => {
        const handle = setInterval(callback, intervalMilliseconds);
        return { cancel: () => clearInterval(handle) };
    },
});
