/** Lease state of one key range: which leases may be live, and which lease command is due. */
import * as keyRange from "./keyRange";
import * as leaseCommands from "./leaseCommands";

/** Timeout of a lease command, in milliseconds; its connection is then reset. */
export const commandTimeoutMilliseconds = 600;
/** Maximum time that a grant may still be in transit after its connection is reset, in milliseconds. */
const maxDeliveryAfterResetMilliseconds = 100;
/** Factor by which an upstream's slow clock may prolong a lease. */
export const clockDriftFactor = 1.02;

/** A grant whose outcome may be unknown. */
export interface PendingGrant {
    /** Time by which a lease that the grant may have started has expired; -Infinity if it certainly started none. */
    leaseUntil: number;
}

/** A key range and the leases on it. */
export interface RangeLease {
    range: keyRange.KeyRange;
    /** Time by which the owner's leases have expired, apart from those of pending grants. */
    leaseUntil: number;
    pendingGrants: readonly PendingGrant[];
    /** Time by which the previous owner's leases have expired, apart from those of pending grants. */
    previousLeaseUntil: number;
    previousPendingGrants: readonly PendingGrant[];
    /** Whether the previous owner no longer holds the range. */
    isReleased: boolean;
    /** Whether requests are routed to the owner; set by an acknowledged grant and kept when its ranges are merged. */
    isGranted: boolean;
    /** Whether a lease command for the range is in flight. */
    isInFlight: boolean;
    /** Duration of the lease in the last grant, in milliseconds. */
    grantedLeaseMilliseconds: number;
    /** Whether an assignment that changes the range is pending; no first grant is sent meanwhile. */
    isBlocked: boolean;
    /** Whether the owner has seen a higher token, so that the range needs a new token. */
    isFenced: boolean;
    /** Time at which the next lease command is due. */
    dueAt: number;
    /** State returned by the previous owner's release, passed on with the grant. */
    handover: string | undefined;
}

const latestExpiry = (leaseUntil: number, pendingGrants: readonly PendingGrant[]): number =>
    Math.max(leaseUntil, ...pendingGrants.map(grant => grant.leaseUntil));

/** Returns the time by which the owner's leases have expired, including those of pending grants. */
export const leaseExpiry = ({ leaseUntil, pendingGrants }: RangeLease): number =>
    latestExpiry(leaseUntil, pendingGrants);

const previousLeaseExpiry = ({ previousLeaseUntil, previousPendingGrants }: RangeLease): number =>
    latestExpiry(previousLeaseUntil, previousPendingGrants);

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
}

/** Leases of one owner on the keys of a range. */
interface OwnerLeases {
    leaseUntil: number;
    pendingGrants: readonly PendingGrant[];
}

const noLeases: OwnerLeases = { leaseUntil: -Infinity, pendingGrants: [] };

const leasesOf = (owner: keyRange.Owner | undefined, previous: PreviousLeases): OwnerLeases => {
    if (owner === undefined) {
        return noLeases;
    }
    const unknownLeases = { leaseUntil: previous.unknownLeaseUntil, pendingGrants: [] };
    if (previous.leases.length === 0) {
        return unknownLeases;
    }
    const ownerLeases = previous.leases.map((lease): OwnerLeases => {
        if (keyRange.isSameOwner(lease.range.owner, owner)) {
            return lease;
        }
        if (keyRange.isSameOwner(lease.range.previousOwner, owner)) {
            const { previousLeaseUntil, previousPendingGrants } = lease;
            return lease.isReleased
                ? noLeases
                : { leaseUntil: previousLeaseUntil, pendingGrants: previousPendingGrants };
        }
        return unknownLeases;
    });
    return {
        leaseUntil: Math.max(...ownerLeases.map(({ leaseUntil }) => leaseUntil)),
        pendingGrants: [...new Set(ownerLeases.flatMap(({ pendingGrants }) => pendingGrants))],
    };
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
        return {
            ...existing,
            range,
            isReleased,
            isBlocked: false,
            isInFlight: existing.isInFlight && hasSameKeys,
        };
    }
    const ownLeases = leasesOf(range.owner, previous);
    const previousOwnerLeases = leasesOf(range.previousOwner, previous);
    // Merged ranges of one owner stay routed to it while the new range is being granted.
    const isMerged = leases.length > 1 && range.previousOwner === undefined
        && leases.every(lease => lease.isGranted && keyRange.isSameOwner(lease.range.owner, range.owner));
    return {
        range,
        leaseUntil: ownLeases.leaseUntil,
        pendingGrants: ownLeases.pendingGrants,
        previousLeaseUntil: previousOwnerLeases.leaseUntil,
        previousPendingGrants: previousOwnerLeases.pendingGrants,
        isReleased: latestExpiry(previousOwnerLeases.leaseUntil, previousOwnerLeases.pendingGrants) === -Infinity,
        isGranted: isMerged,
        isInFlight: false,
        grantedLeaseMilliseconds: 0,
        isBlocked: false,
        isFenced: false,
        dueAt: -Infinity,
        handover: undefined,
    };
};

/**
 * Returns the release that is due to a range's previous owner and marks it as in flight. Marks the range as released if
 * the previous owner's lease has expired.
 *
 * @param lease - the range's lease state, updated in place
 * @param now - current time
 * @param canSend - whether another release may be in flight to an owner
 * @returns the command, or undefined if none is due
 */
export const startRelease = (
    lease: RangeLease,
    now: number,
    canSend: (owner: keyRange.Owner) => boolean,
): leaseCommands.LeaseCommand | undefined => {
    const { previousOwner } = lease.range;
    if (previousOwner === undefined || now >= previousLeaseExpiry(lease)) {
        lease.isReleased = true;
        lease.isInFlight = false;
        lease.dueAt = -Infinity;
        return undefined;
    }
    if (lease.isInFlight || now < lease.dueAt || !canSend(previousOwner)) {
        return undefined;
    }
    lease.isInFlight = true;
    return leaseCommands.createReleaseCommand(lease.range, previousOwner);
};

/** A grant to send, and the lease that it may start. */
export interface StartedGrant {
    command: leaseCommands.LeaseCommand;
    pending: PendingGrant;
}

/**
 * Returns the grant that is due to a range's owner and marks it as in flight.
 *
 * @param lease - the range's lease state, updated in place
 * @param now - current time
 * @param leaseMilliseconds - duration of the lease to grant
 * @returns the grant, or undefined if none is due
 */
export const startGrant = (
    lease: RangeLease,
    now: number,
    leaseMilliseconds: number,
): StartedGrant | undefined => {
    const { owner, first, last, token } = lease.range;
    const isFirstGrant = leaseExpiry(lease) <= now;
    const canGrant = isGrantDue(lease, now, leaseMilliseconds) && !lease.isFenced && !(lease.isBlocked && isFirstGrant);
    if (owner === undefined || !canGrant) {
        return undefined;
    }
    lease.isInFlight = true;
    lease.grantedLeaseMilliseconds = leaseMilliseconds;
    const leaseUntil = now + commandTimeoutMilliseconds + maxDeliveryAfterResetMilliseconds
        + leaseMilliseconds * clockDriftFactor;
    const pending = { leaseUntil };
    lease.pendingGrants = [...lease.pendingGrants.filter(grant => grant.leaseUntil > now), pending];
    const { handover } = lease;
    const { grant } = leaseCommands.CommandKind;
    return { command: { kind: grant, owner, first, last, token, leaseMilliseconds, handover }, pending };
};

/**
 * Applies the outcome of a grant to the lease that it may have started, also if its keys have been reassigned since. A grant without a
 * response may have arrived until shortly after the end of its connection, which a busy process may notice late.
 *
 * @param pending - the lease, updated in place
 * @param command - the grant
 * @param outcome - outcome of the grant
 * @param now - current time
 */
export const resolvePendingGrant = (
    pending: PendingGrant,
    command: leaseCommands.LeaseCommand,
    outcome: leaseCommands.CommandOutcomeValue,
    now: number,
): void => {
    const { done, unanswered } = leaseCommands.CommandOutcome;
    const arrivedBy: Partial<Record<leaseCommands.CommandOutcomeValue, number>> = {
        [done]: now,
        [unanswered]: now + maxDeliveryAfterResetMilliseconds,
    };
    pending.leaseUntil = (arrivedBy[outcome] ?? -Infinity) + command.leaseMilliseconds * clockDriftFactor;
};
