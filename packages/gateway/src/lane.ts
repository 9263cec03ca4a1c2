/** A queue in front of some upstreams, with the slots that this instance may hold of them. */
import type * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as tsResults from "ts-results";

/** A request that wants a slot. */
export interface LaneRequest {
    rank: string;
    deadlineAt: number;
    bytes: number;
    /** Upstreams already tried. */
    excluded: readonly string[];
    /** Ends the wait when the caller leaves. */
    signal: AbortSignal;
}

/** A slot, and the upstream to use it at. */
export interface Slot<Target> {
    target: Target;
    /**
     * Gives the slot back; the second call does nothing. Only the time of a request that was answered tells how long
     * such requests take.
     */
    release: (wasAnswered: boolean) => void;
}

/** Hands out slots. */
export interface Lane<Target> {
    acquire: (request: LaneRequest) => Promise<tsResults.Result<Slot<Target>, traffic.QueueRefusal>>;
    /** Looks for requests that can go now. */
    pump: () => void;
    waiting: () => number;
    held: () => number;
}

/** How a lane decides. */
export interface LaneOptions<Target> {
    ranks: readonly traffic.RankPolicy[];
    timers: foundation.TimerService;
    capacity: () => number;
    /** Chooses an upstream for a request, or none for now. */
    choose: (request: LaneRequest) => Target | undefined;
    /** A slot at an upstream has been taken, or given back. */
    onHeld: (target: Target) => void;
    onReleased: (target: Target) => void;
}

interface Ticket<Target> {
    request: LaneRequest;
    target: Target | undefined;
    resolve: (result: tsResults.Result<Slot<Target>, traffic.QueueRefusal>) => void;
}

/** Interval at which a lane with waiting requests looks for deadlines and freed upstreams. */
const wakeUpMilliseconds = 10;

/**
 * Creates a lane.
 *
 * @param options - how it decides
 * @returns an empty lane
 */
export const createLane = <Target>(options: LaneOptions<Target>): Lane<Target> => {
    const { timers } = options;
    const queue = traffic.createRankQueue<Ticket<Target>>(options.ranks);
    let wakeUp: foundation.Subscription | undefined;

    const hold = (waiting: traffic.QueuedRequest<Ticket<Target>>): void => {
        const heldSince = timers.now();
        const ticket = waiting.item;
        const target = ticket.target as Target;
        let isReleased = false;
        const release = (wasAnswered: boolean): void => {
            if (!isReleased) {
                isReleased = true;
                options.onReleased(target);
                queue.releaseSlot(waiting.rank, wasAnswered ? timers.now() - heldSince : undefined);
                pump();
            }
        };
        options.onHeld(target);
        ticket.resolve(tsResults.Ok({ target, release }));
    };

    const refuseExpired = (): void => {
        for (const waiting of queue.expire(timers.now())) {
            waiting.item.resolve(tsResults.Err({ reason: traffic.RefusalReason.deadline, retryAfterMilliseconds: 0 }));
        }
    };

    const mayRun = (ticket: Ticket<Target>): boolean => {
        ticket.target = options.choose(ticket.request);
        return ticket.target !== undefined;
    };

    const scheduleWakeUp = (): void => {
        if (wakeUp === undefined && queue.length() > 0) {
            wakeUp = timers.onDelay(wakeUpMilliseconds, () => {
                wakeUp = undefined;
                pump();
            });
        }
    };

    const pump = (): void => {
        refuseExpired();
        const next = (): traffic.QueuedRequest<Ticket<Target>> | undefined =>
            queue.dequeue(options.capacity(), timers.now(), mayRun);
        for (let waiting = next(); waiting !== undefined; waiting = next()) {
            hold(waiting);
        }
        scheduleWakeUp();
    };

    return {
        acquire: request =>
            new Promise(resolve => {
                const ticket: Ticket<Target> = { request, target: undefined, resolve };
                const { rank, deadlineAt, bytes } = request;
                const refusal = queue.enqueue({ item: ticket, rank, deadlineAt, bytes }, timers.now());
                if (refusal !== undefined) {
                    resolve(tsResults.Err(refusal));
                    return;
                }
                request.signal.addEventListener("abort", () => {
                    if (queue.remove(ticket)) {
                        resolve(tsResults.Err({ reason: traffic.RefusalReason.deadline, retryAfterMilliseconds: 0 }));
                    }
                }, { once: true });
                pump();
            }),
        pump,
        waiting: queue.length,
        held: queue.heldSlots,
    };
};
