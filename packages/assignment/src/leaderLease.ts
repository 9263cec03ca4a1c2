/** Lease of a leader: how long it can send lease commands after the store last confirmed its leadership. */

import * as rangeLease from "./rangeLease";
import type * as records from "./records";

/** Time after a confirmation in which lease commands can be sent, in milliseconds; a successor waits as long. */
export const leaderLeaseMilliseconds = 2000;
/** Confirmation age from which the longest leases are granted, in milliseconds: two unacknowledged leader records. */
const overdueConfirmationMilliseconds = 1300;
/** Normal lease on keys, in milliseconds: three renewals, and longer than a change of leader takes. */
export const normalKeyLeaseMilliseconds = 3500;
/** Difference in elapsed milliseconds between the monotonic and wall clock that indicates a suspended process. */
const minSuspensionMilliseconds = 250;

/** Maximum time from sending a lease command to its arrival, in milliseconds. */
const maxCommandDeliveryMilliseconds = 750;

/**
 * Time after a confirmation in which no successor can have changed an assignment, in milliseconds: one waits longer for the commands of its
 * predecessor, and as long before it assigns keys for the first time.
 */
export const undisputedMilliseconds = 2500;

/** What is known about the previous leader. */
export interface PreviousLeader {
    /** The last leader record; undefined at the first start of a site. */
    record: records.LeaderRecord | undefined;
    /**
     * Time by which the record was stored. Only an acknowledged append confirms leadership, so no later confirmation
     * exists.
     */
    recordSeenAt: number;
    /** Time by which the previous leader's process had terminated; undefined if it may still run. */
    terminatedBy: number | undefined;
    /** Whether records that it stored may have been lost, so that nobody knows all owners that it chose. */
    areAssignmentsUncertain: boolean;
}

/**
 * Returns the time until which lease commands of previous leaders may arrive. Commands that are on their way arrive also after
 * the leader has resigned or its process has terminated.
 *
 * @param previousLeader - last known leader
 * @returns a time on the clock of `recordSeenAt`, or -Infinity if there was no leader
 */
export const previousCommandsEndAt = ({ record, recordSeenAt, terminatedBy }: PreviousLeader): number => {
    if (record === undefined) {
        return -Infinity;
    }
    const lastSentBy = record.isResigned ? recordSeenAt : recordSeenAt + leaderLeaseMilliseconds;
    return Math.max(
        Math.min(lastSentBy, terminatedBy ?? Infinity) + maxCommandDeliveryMilliseconds,
        recordSeenAt + record.previousCommandsMilliseconds,
    );
};

/**
 * Returns the time by which all leases that previous leaders may have granted have expired.
 *
 * @param previousLeader - last known leader
 * @param maxLeaseMilliseconds - longest lease that upstreams accept
 * @returns a time on the clock of `recordSeenAt`
 */
export const previousLeasesEndAt = ({ record, recordSeenAt }: PreviousLeader, maxLeaseMilliseconds: number): number => {
    if (record === undefined) {
        return -Infinity;
    }
    const lastArrivalAt = recordSeenAt + (record.isResigned ? 0 : leaderLeaseMilliseconds)
        + maxCommandDeliveryMilliseconds;
    // The leader may have had other settings.
    const longestLeaseMilliseconds = record.isResigned
        ? record.longestLeaseMilliseconds
        : Math.max(record.longestLeaseMilliseconds, maxLeaseMilliseconds);
    return Math.max(
        lastArrivalAt + longestLeaseMilliseconds * rangeLease.clockDriftFactor,
        recordSeenAt + record.previousLeasesMilliseconds,
    );
};

/** Times until which earlier leaders may affect upstreams, on the clock of the instance. */
export interface PreviousLeaderTimes {
    /** Time until which their lease commands may arrive. */
    previousCommandsUntil: number;
    /** Time by which all leases that they may have granted have expired. */
    previousLeasesUntil: number;
    /** Time until which owners that no stored assignment names may hold keys; -Infinity unless records may have been lost. */
    unknownLeasesUntil: number;
}

/**
 * Returns the times until which earlier leaders may affect upstreams.
 *
 * @param previousLeader - last known leader
 * @param maxLeaseMilliseconds - longest lease that upstreams accept
 * @returns times on the clock of `recordSeenAt`
 */
export const previousLeaderTimes = (
    previousLeader: PreviousLeader,
    maxLeaseMilliseconds: number,
): PreviousLeaderTimes => ({
    previousCommandsUntil: previousCommandsEndAt(previousLeader),
    previousLeasesUntil: previousLeasesEndAt(previousLeader, maxLeaseMilliseconds),
    unknownLeasesUntil: previousLeader.areAssignmentsUncertain
        ? previousLeasesEndAt(previousLeader, maxLeaseMilliseconds)
        : previousLeader.recordSeenAt + (previousLeader.record?.unknownLeasesMilliseconds ?? -Infinity),
});

/**
 * Returns what a leader's record passes on about earlier leaders: its successor knows only the last record.
 *
 * @param times - what the leader knows of earlier leaders
 * @param now - time before the record is sent
 * @returns the fields of the record
 */
export const passOnPreviousLeaders = (
    { previousCommandsUntil, previousLeasesUntil, unknownLeasesUntil }: PreviousLeaderTimes,
    now: number,
): Pick<
    records.LeaderRecord,
    "previousCommandsMilliseconds" | "previousLeasesMilliseconds" | "unknownLeasesMilliseconds"
> => ({
    previousCommandsMilliseconds: Math.max(0, previousCommandsUntil - now),
    previousLeasesMilliseconds: Math.max(0, previousLeasesUntil - now),
    unknownLeasesMilliseconds: Math.max(0, unknownLeasesUntil - now),
});

/**
 * Returns the times until which earlier leaders may affect upstreams, for a leader that goes on after the store returned from an older copy.
 * Another instance may have won a term that is lost, too late to change an assignment, and renews leases until it learns of the return.
 *
 * @param times - what the leader knew before
 * @param returnSeenAt - time at which it learned of the return
 * @param maxLeaseMilliseconds - longest lease that upstreams accept
 * @returns the times
 */
export const addLostTerm = (
    times: PreviousLeaderTimes,
    returnSeenAt: number,
    maxLeaseMilliseconds: number,
): PreviousLeaderTimes => {
    const commandsUntil = returnSeenAt + leaderLeaseMilliseconds + maxCommandDeliveryMilliseconds;
    const leasesUntil = commandsUntil + maxLeaseMilliseconds * rangeLease.clockDriftFactor;
    return {
        ...times,
        previousCommandsUntil: Math.max(times.previousCommandsUntil, commandsUntil),
        previousLeasesUntil: Math.max(times.previousLeasesUntil, leasesUntil),
    };
};

/** Tracks whether a leader is allowed to send lease commands. */
export interface LeaderLease {
    /** Records that the store confirmed leadership in response to a call sent at `sentAt`. */
    onConfirmation: (sentAt: number) => void;
    /** Ends the lease if the process was suspended since the last call; must be called often. */
    detectSuspension: (now: number, wallClock: number) => void;
    canSendCommands: (now: number) => boolean;
    /** Whether no successor can have changed an assignment before a time. */
    isUndisputedAt: (time: number) => boolean;
    /** Duration of the leases on keys to grant now, in milliseconds. */
    keyLeaseMilliseconds: (now: number) => number;
    /** Duration of the longest lease on keys granted recently, in milliseconds. */
    maxKeyLeaseMilliseconds: (now: number) => number;
}

/** Time for which the grant of a long lease is remembered, in milliseconds: longer than any lease. */
const longLeaseRetentionMilliseconds = 15_000;

/**
 * Creates a leader lease that has not been confirmed.
 *
 * @param maxLeaseMilliseconds - longest lease that upstreams accept
 * @returns the leader lease
 */
export const createLeaderLease = (maxLeaseMilliseconds: number): LeaderLease => {
    let confirmedAt = -Infinity;
    let lastCheckedAt: number | undefined;
    let lastWallClock = 0;
    let suspensionDetectedAt = -Infinity;
    let lastLongLeaseAt = -Infinity;
    const normalLeaseMilliseconds = Math.min(normalKeyLeaseMilliseconds, maxLeaseMilliseconds);
    return {
        onConfirmation: sentAt => {
            // The monotonic clock may have stood still since a call that was sent before the suspension was detected.
            if (sentAt > suspensionDetectedAt) {
                confirmedAt = Math.max(confirmedAt, sentAt);
            }
        },
        detectSuspension: (now, wallClock) => {
            if (lastCheckedAt !== undefined) {
                const clockDifference = Math.abs(wallClock - lastWallClock - (now - lastCheckedAt));
                if (clockDifference > minSuspensionMilliseconds) {
                    confirmedAt = -Infinity;
                    suspensionDetectedAt = now;
                }
            }
            lastCheckedAt = now;
            lastWallClock = wallClock;
        },
        canSendCommands: now => now - confirmedAt < leaderLeaseMilliseconds,
        isUndisputedAt: time => time - confirmedAt < undisputedMilliseconds,
        keyLeaseMilliseconds: now => {
            if (now - confirmedAt < overdueConfirmationMilliseconds) {
                return normalLeaseMilliseconds;
            }
            lastLongLeaseAt = now;
            return maxLeaseMilliseconds;
        },
        maxKeyLeaseMilliseconds: now =>
            now - lastLongLeaseAt < longLeaseRetentionMilliseconds ? maxLeaseMilliseconds : normalLeaseMilliseconds,
    };
};
