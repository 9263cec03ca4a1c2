/**
 * Leases end at an instant of the server's own clock. That instant is fixed when the lease is computed, so a message
 * that arrives late cannot extend anything.
 */

/** A reading of a server's clock. */
export interface ClockSample {
    /** The server's clock, in milliseconds, when it answered. */
    serverClock: number;
    /** The local clock, in milliseconds, when the answer arrived. */
    receivedAt: number;
}

const driftShare = 0.05;
const schedulingMarginMilliseconds = 10;

/**
 * Computes when a lease ends.
 *
 * The sample was taken no later than it arrived, so the result is never later than the server's reading one lease
 * after the confirmation began.
 *
 * @param sample - the latest reading of the server's clock
 * @param confirmedAt - the local instant at which the confirmed round began
 * @param durationMilliseconds - length of a lease
 * @returns the instant on the server's clock at which the lease ends
 */
export const leaseExpiry = (sample: ClockSample, confirmedAt: number, durationMilliseconds: number): number =>
    sample.serverClock + (confirmedAt - sample.receivedAt) + durationMilliseconds;

/**
 * Gives the time after which every lease granted on older knowledge has ended, clock drift included.
 *
 * @param durationMilliseconds - length of a lease
 * @returns the time to wait once newer knowledge is confirmed
 */
export const waitOutMilliseconds = (durationMilliseconds: number): number =>
    durationMilliseconds * (1 + driftShare) + schedulingMarginMilliseconds;
