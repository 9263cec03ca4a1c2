/**
 * How far an instance is behind with its own work. It answers the load of an instance that gets more requests than its
 * processor can pass on, as when the others of its failure domain are replaced during a burst.
 */
import type * as foundation from "@mulberryseam/foundation";

/** The delay of a process's work. */
export interface LoopDelay {
    /** Time that a request read now has waited to be read, about, in milliseconds. */
    milliseconds: () => number;
    /**
     * Returns once whatever had arrived before was read, the end of callers' connections too; at once when the process is
     * not behind.
     */
    catchUp: () => Promise<void>;
}

const intervalMilliseconds = 20;
/** Part of an earlier delay that is remembered at each look, as a backlog takes several turns. */
const remembered = 0.8;
/** Delay below which nothing that matters can have arrived unread, in milliseconds. */
const negligibleMilliseconds = 30;

/** Delay at which requests of the most urgent rank are refused, in milliseconds: half of what a quick answer takes. */
const urgentLimitMilliseconds = 250;
/** How much sooner each less urgent rank is refused, in milliseconds. */
const rankStepMilliseconds = 60;
const lowestLimitMilliseconds = 100;

/**
 * Tells whether an instance that is behind with its work should send a request's caller to another instance. The least
 * urgent go first; a refusal costs a small part of what passing the request on does.
 *
 * @param rank - the route's rank; 0 is the most urgent
 * @param delayMilliseconds - {@link LoopDelay.milliseconds}
 * @returns whether to refuse it
 */
export const isBehind = (rank: number, delayMilliseconds: number): boolean =>
    delayMilliseconds > Math.max(lowestLimitMilliseconds, urgentLimitMilliseconds - rank * rankStepMilliseconds);

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Watches the delay of this process until the owner is disposed of.
 *
 * @param timers - the timer service
 * @param owner - ends the watch
 * @returns the delay
 */
export const createLoopDelay = (timers: foundation.TimerService, owner: foundation.Owner): LoopDelay => {
    let lookedAt = timers.now();
    let delay = 0;
    const overdue = (): number => Math.max(0, timers.now() - lookedAt - intervalMilliseconds);
    const subscription = timers.onInterval(intervalMilliseconds, () => {
        delay = Math.max(overdue(), delay * remembered);
        lookedAt = timers.now();
    });
    owner.onCleanup(() => subscription.cancel());
    const milliseconds = (): number => Math.max(delay, overdue());
    return {
        milliseconds,
        catchUp: async () => {
            if (milliseconds() > negligibleMilliseconds) {
                // Sockets are read between two turns.
                await nextTurn();
                await nextTurn();
            }
        },
    };
};
