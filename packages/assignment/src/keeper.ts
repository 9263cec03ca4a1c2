/**
 * Carries an assignment out at the upstreams of one service: grants, renewals, releases. It decides which order is due
 * and what an answer means; time and answers are passed in.
 *
 * A former owner's keys are free when it answered the release, has surely ended, or the last lease that anyone may have
 * granted it has run out. A release carries the next owner's token, so that a grant with an older token which is still
 * under way is refused by the upstream itself.
 */
import * as heldRange from "./heldRange";
import * as keyOrders from "./keyOrders";
import * as keyRange from "./keyRange";
import * as silence from "./silences";

/** A range whose routing has changed; the owner is undefined while nobody may serve it. */
export interface RoutingChange {
    first: number;
    last: number;
    owner: keyRange.Owner | undefined;
    token: number;
}

/** Carries out the assignment of one service. */
export interface Keeper {
    /** Takes an agreed assignment; leases of owners that it has no trace of are taken to last until a time. */
    adopt: (assignment: keyRange.ServiceAssignment, unknownLeaseUntil: number) => void;
    /** Gives orders that are due and counts them as sent. */
    takeDueOrders: (now: number, leaseMilliseconds: number) => keyOrders.Order[];
    onAnswer: (
        order: keyOrders.Order,
        outcome: keyOrders.OrderOutcomeValue,
        handover: string | undefined,
        now: number,
    ) => void;
    /** Tells that a life of an upstream has surely ended, so that it holds nothing. */
    onEnded: (owner: keyRange.Owner) => void;
    /** Whether a range's former owner may still hold it. */
    isMoving: (range: keyRange.KeyRange) => boolean;
    /** Whether both a range's former owner and its owner may hold it, so that no third one can be named. */
    isUndecided: (range: keyRange.KeyRange, now: number) => boolean;
    /**
     * Tells which assignment is being agreed, or that none is. Of the ranges that it changes, those without a live lease
     * are not granted meanwhile: the plan does not know of such a grant and would not take it back.
     */
    setPlanned: (plan: keyRange.ServiceAssignment | undefined) => void;
    /** Whether a range's owner has seen a higher token. */
    isFenced: (range: keyRange.KeyRange) => boolean;
    /** Ranges whose routing changed since the last call. */
    takeChanges: () => RoutingChange[];
    /** Routing of all ranges. */
    routing: () => RoutingChange[];
    /** Time since when an owner has not answered its grants; undefined while it does. */
    silentSince: (owner: keyRange.Owner, now: number) => number | undefined;
    /** The agreed assignment without the former owners that are known to be rid of their keys. */
    settled: () => keyRange.ServiceAssignment | undefined;
}

/** Time between two renewals of a range, in milliseconds: a third of a lease, so that one may be lost. */
export const renewalMilliseconds = 1000;
/** Time between two releases of a range that were not answered, in milliseconds. */
const releaseRetryMilliseconds = 250;
const grantRetryMilliseconds = 150;
/** Grants to an upstream that does not answer, so that its other leases run out meanwhile. */
const probesWhileSilent = 1;
/** Orders that are out at one upstream: no more than it has connections for, so that none waits unsent. */
export const ordersPerOwner = 8;

/**
 * Creates a keeper.
 *
 * @returns without an assignment
 */
export const createKeeper = (): Keeper => {
    let agreed: keyRange.ServiceAssignment | undefined;
    let holdings: heldRange.HeldRange[] = [];
    let byFirst = new Map<number, heldRange.HeldRange>();
    let changes: RoutingChange[] = [];
    const ended = new Set<string>();
    const silences = silence.createSilences();

    const hasEnded = (owner: keyRange.Owner): boolean => ended.has(keyRange.ownerName(owner));

    const routingOf = ({ range, isHeld }: heldRange.HeldRange): RoutingChange => ({
        first: range.first,
        last: range.last,
        owner: isHeld ? range.owner : undefined,
        token: range.token,
    });

    const at = (first: number, last: number): heldRange.HeldRange | undefined => {
        const held = byFirst.get(first);
        return held?.range.last === last ? held : undefined;
    };

    const find = (order: keyOrders.Order): heldRange.HeldRange | undefined => {
        const held = at(order.first, order.last);
        return held?.range.token === order.token ? held : undefined;
    };

    const onGrantAnswer = (
        held: heldRange.HeldRange,
        order: keyOrders.Order,
        outcome: keyOrders.OrderOutcomeValue,
        now: number,
    ): void => {
        if (outcome === keyOrders.OrderOutcome.unanswered) {
            held.leaseUntil = Math.max(held.leaseUntil, held.pendingLeaseUntil);
            silences.onUnanswered(order.owner, now);
            held.pendingLeaseUntil = -Infinity;
            held.dueAt = now + grantRetryMilliseconds;
            return;
        }
        silences.onAnswer(order.owner);
        held.pendingLeaseUntil = -Infinity;
        const isDone = outcome === keyOrders.OrderOutcome.done;
        if (isDone) {
            held.leaseUntil = Math.max(held.leaseUntil, now + order.leaseMilliseconds * heldRange.clockDrift);
        }
        held.isFenced = outcome === keyOrders.OrderOutcome.fenced;
        held.dueAt = now + (isDone ? renewalMilliseconds : grantRetryMilliseconds);
        if (isDone !== held.isHeld) {
            held.isHeld = isDone;
            changes.push(routingOf(held));
        }
    };

    return {
        adopt: (assignment, unknownLeaseUntil) => {
            const before = holdings;
            let position = 0;
            holdings = assignment.ranges.map(range => {
                while (position < before.length && before[position].range.last < range.first) {
                    position += 1;
                }
                const old: heldRange.HeldRange[] = [];
                for (
                    let index = position;
                    index < before.length && heldRange.overlaps(before[index].range, range);
                    index += 1
                ) {
                    old.push(before[index]);
                }
                const held = heldRange.createHeldRange(range, { holdings: old, unknownLeaseUntil, hasEnded });
                if (!held.isHeld && old.some(one => one.isHeld)) {
                    changes.push(routingOf(held));
                }
                return held;
            });
            byFirst = new Map(holdings.map(held => [held.range.first, held]));
            agreed = assignment;
        },
        takeDueOrders: (now, leaseMilliseconds) => {
            const orders: keyOrders.Order[] = [];
            const outstanding = new Map<string, number>();
            const count = (name: string): void => {
                outstanding.set(name, (outstanding.get(name) ?? 0) + 1);
            };
            for (const held of holdings) {
                const release = held.isFormerDone ? undefined : heldRange.takeRelease(held, now, hasEnded);
                if (release !== undefined) {
                    orders.push(release);
                }
                else if (held.isInFlight && held.isFormerDone && held.range.owner !== undefined) {
                    count(keyRange.ownerName(held.range.owner));
                }
            }
            const idle = holdings.filter(held => held.isFormerDone && heldRange.isDue(held, now, leaseMilliseconds));
            // Keys that nobody serves first, then the leases that end soonest.
            for (const held of idle.sort((left, right) => left.leaseUntil - right.leaseUntil)) {
                const { owner } = held.range;
                if (owner === undefined) {
                    continue;
                }
                const name = keyRange.ownerName(owner);
                const limit = silences.isSilent(owner) ? probesWhileSilent : ordersPerOwner;
                if ((outstanding.get(name) ?? 0) >= limit) {
                    continue;
                }
                const grant = heldRange.takeGrant(held, now, leaseMilliseconds, hasEnded);
                if (grant !== undefined) {
                    orders.push(grant);
                    count(name);
                }
            }
            return orders;
        },
        onAnswer: (order, outcome, handover, now) => {
            const held = find(order);
            if (held === undefined) {
                return;
            }
            if (order.kind === keyOrders.OrderKind.grant) {
                if (keyRange.isSameOwner(held.range.owner, order.owner) && held.isFormerDone) {
                    held.isInFlight = false;
                    onGrantAnswer(held, order, outcome, now);
                }
                return;
            }
            if (held.isFormerDone) {
                return;
            }
            held.isInFlight = false;
            if (outcome === keyOrders.OrderOutcome.done) {
                held.isFormerDone = true;
                held.handover = handover;
                held.dueAt = -Infinity;
                return;
            }
            held.dueAt = now + releaseRetryMilliseconds;
        },
        onEnded: owner => {
            ended.add(keyRange.ownerName(owner));
            for (const held of holdings.filter(one => one.isHeld && keyRange.isSameOwner(one.range.owner, owner))) {
                held.isHeld = false;
                held.leaseUntil = -Infinity;
                changes.push(routingOf(held));
            }
        },
        isMoving: range => {
            const held = at(range.first, range.last);
            return held !== undefined && !held.isFormerDone;
        },
        isUndecided: (range, now) => {
            const held = at(range.first, range.last);
            return held !== undefined && !held.isFormerDone && heldRange.leaseEnd(held) > now;
        },
        setPlanned: plan => {
            const ranges = plan?.ranges ?? [];
            let position = 0;
            for (const held of holdings) {
                const { first, last, token } = held.range;
                while (position < ranges.length && ranges[position].last < first) {
                    position += 1;
                }
                held.isBlocked = false;
                for (let index = position; index < ranges.length && ranges[index].first <= last; index += 1) {
                    held.isBlocked ||= ranges[index].token !== token;
                }
            }
        },
        isFenced: range => at(range.first, range.last)?.isFenced === true,
        takeChanges: () => {
            const taken = changes;
            changes = [];
            return taken;
        },
        routing: () => holdings.map(routingOf),
        silentSince: silences.since,
        settled: () =>
            agreed === undefined ? undefined : {
                ...agreed,
                ranges: holdings.map(({ range, isFormerDone }) =>
                    isFormerDone ? { ...range, former: undefined } : range
                ),
            },
    };
};
