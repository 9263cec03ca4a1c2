/**
 * Carries an assignment out at the upstreams of one service: grants, renewals, releases. It decides which order is due
 * and what an answer means; time and answers are passed in.
 *
 * A former owner's keys are free when it answered the release, has surely ended, or the last lease that anyone may have
 * granted it has run out. A release carries the next owner's token, so that a grant with an older token which is still
 * under way is refused by the upstream itself.
 */
import * as keyRange from "./keyRange";

/** Kinds of order. */
export const OrderKind = { grant: "grant", release: "release" } as const;

/** One order to an upstream. */
export interface Order {
    kind: typeof OrderKind[keyof typeof OrderKind];
    owner: keyRange.Owner;
    first: number;
    last: number;
    token: number;
    /** Of a grant, in milliseconds. */
    leaseMilliseconds: number;
    handover: string | undefined;
}

/** What became of an order. */
export const OrderOutcome = {
    done: "done",
    fenced: "fenced",
    refused: "refused",
    unanswered: "unanswered",
} as const;

/** One of {@link OrderOutcome}. */
export type OrderOutcomeValue = typeof OrderOutcome[keyof typeof OrderOutcome];

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
    assignment: () => keyRange.ServiceAssignment | undefined;
    /** Gives orders that are due and counts them as sent. */
    takeDueOrders: (now: number, leaseMilliseconds: number) => Order[];
    onAnswer: (order: Order, outcome: OrderOutcomeValue, handover: string | undefined, now: number) => void;
    /** Tells that a life of an upstream has surely ended, so that it holds nothing. */
    onEnded: (owner: keyRange.Owner) => void;
    /** Whether a range's former owner may still hold it. */
    isMoving: (range: keyRange.KeyRange) => boolean;
    /** Whether both a range's former owner and its owner may hold it, so that no third one can be named. */
    isUndecided: (range: keyRange.KeyRange, now: number) => boolean;
    /**
     * Tells which assignment is being agreed, or that none is. A range whose owner it changes is not granted for the
     * first time meanwhile: the plan does not know of that grant and would not take it back.
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
/** A clock that measures a lease may run this much slow. */
const clockDrift = 1.02;
/** Time after which an order counts as unanswered, in milliseconds; its connection is reset then. */
export const grantTimeoutMilliseconds = 600;
/** Time that a grant may still be on its way when its connection is reset, in milliseconds. */
const deliveryMilliseconds = 100;
/** Grants to an upstream that does not answer, so that its other leases run out meanwhile. */
const probesWhileSilent = 1;
/** Orders that are out at one upstream: no more than it has connections for, so that none waits unsent. */
export const ordersPerOwner = 8;

/** Time after which an owner that is asked nothing any more gets another chance, in milliseconds. */
const silenceMemoryMilliseconds = 4000;

interface Silence {
    since: number;
    lastAt: number;
}

interface Holding {
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

const leaseEnd = (holding: Holding): number => Math.max(holding.leaseUntil, holding.pendingLeaseUntil);

/** Whether a grant is due; one with a longer lease than the last is due at once, as the store may be away for long. */
const isDue = (holding: Holding, now: number, leaseMilliseconds: number): boolean =>
    !holding.isInFlight
    && (now >= holding.dueAt || (holding.isHeld && leaseMilliseconds > holding.grantedMilliseconds));

const overlaps = (left: keyRange.KeyRange, right: keyRange.KeyRange): boolean =>
    left.first <= right.last && right.first <= left.last;

/**
 * Creates a keeper.
 *
 * @returns without an assignment
 */
export const createKeeper = (): Keeper => {
    let agreed: keyRange.ServiceAssignment | undefined;
    let holdings: Holding[] = [];
    let byFirst = new Map<number, Holding>();
    let changes: RoutingChange[] = [];
    const ended = new Set<string>();
    const silences = new Map<string, Silence>();

    const routingOf = ({ range, isHeld }: Holding): RoutingChange => ({
        first: range.first,
        last: range.last,
        owner: isHeld ? range.owner : undefined,
        token: range.token,
    });

    const leaseOf = (
        owner: keyRange.Owner | undefined,
        old: readonly Holding[],
        unknownLeaseUntil: number,
    ): number => {
        if (owner === undefined || ended.has(keyRange.ownerName(owner))) {
            return -Infinity;
        }
        if (old.length === 0) {
            return unknownLeaseUntil;
        }
        const leases = old.map(holding => {
            if (keyRange.isSameOwner(holding.range.owner, owner)) {
                return leaseEnd(holding);
            }
            if (keyRange.isSameOwner(holding.range.former, owner)) {
                return holding.isFormerDone ? -Infinity : holding.formerLeaseUntil;
            }
            return unknownLeaseUntil;
        });
        return Math.max(...leases);
    };

    const follow = (range: keyRange.KeyRange, old: readonly Holding[], unknownLeaseUntil: number): Holding => {
        const [only] = old;
        const isKept = old.length === 1 && keyRange.isSameOwner(only.range.owner, range.owner)
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
        const formerLeaseUntil = leaseOf(range.former, old, unknownLeaseUntil);
        return {
            range,
            leaseUntil: leaseOf(range.owner, old, unknownLeaseUntil),
            formerLeaseUntil,
            isFormerDone: formerLeaseUntil === -Infinity,
            isHeld: false,
            isInFlight: false,
            grantedMilliseconds: 0,
            pendingLeaseUntil: -Infinity,
            isBlocked: false,
            isFenced: false,
            dueAt: -Infinity,
            handover: undefined,
        };
    };

    const at = (first: number, last: number): Holding | undefined => {
        const holding = byFirst.get(first);
        return holding?.range.last === last ? holding : undefined;
    };

    const find = (order: Order): Holding | undefined => {
        const holding = at(order.first, order.last);
        return holding?.range.token === order.token ? holding : undefined;
    };

    const releaseOrder = (holding: Holding, former: keyRange.Owner): Order => ({
        kind: OrderKind.release,
        owner: former,
        first: holding.range.first,
        last: holding.range.last,
        token: holding.range.token,
        leaseMilliseconds: 0,
        handover: undefined,
    });

    const takeRelease = (holding: Holding, now: number): Order | undefined => {
        const { former } = holding.range;
        if (former === undefined || ended.has(keyRange.ownerName(former)) || now >= holding.formerLeaseUntil) {
            holding.isFormerDone = true;
            holding.isInFlight = false;
            holding.dueAt = -Infinity;
            return undefined;
        }
        if (holding.isInFlight || now < holding.dueAt) {
            return undefined;
        }
        holding.isInFlight = true;
        return releaseOrder(holding, former);
    };

    const takeGrant = (holding: Holding, now: number, leaseMilliseconds: number): Order | undefined => {
        const { owner, first, last, token } = holding.range;
        const isFirst = leaseEnd(holding) === -Infinity;
        const isIdle = isDue(holding, now, leaseMilliseconds) && !holding.isFenced && !(holding.isBlocked && isFirst);
        if (owner === undefined || !isIdle || ended.has(keyRange.ownerName(owner))) {
            return undefined;
        }
        holding.isInFlight = true;
        holding.grantedMilliseconds = leaseMilliseconds;
        holding.pendingLeaseUntil = now + grantTimeoutMilliseconds + deliveryMilliseconds
            + leaseMilliseconds * clockDrift;
        return { kind: OrderKind.grant, owner, first, last, token, leaseMilliseconds, handover: holding.handover };
    };

    const onGrantAnswer = (holding: Holding, order: Order, outcome: OrderOutcomeValue, now: number): void => {
        const name = keyRange.ownerName(order.owner);
        if (outcome === OrderOutcome.unanswered) {
            holding.leaseUntil = Math.max(holding.leaseUntil, holding.pendingLeaseUntil);
            silences.set(name, { since: silences.get(name)?.since ?? now, lastAt: now });
            holding.pendingLeaseUntil = -Infinity;
            holding.dueAt = now + grantRetryMilliseconds;
            return;
        }
        silences.delete(name);
        holding.pendingLeaseUntil = -Infinity;
        const isDone = outcome === OrderOutcome.done;
        if (isDone) {
            holding.leaseUntil = Math.max(holding.leaseUntil, now + order.leaseMilliseconds * clockDrift);
        }
        holding.isFenced = outcome === OrderOutcome.fenced;
        holding.dueAt = now + (isDone ? renewalMilliseconds : grantRetryMilliseconds);
        if (isDone !== holding.isHeld) {
            holding.isHeld = isDone;
            changes.push(routingOf(holding));
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
                const old: Holding[] = [];
                for (let index = position; index < before.length && overlaps(before[index].range, range); index += 1) {
                    old.push(before[index]);
                }
                const holding = follow(range, old, unknownLeaseUntil);
                if (!holding.isHeld && old.some(one => one.isHeld)) {
                    changes.push(routingOf(holding));
                }
                return holding;
            });
            byFirst = new Map(holdings.map(holding => [holding.range.first, holding]));
            agreed = assignment;
        },
        assignment: () => agreed,
        takeDueOrders: (now, leaseMilliseconds) => {
            const orders: Order[] = [];
            const outstanding = new Map<string, number>();
            const count = (name: string): void => {
                outstanding.set(name, (outstanding.get(name) ?? 0) + 1);
            };
            for (const holding of holdings) {
                const release = holding.isFormerDone ? undefined : takeRelease(holding, now);
                if (release !== undefined) {
                    orders.push(release);
                }
                else if (holding.isInFlight && holding.isFormerDone && holding.range.owner !== undefined) {
                    count(keyRange.ownerName(holding.range.owner));
                }
            }
            const idle = holdings.filter(holding => holding.isFormerDone && isDue(holding, now, leaseMilliseconds));
            // Keys that nobody serves first, then the leases that end soonest.
            for (const holding of idle.sort((left, right) => left.leaseUntil - right.leaseUntil)) {
                const { owner } = holding.range;
                if (owner === undefined) {
                    continue;
                }
                const name = keyRange.ownerName(owner);
                const limit = silences.has(name) ? probesWhileSilent : ordersPerOwner;
                if ((outstanding.get(name) ?? 0) >= limit) {
                    continue;
                }
                const grant = takeGrant(holding, now, leaseMilliseconds);
                if (grant !== undefined) {
                    orders.push(grant);
                    count(name);
                }
            }
            return orders;
        },
        onAnswer: (order, outcome, handover, now) => {
            const holding = find(order);
            if (holding === undefined) {
                return;
            }
            if (order.kind === OrderKind.grant) {
                if (keyRange.isSameOwner(holding.range.owner, order.owner) && holding.isFormerDone) {
                    holding.isInFlight = false;
                    onGrantAnswer(holding, order, outcome, now);
                }
                return;
            }
            if (holding.isFormerDone) {
                return;
            }
            holding.isInFlight = false;
            if (outcome === OrderOutcome.done) {
                holding.isFormerDone = true;
                holding.handover = handover;
                holding.dueAt = -Infinity;
                return;
            }
            holding.dueAt = now + releaseRetryMilliseconds;
        },
        onEnded: owner => {
            ended.add(keyRange.ownerName(owner));
            for (const holding of holdings.filter(one => one.isHeld && keyRange.isSameOwner(one.range.owner, owner))) {
                holding.isHeld = false;
                holding.leaseUntil = -Infinity;
                changes.push(routingOf(holding));
            }
        },
        isMoving: range => {
            const holding = at(range.first, range.last);
            return holding !== undefined && !holding.isFormerDone;
        },
        isUndecided: (range, now) => {
            const holding = at(range.first, range.last);
            return holding !== undefined && !holding.isFormerDone && leaseEnd(holding) > now;
        },
        setPlanned: plan => {
            const ranges = plan?.ranges ?? [];
            let position = 0;
            for (const holding of holdings) {
                const { first, last, token } = holding.range;
                while (position < ranges.length && ranges[position].last < first) {
                    position += 1;
                }
                holding.isBlocked = false;
                for (let index = position; index < ranges.length && ranges[index].first <= last; index += 1) {
                    holding.isBlocked ||= ranges[index].token !== token;
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
        silentSince: (owner, now) => {
            const name = keyRange.ownerName(owner);
            const silence = silences.get(name);
            if (silence !== undefined && now - silence.lastAt > silenceMemoryMilliseconds) {
                silences.delete(name);
                return undefined;
            }
            return silence?.since;
        },
        settled: () =>
            agreed === undefined ? undefined : {
                ...agreed,
                ranges: holdings.map(({ range, isFormerDone }) =>
                    isFormerDone ? { ...range, former: undefined } : range
                ),
            },
    };
};
