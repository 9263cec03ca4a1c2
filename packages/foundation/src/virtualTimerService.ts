/** A timer service for tests, with a clock that advances only on request. */
import type * as timerService from "./timerService";

interface PendingCallback {
    dueAt: number;
    sequence: number;
    callback: () => void;
    intervalMilliseconds: number | undefined;
}

/** A timer service with a virtual clock. */
export interface VirtualTimerService extends timerService.TimerService {
    /** Advances the clock by milliseconds and runs the callbacks that fall due, in order. */
    advance: (milliseconds: number) => void;
}

/**
 * Creates a timer service with a clock that stands still until advanced.
 *
 * @param startMilliseconds - initial time of the clock
 * @returns the timer service
 */
export const createVirtualTimerService = (startMilliseconds = 0): VirtualTimerService => {
    const pending = new Set<PendingCallback>();
    let now = startMilliseconds;
    let sequence = 0;

    const schedule = (
        delayMilliseconds: number,
        callback: () => void,
        intervalMilliseconds?: number,
    ): timerService.Subscription => {
        const entry = { dueAt: now + delayMilliseconds, sequence: sequence++, callback, intervalMilliseconds };
        pending.add(entry);
        return { cancel: () => pending.delete(entry) };
    };

    const findNextDue = (until: number): PendingCallback | undefined => {
        let earliest: PendingCallback | undefined;
        for (const entry of pending) {
            if (entry.dueAt > until) {
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

    const runCallback = (entry: PendingCallback): void => {
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
        onDelay: (delay, callback) => schedule(delay, callback),
        onInterval: (interval, callback) => schedule(interval, callback, interval),
        advance: milliseconds => {
            const endTime = now + milliseconds;
            for (let entry = findNextDue(endTime); entry !== undefined; entry = findNextDue(endTime)) {
                runCallback(entry);
            }
            now = endTime;
        },
    };
};
