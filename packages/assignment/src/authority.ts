/** How long a leader may send orders after the store last showed that it leads. */

import * as heldRange from "./heldRange";
import type * as records from "./records";

/** Time after a proof in which orders may be sent, in milliseconds; a successor waits as long. */
export const authorityMilliseconds = 2000;
/** Age of a proof from which the longest leases are granted, in milliseconds: two beats that were not acknowledged. */
const troubleMilliseconds = 1300;
/** Lease in ordinary times, in milliseconds: three renewals, and longer than a change of the leader takes. */
export const ordinaryLeaseMilliseconds = 3500;
/** Difference between clocks from which the process is taken to have been suspended, in milliseconds. */
const suspensionMilliseconds = 250;

/** Time in which an order that was sent has arrived or never will, in milliseconds. */
const orderMilliseconds = 750;

/** What a leader knows of the one before. */
export interface EarlierLeader {
    /** Its last record; undefined at a site's first start. */
    record: records.LeaderRecord | undefined;
    /**
     * Time at which that record was there already. Only an acknowledged append proves leadership, so no later proof
     * can have been given.
     */
    recordSeenAt: number;
    /** Whether its process is known to have ended. */
    hasEnded: boolean;
}

/**
 * Tells until when leaders before may send orders.
 *
 * @param earlier - what is known of them
 * @returns a time on the clock of `recordSeenAt`
 */
export const earlierOrdersEnd = ({ record, recordSeenAt, hasEnded }: EarlierLeader): number =>
    record === undefined || record.isResigned || hasEnded
        ? -Infinity
        : recordSeenAt + authorityMilliseconds + orderMilliseconds;

/**
 * Tells when every lease has ended that leaders before may have granted.
 *
 * @param earlier - what is known of them
 * @param longestMilliseconds - longest lease that upstreams accept
 * @returns a time on the clock of `recordSeenAt`
 */
export const earlierLeasesEnd = ({ record, recordSeenAt }: EarlierLeader, longestMilliseconds: number): number => {
    if (record === undefined) {
        return -Infinity;
    }
    if (record.isResigned) {
        return recordSeenAt + orderMilliseconds + record.longestLeaseMilliseconds * heldRange.clockDrift;
    }
    return recordSeenAt + authorityMilliseconds + orderMilliseconds + longestMilliseconds * heldRange.clockDrift;
};

/** Keeps the authority of a leader. */
export interface Authority {
    /** The store has shown, in answer to a call sent at a time, that this instance leads. */
    onProof: (sentAt: number) => void;
    /** Called often; ends the authority when the process was suspended meanwhile. */
    observe: (now: number, wallClock: number) => void;
    mayOrder: (now: number) => boolean;
    /** Lease to grant now, in milliseconds. */
    leaseMilliseconds: (now: number) => number;
    /** Longest lease granted lately, in milliseconds. */
    longestLeaseMilliseconds: (now: number) => number;
}

/** Time for which long leases are remembered, in milliseconds: longer than any lease. */
const longLeaseMemoryMilliseconds = 15_000;

/**
 * Creates an authority that has no proof.
 *
 * @param longestMilliseconds - longest lease that upstreams accept
 * @returns the authority
 */
export const createAuthority = (longestMilliseconds: number): Authority => {
    let provenAt = -Infinity;
    let seenAt: number | undefined;
    let seenWallClock = 0;
    let lastLongLeaseAt = -Infinity;
    const ordinary = Math.min(ordinaryLeaseMilliseconds, longestMilliseconds);
    return {
        onProof: sentAt => {
            provenAt = Math.max(provenAt, sentAt);
        },
        observe: (now, wallClock) => {
            if (seenAt !== undefined) {
                const drift = Math.abs(wallClock - seenWallClock - (now - seenAt));
                if (drift > suspensionMilliseconds) {
                    provenAt = -Infinity;
                }
            }
            seenAt = now;
            seenWallClock = wallClock;
        },
        mayOrder: now => now - provenAt < authorityMilliseconds,
        leaseMilliseconds: now => {
            if (now - provenAt < troubleMilliseconds) {
                return ordinary;
            }
            lastLongLeaseAt = now;
            return longestMilliseconds;
        },
        longestLeaseMilliseconds: now =>
            now - lastLongLeaseAt < longLeaseMemoryMilliseconds ? longestMilliseconds : ordinary,
    };
};
