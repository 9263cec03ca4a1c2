/**
 * Queue of requests for shared capacity. The most urgent rank is served first, but each rank with queued requests earns
 * credit in proportion to its floor and is served ahead of others once its credit covers one request. Requests that
 * cannot be answered in time are refused before they are sent, so they have certainly not run. In time means by the
 * deadline or, during a sustained overload, within the target of the rank: if all requests were allowed to wait until
 * their deadlines, every response would be late.
 */

/** Configures the treatment of a rank. */
export interface RankPolicy {
    name: string;
    /** Fraction of the capacity guaranteed to the rank while requests of other ranks overload the queue. */
    floorShare: number;
    /** Maximum fraction of the capacity that the rank may hold at a time. */
    maximumShare: number;
    /** Response time within which a response has its full value. */
    targetMilliseconds: number;
}

/** A request in the queue. */
export interface QueuedRequest<T> {
    item: T;
    rank: string;
    /** Time by which the response headers must be received. */
    deadlineAt: number;
    /** Memory, in bytes, held while the request is queued. */
    bytes: number;
}

/** Reason for refusing a request. */
export const RefusalReason = { overload: "overload", deadline: "deadline" } as const;

/** Refusal of a request that has not run. */
export interface QueueRefusal {
    reason: typeof RefusalReason[keyof typeof RefusalReason];
    /** Time after which a retry may succeed. */
    retryAfterMilliseconds: number;
}

/** An admission queue in front of a pool or a server. */
export interface RankQueue<T> {
    /** Adds a request, or returns a refusal. */
    enqueue: (request: QueuedRequest<T>, now: number) => QueueRefusal | undefined;
    /**
     * Removes and returns the next request that may run, if any. Its slot is held until {@link RankQueue.releaseSlot}.
     * A rank whose first request cannot run is skipped.
     */
    dequeue: (capacity: number, now: number, canRun: (item: T) => boolean) => QueuedRequest<T> | undefined;
    /**
     * Releases the slot of a dequeued request. `holdMilliseconds` is the time that the slot was held, from which later
     * waits are estimated; undefined if that time is not typical of the rank.
     */
    releaseSlot: (rank: string, holdMilliseconds: number | undefined) => void;
    /** Removes a queued request. Returns whether it was still queued. */
    remove: (item: T) => boolean;
    /** Removes and returns every request that can no longer be answered in time. */
    expire: (now: number) => QueuedRequest<T>[];
    length: () => number;
    heldSlots: () => number;
}

interface RankState<T> {
    policy: RankPolicy;
    queue: QueueEntry<T>[];
    heldSlots: number;
    /** Slot time, in milliseconds, that the rank has earned by its floor and not used. */
    creditMilliseconds: number;
    /** Smoothed time that a request holds its slot, and its smoothed absolute deviation. */
    meanHoldMilliseconds: number;
    holdDeviationMilliseconds: number;
    /**
     * Time at which the expected response time rose above `overloadTargetRatio` of the target; undefined before that,
     * and again once it falls below `recoveredTargetRatio` of the target.
     */
    aboveTargetSince: number | undefined;
}

interface QueueEntry<T> extends QueuedRequest<T> {
    enqueuedAt: number;
}

const maxQueuedRequests = 2000;
const maxQueuedBytes = 32 * 1024 * 1024;
const smoothingFactor = 0.1;
const initialHoldMilliseconds = 5;
const maxCreditRequests = 4;
/**
 * Duration of a burst during which requests may wait until their deadlines. In a longer burst, late responses would
 * displace timely ones.
 */
const maxBurstMilliseconds = 100;
const minWaitMilliseconds = 5;
/** Fraction of the target for queueing and execution during an overload; the rest is for network round trips. */
const overloadTargetRatio = 0.75;
/** Fraction of the target below which an overload has ended. */
const recoveredTargetRatio = 0.5;

/**
 * Creates an admission queue.
 *
 * @param policies - policies of the ranks, the most urgent first
 * @returns an empty queue
 */
export const createRankQueue = <T>(policies: readonly RankPolicy[]): RankQueue<T> => {
    const ranks: RankState<T>[] = policies.map(policy => ({
        policy,
        queue: [],
        heldSlots: 0,
        creditMilliseconds: 0,
        meanHoldMilliseconds: initialHoldMilliseconds,
        holdDeviationMilliseconds: 0,
        aboveTargetSince: undefined,
    }));
    const rankOf = (name: string): RankState<T> => ranks.find(rank => rank.policy.name === name) ?? ranks[0];
    let lastCapacity = 1;
    let queuedBytes = 0;

    const length = (): number => ranks.reduce((sum, rank) => sum + rank.queue.length, 0);
    const heldSlots = (): number => ranks.reduce((sum, rank) => sum + rank.heldSlots, 0);

    const maxSlotsOf = (rank: RankState<T>, capacity: number): number =>
        Math.max(1, Math.floor(rank.policy.maximumShare * capacity));

    const hasFloorCredit = (rank: RankState<T>): boolean => rank.creditMilliseconds >= rank.meanHoldMilliseconds;

    // Queued requests of the same rank and of more urgent ranks are served before a new request. The floor limits the
    // wait to the time needed to serve the rank's own queue at its guaranteed capacity.
    const expectedWaitMilliseconds = (rank: RankState<T>): number => {
        const ranksAhead = ranks.slice(0, ranks.indexOf(rank) + 1);
        const workMilliseconds = ranksAhead.reduce(
            (sum, other) => sum + other.queue.length * other.meanHoldMilliseconds,
            0,
        );
        const floorWaitMilliseconds = rank.policy.floorShare > 0
            ? rank.queue.length * rank.meanHoldMilliseconds / (rank.policy.floorShare * lastCapacity)
            : Infinity;
        const usableCapacity = Math.min(lastCapacity, maxSlotsOf(rank, lastCapacity));
        const isSlotFree = heldSlots() < lastCapacity && rank.queue.length === 0;
        return isSlotFree ? 0 : Math.min(workMilliseconds / usableCapacity, floorWaitMilliseconds);
    };

    const expectedHoldMilliseconds = (rank: RankState<T>): number =>
        rank.meanHoldMilliseconds + rank.holdDeviationMilliseconds;

    const updateOverload = (rank: RankState<T>, waitMilliseconds: number, now: number): void => {
        const responseMilliseconds = waitMilliseconds + expectedHoldMilliseconds(rank);
        if (responseMilliseconds > rank.policy.targetMilliseconds * overloadTargetRatio) {
            rank.aboveTargetSince ??= now;
        }
        else if (responseMilliseconds < rank.policy.targetMilliseconds * recoveredTargetRatio) {
            rank.aboveTargetSince = undefined;
        }
    };

    const isOverloaded = (rank: RankState<T>, now: number): boolean =>
        rank.aboveTargetSince !== undefined && now - rank.aboveTargetSince >= maxBurstMilliseconds;

    // Returns the latest time at which a request may still be sent. A request sent later would be answered too late, or
    // be interrupted at its deadline, which leaves unknown whether it ran.
    const latestStartAt = (rank: RankState<T>, entry: QueueEntry<T>, now: number): number => {
        const targetAt = entry.enqueuedAt + rank.policy.targetMilliseconds * overloadTargetRatio;
        const dueAt = isOverloaded(rank, now) ? Math.min(entry.deadlineAt, targetAt) : entry.deadlineAt;
        return Math.max(entry.enqueuedAt + minWaitMilliseconds, dueAt - expectedHoldMilliseconds(rank));
    };

    const selectRank = (capacity: number, canRun: (item: T) => boolean): RankState<T> | undefined => {
        const runnable = ranks.filter(rank =>
            rank.queue.length > 0 && rank.heldSlots < maxSlotsOf(rank, capacity) && canRun(rank.queue[0].item)
        );
        return runnable.find(hasFloorCredit) ?? runnable[0];
    };

    const updateCredits = (selected: RankState<T>): void => {
        if (hasFloorCredit(selected)) {
            selected.creditMilliseconds -= selected.meanHoldMilliseconds;
        }
        for (const rank of ranks) {
            const isBacklogged = rank.queue.length > 0 || rank === selected;
            const earnedMilliseconds = rank.policy.floorShare * selected.meanHoldMilliseconds;
            const maxCreditMilliseconds = maxCreditRequests * rank.meanHoldMilliseconds;
            rank.creditMilliseconds = isBacklogged
                ? Math.min(maxCreditMilliseconds, rank.creditMilliseconds + earnedMilliseconds)
                : 0;
        }
    };

    return {
        enqueue: (request, now) => {
            const rank = rankOf(request.rank);
            const waitMilliseconds = expectedWaitMilliseconds(rank);
            const isFull = length() >= maxQueuedRequests || queuedBytes + request.bytes > maxQueuedBytes;
            if (isFull) {
                return { reason: RefusalReason.overload, retryAfterMilliseconds: waitMilliseconds };
            }
            updateOverload(rank, waitMilliseconds, now);
            const entry = { ...request, enqueuedAt: now };
            if (now + waitMilliseconds > latestStartAt(rank, entry, now)) {
                return { reason: RefusalReason.deadline, retryAfterMilliseconds: waitMilliseconds };
            }
            rank.queue.push(entry);
            queuedBytes += request.bytes;
            return undefined;
        },
        dequeue: (capacity, now, canRun) => {
            lastCapacity = Math.max(1, capacity);
            if (heldSlots() >= capacity) {
                return undefined;
            }
            const rank = selectRank(capacity, canRun);
            const request = rank?.queue[0];
            if (rank === undefined || request === undefined || latestStartAt(rank, request, now) < now) {
                return undefined;
            }
            rank.queue.shift();
            queuedBytes -= request.bytes;
            rank.heldSlots += 1;
            updateCredits(rank);
            return request;
        },
        releaseSlot: (rankName, holdMilliseconds) => {
            const rank = rankOf(rankName);
            rank.heldSlots -= 1;
            if (holdMilliseconds === undefined) {
                return;
            }
            const difference = holdMilliseconds - rank.meanHoldMilliseconds;
            rank.meanHoldMilliseconds += difference * smoothingFactor;
            rank.holdDeviationMilliseconds += (Math.abs(difference) - rank.holdDeviationMilliseconds) * smoothingFactor;
        },
        remove: item => {
            for (const rank of ranks) {
                const index = rank.queue.findIndex(entry => entry.item === item);
                if (index >= 0) {
                    queuedBytes -= rank.queue[index].bytes;
                    rank.queue.splice(index, 1);
                    return true;
                }
            }
            return false;
        },
        expire: now => {
            const expired: QueuedRequest<T>[] = [];
            for (const rank of ranks) {
                const overdue = rank.queue.filter(entry => latestStartAt(rank, entry, now) < now);
                if (overdue.length > 0) {
                    rank.queue = rank.queue.filter(entry => latestStartAt(rank, entry, now) >= now);
                    overdue.forEach(entry => queuedBytes -= entry.bytes);
                    expired.push(...overdue);
                }
            }
            return expired;
        },
        length,
        heldSlots,
    };
};
