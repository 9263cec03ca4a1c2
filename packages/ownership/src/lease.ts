/**
 * Computes lease expiry times. A lease expires at an instant on the server's own clock, which is fixed when the lease
 * is computed, so a delayed message cannot extend it.
 */

/** A reading of a server's clock. */
export interface ClockSample {
    /** The server's clock, in milliseconds, when it responded. */
    serverClock: number;
    /** The local clock, in milliseconds, when the response arrived. */
    receivedAt: number;
}

const maxClockDriftRatio = 0.05;
const schedulingMarginMilliseconds = 10;

/**
 * Computes when a lease expires.
 *
 * The server read its clock before the response arrived, so the lease expires no later than one lease duration after
 * the confirmed round began.
 *
 * @param sample - the latest reading of the server's clock
 * @param confirmedAt - the local time at which the confirmed round began, in milliseconds
 * @param durationMilliseconds - the lease duration
 * @returns the expiry time on the server's clock, in milliseconds
 */
export const leaseExpiry = (sample: ClockSample, confirmedAt: number, durationMilliseconds: number): number =>
    sample.serverClock + (confirmedAt - sample.receivedAt) + durationMilliseconds;

/**
 * Computes the wait after which every lease granted on older knowledge has expired, allowing for clock drift.
 *
 * @param durationMilliseconds - the lease duration
 * @returns the time to wait once newer knowledge is confirmed, in milliseconds
 */
export const leaseExpiryWaitMilliseconds = (durationMilliseconds: number): number =>
    durationMilliseconds * (1 + maxClockDriftRatio) + schedulingMarginMilliseconds;
