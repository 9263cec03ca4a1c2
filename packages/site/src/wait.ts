/** Waiting in real time, for tools that drive processes. */

/**
 * Waits.
 *
 * @param milliseconds - how long
 * @returns when the time is up
 */
export const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/**
 * Tells the time on the clock that servers' histories are given in.
 *
 * @returns milliseconds since the epoch, with fractions
 */
export const historyClock = (): number => performance.timeOrigin + performance.now();
