/** Admission queue that limits the concurrent requests of this instance to one or more upstreams. */
import type * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as tsResults from "ts-results";

/** A request for a concurrency slot. */
export interface SlotRequest {
    rank: string;
    deadlineAt: number;
    bytes: number;
    /** Upstreams to skip because they were already tried. */
    excludedUpstreams: readonly string[];
    /** Aborted when the caller disconnects; removes the request from the queue. */
    signal: AbortSignal;
}

/** Permission to send one request to an upstream. */
export interface ConcurrencySlot<Target> {
    target: Target;
    /**
     * Releases the slot; later calls have no effect. Only requests that received a response contribute to the estimate
     * of how long a slot is held.
     */
    release: (wasAnswered: boolean) => void;
}

/** Assigns concurrency slots to waiting requests. */
export interface AdmissionQueue<Target> {
    acquire: (request: SlotRequest) => Promise<tsResults.Result<ConcurrencySlot<Target>, traffic.QueueRefusal>>;
    /** Assigns free slots to waiting requests. */
    dispatch: () => void;
    waitingCount: () => number;
    heldCount: () => number;
}

/** Configures an admission queue. */
export interface AdmissionQueueOptions<Target> {
    ranks: readonly traffic.RankPolicy[];
    timers: foundation.TimerService;
    capacity: () => number;
    /** Chooses an upstream for a request, or returns undefined if none is available now. */
    chooseTarget: (request: SlotRequest) => Target | undefined;
    /** Called when a slot at an upstream is acquired. */
    onSlotAcquired: (target: Target) => void;
    /** Called when a slot at an upstream is released. */
    onSlotReleased: (target: Target) => void;
}

interface PendingRequest<Target> {
    request: SlotRequest;
    target: Target | undefined;
    resolve: (result: tsResults.Result<ConcurrencySlot<Target>, traffic.QueueRefusal>) => void;
}

/** Interval at which a queue with waiting requests checks for expired deadlines and available upstreams. */
const dispatchIntervalMilliseconds = 10;

/**
 * Creates an admission queue.
 *
 * @param options - ranks, capacity and choice of upstream
 * @returns an empty queue
 */
export const createAdmissionQueue = <Target>(options: AdmissionQueueOptions<Target>): AdmissionQueue<Target> => {
    const { timers } = options;
    const rankQueue = traffic.createRankQueue<PendingRequest<Target>>(options.ranks);
    let dispatchTimer: foundation.Subscription | undefined;

    const assignSlot = (waiting: traffic.QueuedRequest<PendingRequest<Target>>): void => {
        const acquiredAt = timers.now();
        const pending = waiting.item;
        const target = pending.target as Target;
        let isReleased = false;
        const release = (wasAnswered: boolean): void => {
            if (!isReleased) {
                isReleased = true;
                options.onSlotReleased(target);
                rankQueue.releaseSlot(waiting.rank, wasAnswered ? timers.now() - acquiredAt : undefined);
                dispatch();
            }
        };
        options.onSlotAcquired(target);
        pending.resolve(tsResults.Ok({ target, release }));
    };

    const rejectExpired = (): void => {
        for (const waiting of rankQueue.expire(timers.now())) {
            waiting.item.resolve(tsResults.Err({ reason: traffic.RefusalReason.deadline, retryAfterMilliseconds: 0 }));
        }
    };

    const canRun = (pending: PendingRequest<Target>): boolean => {
        pending.target = options.chooseTarget(pending.request);
        return pending.target !== undefined;
    };

    const scheduleDispatch = (): void => {
        if (dispatchTimer === undefined && rankQueue.length() > 0) {
            dispatchTimer = timers.onDelay(dispatchIntervalMilliseconds, () => {
                dispatchTimer = undefined;
                dispatch();
            });
        }
    };

    const dispatch = (): void => {
        rejectExpired();
        const next = (): traffic.QueuedRequest<PendingRequest<Target>> | undefined =>
            rankQueue.dequeue(options.capacity(), timers.now(), canRun);
        for (let waiting = next(); waiting !== undefined; waiting = next()) {
            assignSlot(waiting);
        }
        scheduleDispatch();
    };

    return {
        acquire: request =>
            new Promise(resolve => {
                const pending: PendingRequest<Target> = { request, target: undefined, resolve };
                const { rank, deadlineAt, bytes } = request;
                const refusal = rankQueue.enqueue({ item: pending, rank, deadlineAt, bytes }, timers.now());
                if (refusal !== undefined) {
                    resolve(tsResults.Err(refusal));
                    return;
                }
                request.signal.addEventListener("abort", () => {
                    if (rankQueue.remove(pending)) {
                        resolve(tsResults.Err({ reason: traffic.RefusalReason.deadline, retryAfterMilliseconds: 0 }));
                    }
                }, { once: true });
                dispatch();
            }),
        dispatch,
        waitingCount: rankQueue.length,
        heldCount: rankQueue.heldSlots,
    };
};
