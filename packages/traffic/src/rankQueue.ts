/**
 * Queue in front of shared capacity. The most urgent rank goes first, yet each rank that waits earns credit by its
 * floor and goes ahead once it has saved up the cost of a request. Requests that cannot be answered in time are refused
 * while it is certain that they have not run. In time means by the deadline; in a lasting overload, by the rank's target,
 * since a queue of requests that all wait for their deadline answers every one of them late.
 */

/** How a rank is treated. */
export interface RankPolicy {
    name: string;
    /** Share of the capacity that the rank keeps while others flood. */
    floorShare: number;
    /** Largest share of the capacity that the rank may hold at a time. */
    maximumShare: number;
    /** Time within which an answer is worth most. */
    targetMilliseconds: number;
}

/** A request that waits. */
export interface Waiting<T> {
    item: T;
    rank: string;
    /** Instant by which the head of an answer must be there. */
    deadlineAt: number;
    /** Bytes held while it waits. */
    bytes: number;
}

/** Why a request is refused. */
export const RefusalReason = { overload: "overload", deadline: "deadline" } as const;

/** A refusal before anything ran. */
export interface QueueRefusal {
    reason: typeof RefusalReason[keyof typeof RefusalReason];
    /** When trying again makes sense. */
    retryAfterMilliseconds: number;
}

/** A queue for one service. */
export interface RankQueue<T> {
    /** Takes a request, or says at once why it is refused. */
    enqueue: (waiting: Waiting<T>, now: number) => QueueRefusal | undefined;
    /**
     * Takes the next request out, if any may go now; its slot is held until {@link RankQueue.onDone}. A rank whose
     * first request cannot run stands aside for the others.
     */
    next: (capacity: number, now: number, mayRun: (item: T) => boolean) => Waiting<T> | undefined;
    /** Gives back the slot of a request taken out, with the time it was held where that is typical of the rank. */
    onDone: (rank: string, heldMilliseconds: number | undefined) => void;
    /** Withdraws a request that still waits. */
    withdraw: (item: T) => boolean;
    /** Takes out every request that can no longer be answered in time. */
    expire: (now: number) => Waiting<T>[];
    length: () => number;
    held: () => number;
}

interface RankState<T> {
    policy: RankPolicy;
    waiting: Entry<T>[];
    held: number;
    /** Slot time, in milliseconds, that the rank is owed by its floor. */
    creditMilliseconds: number;
    /** Smoothed time a request holds its slot, and how far that strays. */
    heldMilliseconds: number;
    heldDeviation: number;
    /** Since when waiting has made answers later than the target, without a break. */
    lateSince: number | undefined;
}

interface Entry<T> extends Waiting<T> {
    enqueuedAt: number;
}

const highestWaiting = 2000;
const highestWaitingBytes = 32 * 1024 * 1024;
const smoothing = 0.1;
const initialHeldMilliseconds = 5;
const creditLimit = 4;
/** A burst shorter than this may wait up to its deadline; in a longer one, late answers would crowd out timely ones. */
const burstMilliseconds = 100;
const leastWaitMilliseconds = 5;
/** Part of the target that waiting and running may take in an overload; the rest is for the ways there and back. */
const overloadTargetShare = 0.75;
/** Part of the target below which an overload has ended. */
const recoveredTargetShare = 0.5;

/**
 * Creates a queue.
 *
 * @param policies - the ranks, the most urgent first
 * @returns an empty queue
 */
export const createRankQueue = <T>(policies: readonly RankPolicy[]): RankQueue<T> => {
    const ranks: RankState<T>[] = policies.map(policy => ({
        policy,
        waiting: [],
        held: 0,
        creditMilliseconds: 0,
        heldMilliseconds: initialHeldMilliseconds,
        heldDeviation: 0,
        lateSince: undefined,
    }));
    const rankOf = (name: string): RankState<T> => ranks.find(rank => rank.policy.name === name) ?? ranks[0];
    let lastCapacity = 1;
    let waitingBytes = 0;

    const length = (): number => ranks.reduce((sum, rank) => sum + rank.waiting.length, 0);
    const held = (): number => ranks.reduce((sum, rank) => sum + rank.held, 0);

    const capOf = (rank: RankState<T>, capacity: number): number =>
        Math.max(1, Math.floor(rank.policy.maximumShare * capacity));

    const isOwed = (rank: RankState<T>): boolean => rank.creditMilliseconds >= rank.heldMilliseconds;

    // Work that is served before a new request of the rank: its own rank's and, but for its floor, more urgent ones'.
    const expectedWaitMilliseconds = (rank: RankState<T>): number => {
        const ahead = ranks.slice(0, ranks.indexOf(rank) + 1);
        const work = ahead.reduce((sum, other) => sum + other.waiting.length * other.heldMilliseconds, 0);
        const throughFloor = rank.policy.floorShare > 0
            ? rank.waiting.length * rank.heldMilliseconds / (rank.policy.floorShare * lastCapacity)
            : Infinity;
        const ownCapacity = Math.min(lastCapacity, capOf(rank, lastCapacity));
        const isIdle = held() < lastCapacity && rank.waiting.length === 0;
        return isIdle ? 0 : Math.min(work / ownCapacity, throughFloor);
    };

    const neededMilliseconds = (rank: RankState<T>): number => rank.heldMilliseconds + rank.heldDeviation;

    const noteWait = (rank: RankState<T>, waitMilliseconds: number, now: number): void => {
        const answeredIn = waitMilliseconds + neededMilliseconds(rank);
        if (answeredIn > rank.policy.targetMilliseconds * overloadTargetShare) {
            rank.lateSince ??= now;
        }
        else if (answeredIn < rank.policy.targetMilliseconds * recoveredTargetShare) {
            rank.lateSince = undefined;
        }
    };

    const isOverloaded = (rank: RankState<T>, now: number): boolean =>
        rank.lateSince !== undefined && now - rank.lateSince >= burstMilliseconds;

    // The latest instant at which a request may still be sent: later, it would be answered too late, or be cut off
    // at its deadline with nobody knowing whether it ran.
    const latestStart = (rank: RankState<T>, entry: Entry<T>, now: number): number => {
        const target = entry.enqueuedAt + rank.policy.targetMilliseconds * overloadTargetShare;
        const bound = isOverloaded(rank, now) ? Math.min(entry.deadlineAt, target) : entry.deadlineAt;
        return Math.max(entry.enqueuedAt + leastWaitMilliseconds, bound - neededMilliseconds(rank));
    };

    const pick = (capacity: number, mayRun: (item: T) => boolean): RankState<T> | undefined => {
        const able = ranks.filter(rank =>
            rank.waiting.length > 0 && rank.held < capOf(rank, capacity) && mayRun(rank.waiting[0].item)
        );
        return able.find(isOwed) ?? able[0];
    };

    const settleCredit = (chosen: RankState<T>): void => {
        if (isOwed(chosen)) {
            chosen.creditMilliseconds -= chosen.heldMilliseconds;
        }
        for (const rank of ranks) {
            const isWaiting = rank.waiting.length > 0 || rank === chosen;
            const earned = rank.policy.floorShare * chosen.heldMilliseconds;
            const highest = creditLimit * rank.heldMilliseconds;
            rank.creditMilliseconds = isWaiting ? Math.min(highest, rank.creditMilliseconds + earned) : 0;
        }
    };

    return {
        enqueue: (waiting, now) => {
            const rank = rankOf(waiting.rank);
            const wait = expectedWaitMilliseconds(rank);
            const isFull = length() >= highestWaiting || waitingBytes + waiting.bytes > highestWaitingBytes;
            if (isFull) {
                return { reason: RefusalReason.overload, retryAfterMilliseconds: wait };
            }
            noteWait(rank, wait, now);
            const entry = { ...waiting, enqueuedAt: now };
            if (now + wait > latestStart(rank, entry, now)) {
                return { reason: RefusalReason.deadline, retryAfterMilliseconds: wait };
            }
            rank.waiting.push(entry);
            waitingBytes += waiting.bytes;
            return undefined;
        },
        next: (capacity, now, mayRun) => {
            lastCapacity = Math.max(1, capacity);
            if (held() >= capacity) {
                return undefined;
            }
            const rank = pick(capacity, mayRun);
            const waiting = rank?.waiting[0];
            if (rank === undefined || waiting === undefined || latestStart(rank, waiting, now) < now) {
                return undefined;
            }
            rank.waiting.shift();
            waitingBytes -= waiting.bytes;
            rank.held += 1;
            settleCredit(rank);
            return waiting;
        },
        onDone: (name, heldMilliseconds) => {
            const rank = rankOf(name);
            rank.held -= 1;
            if (heldMilliseconds === undefined) {
                return;
            }
            const distance = heldMilliseconds - rank.heldMilliseconds;
            rank.heldMilliseconds += distance * smoothing;
            rank.heldDeviation += (Math.abs(distance) - rank.heldDeviation) * smoothing;
        },
        withdraw: item => {
            for (const rank of ranks) {
                const index = rank.waiting.findIndex(waiting => waiting.item === item);
                if (index >= 0) {
                    waitingBytes -= rank.waiting[index].bytes;
                    rank.waiting.splice(index, 1);
                    return true;
                }
            }
            return false;
        },
        expire: now => {
            const expired: Waiting<T>[] = [];
            for (const rank of ranks) {
                const overdue = rank.waiting.filter(waiting => latestStart(rank, waiting, now) < now);
                if (overdue.length > 0) {
                    rank.waiting = rank.waiting.filter(waiting => latestStart(rank, waiting, now) >= now);
                    overdue.forEach(waiting => waitingBytes -= waiting.bytes);
                    expired.push(...overdue);
                }
            }
            return expired;
        },
        length,
        held,
    };
};
