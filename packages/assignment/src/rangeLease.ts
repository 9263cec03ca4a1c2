/** Lease state of one key range: which leases may be live, and which lease command is due. */
import * as keyRange from "./keyRange";
import * as leaseCommands from "./leaseCommands";

/** Timeout of a lease command, in milliseconds; its connection is then reset. */
export const commandTimeoutMilliseconds = 600;
/** Maximum time that a grant may still be in transit after its connection is reset, in milliseconds. */
const maxDeliveryAfterResetMilliseconds = 100;
/** Factor by which an upstream's slow clock may prolong a lease. */
export const clockDriftFactor = 1.02;

/** A key range and the leases on it. */
export interface RangeLease {
    range: keyRange.KeyRange;
    /** Time by which the owner's leases have expired, apart from one granted by the command in flight. */
    leaseUntil: number;
    /** Time by which the previous owner's lease has expired. */
    previousLeaseUntil: number;
    /** Whether the previous owner no longer holds the range. */
    isReleased: boolean;
    /** Whether requests are routed to the owner; set by an acknowledged grant and kept when its ranges are merged. */
    isGranted: boolean;
    /** Whether a lease command for the range is in flight. */
    isInFlight: boolean;
    /** Duration of the lease in the last grant, in milliseconds. */
    grantedLeaseMilliseconds: number;
    /** Time by which a lease granted by the command in flight has expired. */
    pendingLeaseUntil: number;
    /** Whether an assignment that changes the range is pending; no first grant is sent meanwhile. */
    isBlocked: boolean;
    /** Whether the owner has seen a higher token, so that the range needs a new token. */
    isFenced: boolean;
    /** Time at which the next lease command is due. */
    dueAt: number;
    /** State returned by the previous owner's release, passed on with the grant. */
    handover: string | undefined;
}

/** Returns the time by which the owner's leases have expired, including one granted by the command in flight. */
export const leaseExpiry = (lease: RangeLease): number => Math.max(lease.leaseUntil, lease.pendingLeaseUntil);

/** Whether a grant is due. A longer lease than the last is granted at once: the store may be unreachable for long. */
export const isGrantDue = (lease: RangeLease, now: number, leaseMilliseconds: number): boolean =>
    !lease.isInFlight
    && (now >= lease.dueAt || (lease.isGranted && leaseMilliseconds > lease.grantedLeaseMilliseconds));

/** Whether two ranges have a key in common. */
export const overlaps = (left: keyRange.KeyRange, right: keyRange.KeyRange): boolean =>
    left.first <= right.last && right.first <= left.last;

/** Leases on the keys of a range before a new assignment. */
export interface PreviousLeases {
    /** Leases of the previous ranges that overlap the new one. */
    leases: readonly RangeLease[];
    /** Time by which leases not listed here have expired. */
    unknownLeaseUntil: number;
    hasTerminated: (owner: keyRange.Owner) => boolean;
}

const leaseExpiryOf = (owner: keyRange.Owner | undefined, previous: PreviousLeases): number => {
    if (owner === undefined || previous.hasTerminated(owner)) {
        return -Infinity;
    }
    if (previous.leases.length === 0) {
        return previous.unknownLeaseUntil;
    }
    const expiries = previous.leases.map(lease => {
        if (keyRange.isSameOwner(lease.range.owner, owner)) {
            return leaseExpiry(lease);
        }
        if (keyRange.isSameOwner(lease.range.previousOwner, owner)) {
            return lease.isReleased ? -Infinity : lease.previousLeaseUntil;
        }
        return previous.unknownLeaseUntil;
    });
    return Math.max(...expiries);
};

/**
 * Creates the lease state of a range of a new assignment from the previous leases on its keys.
 *
 * @param range - the new range
 * @param previous - leases before the assignment
 * @returns the lease state
 */
export const createRangeLease = (range: keyRange.KeyRange, previous: PreviousLeases): RangeLease => {
    const { leases } = previous;
    const [existing] = leases;
    const isUnchanged = leases.length === 1 && keyRange.isSameOwner(existing.range.owner, range.owner)
        && existing.range.token === range.token;
    if (isUnchanged) {
        const isReleased = existing.isReleased || range.previousOwner === undefined;
        // A response to a command for other keys is ignored, but the lease that it may have granted still counts.
        const hasSameKeys = existing.range.first === range.first && existing.range.last === range.last;
        const leaseUntil = Math.max(existing.leaseUntil, hasSameKeys ? -Infinity : existing.pendingLeaseUntil);
        return {
            ...existing,
            range,
            isReleased,
            leaseUntil,
            isBlocked: false,
            isInFlight: existing.isInFlight && hasSameKeys,
        };
    }
    const previousLeaseUntil = leaseExpiryOf(range.previousOwner, previous);
    // Merged ranges of one owner stay routed to it while the new range is being granted.
    const isMerged = leases.length > 1 && range.previousOwner === undefined
        && leases.every(lease => lease.isGranted && keyRange.isSameOwner(lease.range.owner, range.owner));
    return {
        range,
        leaseUntil: leaseExpiryOf(range.owner, previous),
        previousLeaseUntil,
        isReleased: previousLeaseUntil === -Infinity,
        isGranted: isMerged,
        isInFlight: false,
        grantedLeaseMilliseconds: 0,
        pendingLeaseUntil: -Infinity,
        isBlocked: false,
        isFenced: false,
        dueAt: -Infinity,
        handover: undefined,
    };
};

/**
 * Returns the release that is due to a range's previous owner and marks it as in flight. Marks the range as released if
 * the previous owner has terminated or its lease has expired.
 *
 * @param lease - the range's lease state, updated in place
 * @param now - current time
 * @param hasTerminated - whether an owner's process has terminated
 * @returns the command, or undefined if none is due
 */
export const startRelease = (
    lease: RangeLease,
    now: number,
    hasTerminated: (owner: keyRange.Owner) => boolean,
): leaseCommands.LeaseCommand | undefined => {
    const { previousOwner } = lease.range;
    if (previousOwner === undefined || hasTerminated(previousOwner) || now >= lease.previousLeaseUntil) {
        lease.isReleased = true;
        lease.isInFlight = false;
        lease.dueAt = -Infinity;
        return undefined;
    }
    if (lease.isInFlight || now < lease.dueAt) {
        return undefined;
    }
    lease.isInFlight = true;
    return leaseCommands.createReleaseCommand(lease.range, previousOwner);
};

/**
 * Returns the grant that is due to a range's owner and marks it as in flight.
 *
 * @param lease - the range's lease state, updated in place
 * @param now - current time
 * @param leaseMilliseconds - duration of the lease to grant
 * @param hasTerminated - whether an owner's process has terminated
 * @returns the command, or undefined if none is due
 */
export const startGrant = (
    lease: RangeLease,
    now: number,
    leaseMilliseconds: number,
    hasTerminated: (owner: keyRange.Owner) => boolean,
): leaseCommands.LeaseCommand | undefined => {
    const { owner, first, last, token } = lease.range;
    const isFirstGrant = leaseExpiry(lease) <= now;
    const canGrant = isGrantDue(lease, now, leaseMilliseconds) && !lease.isFenced && !(lease.isBlocked && isFirstGrant);
    if (owner === undefined || !canGrant || hasTerminated(owner)) {
        return undefined;
    }
    lease.isInFlight = true;
    lease.grantedLeaseMilliseconds = leaseMilliseconds;
    lease.pendingLeaseUntil = now + commandTimeoutMilliseconds + maxDeliveryAfterResetMilliseconds
        + leaseMilliseconds * clockDriftFactor;
    return {
        kind: leaseCommands.CommandKind.grant,
        owner,
        first,
        last,
        token,
        leaseMilliseconds,
        handover: lease.handover,
    };
};
