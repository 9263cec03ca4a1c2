/** Keeps the requests that wait in an instance, by the set of upstreams that they wait for, and limits them. */
import type * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import type * as waitingRequests from "./waitingRequests";

/** A waiting request. */
export interface Entry extends scheduling.QueuedRequest {
    /** Whether nothing has been decided about it yet. */
    isNew: boolean;
    candidate: waitingRequests.WaitingCandidate;
    resolve: (result: waitingRequests.WaitResult) => void;
    reject: (error: unknown) => void;
}

/** The requests that wait for one set of upstreams. */
export interface UpstreamSet {
    name: string;
    service: string;
    order: scheduling.WaitingOrder<Entry>;
    waiting: Entry[];
    lastSentAt: number;
    /** Average time between two requests sent while others waited; undefined before the first ones. */
    intervalMilliseconds: number | undefined;
    intervalCount: number;
    timer: foundation.Subscription | undefined;
    /** Time at which every waiting request was last compared with its upstream. */
    assessedAt: number;
}

/** The waiting requests of an instance. */
export interface WaitingSets {
    findOrCreate: (name: string, service: string) => UpstreamSet;
    add: (set: UpstreamSet, entry: Entry) => void;
    remove: (set: UpstreamSet, entry: Entry) => void;
    /** Whether no further request can wait for a set. */
    isFull: (set: UpstreamSet, bytes: number) => boolean;
    /** Number of waiting requests of each service. */
    counts: () => ReadonlyMap<string, number>;
}

/** Requests that wait for one set of upstreams, and in the instance, at most. */
export const maxWaitingPerSet = 64;
const maxWaiting = 512;
/** Bytes of waiting requests in the instance, which are also limited by the budget of its bodies. */
const maxWaitingBytes = 8 * 1024 * 1024;
/** Sets of upstreams whose rates of service are remembered. */
const maxSets = 1024;
/** Weight of one interval between two sent requests in the average. */
const intervalSmoothing = 0.15;
const minIntervals = 3;

/**
 * Returns the expected room. The measured interval is known while requests wait; before, that of the outstanding ones is used.
 *
 * @param set - the waiting requests
 * @param chosen - the upstream selected for one of them
 * @param free - requests that may be sent now
 * @param now - current time
 * @returns the room
 */
export const roomOf = (
    set: UpstreamSet,
    chosen: waitingRequests.ChosenUpstream,
    free: number,
    now: number,
): scheduling.Room => {
    const outstanding = Math.max(1, chosen.outstandingCount());
    const estimated = chosen.input.expectedMilliseconds / outstanding;
    const interval = Math.max(
        1,
        set.intervalCount >= minIntervals ? set.intervalMilliseconds ?? estimated : estimated,
    );
    // Requests that have waited for longer than that show that there is less room than measured.
    const oldest = Math.min(now, ...set.waiting.map(entry => entry.arrivedAt));
    const slowed = Math.max(interval, (now - Math.max(set.lastSentAt, oldest)) / 2);
    return { free, nextMilliseconds: slowed / 2, intervalMilliseconds: slowed };
};

/**
 * Measures the time between two requests that are sent while others wait.
 *
 * @param set - the waiting requests
 * @param entry - the request that is sent
 * @param now - current time
 */
export const recordInterval = (set: UpstreamSet, entry: Entry, now: number): void => {
    const isPressed = set.waiting.some(other => other !== entry) || now > entry.arrivedAt;
    if (isPressed && set.lastSentAt !== -Infinity) {
        const interval = now - set.lastSentAt;
        const known = set.intervalMilliseconds ?? interval;
        set.intervalMilliseconds = known + (interval - known) * intervalSmoothing;
        set.intervalCount += 1;
    }
    else {
        // Without pressure, requests are as far apart as they arrive.
        set.intervalCount = 0;
        set.intervalMilliseconds = undefined;
    }
    set.lastSentAt = now;
};

/**
 * Creates the waiting requests of an instance, of which there are none.
 *
 * @param timers - the clock
 * @returns the waiting requests
 */
export const createWaitingSets = (timers: foundation.TimerService): WaitingSets => {
    const sets = new Map<string, UpstreamSet>();
    let waitingCount = 0;
    let waitingBytes = 0;
    const counts = (): ReadonlyMap<string, number> => {
        const byService = new Map<string, number>();
        for (const { service, waiting } of sets.values()) {
            byService.set(service, (byService.get(service) ?? 0) + waiting.length);
        }
        return byService;
    };
    const removeIdleSets = (): void => {
        for (const [name, set] of sets) {
            if (sets.size < maxSets) {
                return;
            }
            if (set.waiting.length === 0) {
                sets.delete(name);
            }
        }
    };
    const findOrCreate = (name: string, service: string): UpstreamSet => {
        const known = sets.get(name);
        if (known !== undefined) {
            return known;
        }
        removeIdleSets();
        const created: UpstreamSet = {
            name,
            service,
            order: scheduling.createWaitingOrder<Entry>(),
            waiting: [],
            lastSentAt: -Infinity,
            intervalMilliseconds: undefined,
            intervalCount: 0,
            timer: undefined,
            assessedAt: -Infinity,
        };
        sets.set(name, created);
        return created;
    };

    const remove = (set: UpstreamSet, entry: Entry): void => {
        const index = set.waiting.indexOf(entry);
        if (index < 0) {
            return;
        }
        const { state, bytes } = entry.candidate;
        set.waiting.splice(index, 1);
        waitingCount -= 1;
        waitingBytes -= bytes;
        state.waitedMilliseconds += timers.now() - entry.arrivedAt;
        state.waitingSince = undefined;
    };
    const add = (set: UpstreamSet, entry: Entry): void => {
        entry.candidate.state.waitingSince = entry.arrivedAt;
        set.waiting.push(entry);
        waitingCount += 1;
        waitingBytes += entry.candidate.bytes;
    };
    const isFull = (set: UpstreamSet, bytes: number): boolean =>
        set.waiting.length >= maxWaitingPerSet || waitingCount >= maxWaiting || waitingBytes + bytes > maxWaitingBytes;

    return { findOrCreate, add, remove, isFull, counts };
};
