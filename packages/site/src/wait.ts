/** Real-time delays and the history clock, for tools that control processes. */

/**
 * Waits in real time.
 *
 * @param milliseconds - the duration
 * @returns once the time has passed
 */
export const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/**
 * Returns the current time on the clock that the ownership histories of servers use.
 *
 * @returns milliseconds since the epoch, with fractions
 */
export const currentHistoryTime = (): number => performance.timeOrigin + performance.now();
