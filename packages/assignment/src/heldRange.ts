/** One range under a keeper, and what is known of the leases on it. */
import * as keyOrders from "./keyOrders";
import * as keyRange from "./keyRange";

/** Time after which an order counts as unanswered, in milliseconds; its connection is reset then. */
export const grantTimeoutMilliseconds = 600;
/** Time that a grant may still be on its way when its connection is reset, in milliseconds. */
const deliveryMilliseconds = 100;
/** A clock that measures a lease may run this much slow. */
export const clockDrift = 1.02;

/** A range with its leases. */
export interface HeldRange {
    range: keyRange.KeyRange;
    /** Time at which the owner's lease has surely ended. */
    leaseUntil: number;
    /** Time at which the former owner's lease has surely ended. */
    formerLeaseUntil: number;
    isFormerDone: boolean;
    isHeld: boolean;
    isInFlight: boolean;
    /** Lease that the last order granted, in milliseconds. */
    grantedMilliseconds: number;
    /** Time at which a lease has surely ended that is granted by the order in flight. */
    pendingLeaseUntil: number;
    /** Whether another owner is being agreed. */
    isBlocked: boolean;
    /** Whether the owner has seen a higher token, so that the range needs a new one. */
    isFenced: boolean;
    dueAt: number;
    handover: string | undefined;
}

/** Tells when the owner's lease has surely ended, the order in flight included. */
export const leaseEnd = (held: HeldRange): number => Math.max(held.leaseUntil, held.pendingLeaseUntil);

/** Whether a grant is due; one with a longer lease than the last is due at once, as the store may be away for long. */
export const isDue = (held: HeldRange, now: number, leaseMilliseconds: number): boolean =>
    !held.isInFlight
    && (now >= held.dueAt || (held.isHeld && leaseMilliseconds > held.grantedMilliseconds));

/** Whether two ranges share a key. */
export const overlaps = (left: keyRange.KeyRange, right: keyRange.KeyRange): boolean =>
    left.first <= right.last && right.first <= left.last;

/** What was known of some keys before a new assignment. */
export interface Before {
    holdings: readonly HeldRange[];
    /** Time at which leases have ended of which there is no trace. */
    unknownLeaseUntil: number;
    hasEnded: (owner: keyRange.Owner) => boolean;
}

const leaseOf = (owner: keyRange.Owner | undefined, before: Before): number => {
    if (owner === undefined || before.hasEnded(owner)) {
        return -Infinity;
    }
    if (before.holdings.length === 0) {
        return before.unknownLeaseUntil;
    }
    const leases = before.holdings.map(held => {
        if (keyRange.isSameOwner(held.range.owner, owner)) {
            return leaseEnd(held);
        }
        if (keyRange.isSameOwner(held.range.former, owner)) {
            return held.isFormerDone ? -Infinity : held.formerLeaseUntil;
        }
        return before.unknownLeaseUntil;
    });
    return Math.max(...leases);
};

/**
 * Carries what is known over to a range of a new assignment.
 *
 * @param range - the new range
 * @param before - what was known of its keys
 * @returns the range with its leases
 */
export const createHeldRange = (range: keyRange.KeyRange, before: Before): HeldRange => {
    const { holdings } = before;
    const [only] = holdings;
    const isKept = holdings.length === 1 && keyRange.isSameOwner(only.range.owner, range.owner)
        && only.range.token === range.token;
    if (isKept) {
        const isFormerDone = only.isFormerDone || range.former === undefined;
        // The answer to an order for other keys is not awaited, but what it granted is remembered.
        const isSame = only.range.first === range.first && only.range.last === range.last;
        const leaseUntil = Math.max(only.leaseUntil, isSame ? -Infinity : only.pendingLeaseUntil);
        return {
            ...only,
            range,
            isFormerDone,
            leaseUntil,
            isBlocked: false,
            isInFlight: only.isInFlight && isSame,
        };
    }
    const formerLeaseUntil = leaseOf(range.former, before);
    // Ranges of one owner that were joined go on being served while the new one is granted.
    const isJoined = holdings.length > 1 && range.former === undefined
        && holdings.every(held => held.isHeld && keyRange.isSameOwner(held.range.owner, range.owner));
    return {
        range,
        leaseUntil: leaseOf(range.owner, before),
        formerLeaseUntil,
        isFormerDone: formerLeaseUntil === -Infinity,
        isHeld: isJoined,
        isInFlight: false,
        grantedMilliseconds: 0,
        pendingLeaseUntil: -Infinity,
        isBlocked: false,
        isFenced: false,
        dueAt: -Infinity,
        handover: undefined,
    };
};

/**
 * Takes the release that is due to a range's former owner. Marks the former owner as done when its lease has ended.
 *
 * @param held - the range
 * @param now - the time
 * @param hasEnded - whether an owner's life is surely over
 * @returns the order, counted as sent; undefined when none is due
 */
export const takeRelease = (
    held: HeldRange,
    now: number,
    hasEnded: (owner: keyRange.Owner) => boolean,
): keyOrders.Order | undefined => {
    const { former } = held.range;
    if (former === undefined || hasEnded(former) || now >= held.formerLeaseUntil) {
        held.isFormerDone = true;
        held.isInFlight = false;
        held.dueAt = -Infinity;
        return undefined;
    }
    if (held.isInFlight || now < held.dueAt) {
        return undefined;
    }
    held.isInFlight = true;
    return keyOrders.createRelease(held.range, former);
};

/**
 * Takes the grant that is due to a range's owner.
 *
 * @param held - the range
 * @param now - the time
 * @param leaseMilliseconds - the lease to grant
 * @param hasEnded - whether an owner's life is surely over
 * @returns the order, counted as sent; undefined when none is due
 */
export const takeGrant = (
    held: HeldRange,
    now: number,
    leaseMilliseconds: number,
    hasEnded: (owner: keyRange.Owner) => boolean,
): keyOrders.Order | undefined => {
    const { owner, first, last, token } = held.range;
    const isFirst = leaseEnd(held) <= now;
    const isIdle = isDue(held, now, leaseMilliseconds) && !held.isFenced && !(held.isBlocked && isFirst);
    if (owner === undefined || !isIdle || hasEnded(owner)) {
        return undefined;
    }
    held.isInFlight = true;
    held.grantedMilliseconds = leaseMilliseconds;
    held.pendingLeaseUntil = now + grantTimeoutMilliseconds + deliveryMilliseconds
        + leaseMilliseconds * clockDrift;
    return {
        kind: keyOrders.OrderKind.grant,
        owner,
        first,
        last,
        token,
        leaseMilliseconds,
        handover: held.handover,
    };
};
