/** A timer service whose time moves only when a test moves it. */
import type * as timerService from "./timerService";

interface PendingCallback {
    dueAt: number;
    sequence: number;
    callback: () => void;
    intervalMilliseconds: number | undefined;
}

/** A timer service driven by hand. */
export interface VirtualTimerService extends timerService.TimerService {
    /** Moves time forward by milliseconds, running what falls due in order. */
    advance: (milliseconds: number) => void;
}

/**
 * Creates a timer service that stands still until advanced.
 *
 * @param startMilliseconds - the first reading of the clock
 * @returns the service
 */
export const createVirtualTimerService = (startMilliseconds = 0): VirtualTimerService => {
    const pending = new Set<PendingCallback>();
    let now = startMilliseconds;
    let sequence = 0;

    const add = (delay: number, callback: () => void, intervalMilliseconds?: number): timerService.Subscription => {
        const entry = { dueAt: now + delay, sequence: sequence++, callback, intervalMilliseconds };
        pending.add(entry);
        return { cancel: () => pending.delete(entry) };
    };

    const nextDue = (limit: number): PendingCallback | undefined => {
        let earliest: PendingCallback | undefined;
        for (const entry of pending) {
            if (entry.dueAt > limit) {
                continue;
            }
            const isEarlier = earliest === undefined || entry.dueAt < earliest.dueAt
                || (entry.dueAt === earliest.dueAt && entry.sequence < earliest.sequence);
            if (isEarlier) {
                earliest = entry;
            }
        }
        return earliest;
    };

    const run = (entry: PendingCallback): void => {
        now = Math.max(now, entry.dueAt);
        if (entry.intervalMilliseconds === undefined) {
            pending.delete(entry);
        }
        else {
            entry.dueAt += entry.intervalMilliseconds;
            entry.sequence = sequence++;
        }
        entry.callback();
    };

    return {
        now: () => now,
        wallClock: () => now,
        onDelay: (delay, callback) => add(delay, callback),
        onInterval: (interval, callback) => add(interval, callback, interval),
        advance: milliseconds => {
            const limit = now + milliseconds;
            for (let entry = nextDue(limit); entry !== undefined; entry = nextDue(limit)) {
                run(entry);
            }
            now = limit;
        },
    };
};
