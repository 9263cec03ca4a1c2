/**
 * Measures the event loop delay of an instance, to detect that it gets more requests than its processor can forward, as
 * when the other instances of its failure domain are replaced during a burst.
 */
import type * as foundation from "@mulberryseam/foundation";

/** Event loop delay of the process. */
export interface EventLoopDelay {
    /** Approximate time that a request read now has waited, in milliseconds. */
    milliseconds: () => number;
}

const intervalMilliseconds = 20;
/** Ratio of the previous delay kept at each tick, as a backlog takes several loop iterations to clear. */
const decayFactor = 0.8;

/** Delay above which requests of the most urgent rank are refused, in milliseconds: half of a quick response time. */
const topRankLimitMilliseconds = 250;
/** How much lower the limit of each less urgent rank is, in milliseconds. */
const rankStepMilliseconds = 60;
const minLimitMilliseconds = 100;

/**
 * Whether an instance is too overloaded for a request and should refuse it, so that the caller tries another instance.
 * The least urgent requests are refused first; a refusal takes a small fraction of the work of forwarding.
 *
 * @param rank - the route's rank; 0 is the most urgent
 * @param delayMilliseconds - {@link EventLoopDelay.milliseconds}
 * @returns whether to refuse the request
 */
export const isOverloaded = (rank: number, delayMilliseconds: number): boolean =>
    delayMilliseconds > Math.max(minLimitMilliseconds, topRankLimitMilliseconds - rank * rankStepMilliseconds);

const nextLoopIteration = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Resolves once all data that had arrived before the call was read, including the end of callers' connections. A request and the end
 * of its connection may have arrived together, as when the connection was established late.
 */
export const waitForPendingReads = async (): Promise<void> => {
    // Sockets are read between two loop iterations.
    await nextLoopIteration();
    await nextLoopIteration();
};

/**
 * Measures the event loop delay of this process until the owner is disposed.
 *
 * @param timers - the timer service
 * @param owner - stops the measurement when disposed
 * @returns the event loop delay
 */
export const createEventLoopDelay = (timers: foundation.TimerService, owner: foundation.Owner): EventLoopDelay => {
    let lastTickAt = timers.now();
    let decayingDelay = 0;
    const currentDelay = (): number => Math.max(0, timers.now() - lastTickAt - intervalMilliseconds);
    const subscription = timers.onInterval(intervalMilliseconds, () => {
        decayingDelay = Math.max(currentDelay(), decayingDelay * decayFactor);
        lastTickAt = timers.now();
    });
    owner.onCleanup(() => subscription.cancel());
    const milliseconds = (): number => Math.max(decayingDelay, currentDelay());
    return { milliseconds };
};
