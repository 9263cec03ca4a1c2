/** Periodic checks that share one timer, for a part that has many of them at a time. */
import type * as timerService from "./timerService";

/** A timer that runs while it has callbacks. */
export interface SharedInterval {
    /** Calls the callback at each tick, the first time within one interval. */
    add: (callback: () => void) => timerService.Subscription;
}

/**
 * Creates an interval without callbacks.
 *
 * @param timers - the timer service
 * @param intervalMilliseconds - time between two ticks
 * @returns the interval
 */
export const createSharedInterval = (
    timers: timerService.TimerService,
    intervalMilliseconds: number,
): SharedInterval => {
    const callbacks = new Set<{ call: () => void; }>();
    let ticking: timerService.Subscription | undefined;
    const stopIfUnused = (): void => {
        if (callbacks.size === 0) {
            ticking?.cancel();
            ticking = undefined;
        }
    };
    /** Calls every callback, and throws the first exception after that. */
    const callAll = (): void => {
        const errors: unknown[] = [];
        for (const { call } of [...callbacks]) {
            try {
                call();
            }
            catch (error) {
                errors.push(error);
            }
        }
        if (errors.length > 0) {
            throw errors[0];
        }
    };
    return {
        add: callback => {
            const entry = { call: callback };
            callbacks.add(entry);
            ticking ??= timers.onInterval(intervalMilliseconds, callAll);
            return {
                cancel: () => {
                    callbacks.delete(entry);
                    stopIfUnused();
                },
            };
        },
    };
};
