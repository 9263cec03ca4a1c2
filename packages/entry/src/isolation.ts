/** Whether an instance is isolated. One that is sends requests to former owners of moved keys, so callers are better served by others. */
import type * as foundation from "@mulberryseam/foundation";

/** Whether an instance is cut off from the store. */
export interface Isolation {
    isIsolated: () => boolean;
    update: () => void;
}

/**
 * Time without contact to the store, its own or the leader's, after which an instance counts as isolated, in milliseconds:
 * longer than a change of leader takes.
 */
const maxContactAgeMilliseconds = 3000;

/**
 * Creates the check of whether an instance is isolated.
 *
 * @param log - receives the changes
 * @param contactAge - returns the time since the last contact to the store, in milliseconds
 * @returns the check; the instance counts as not isolated until the first update
 */
export const createIsolation = (log: foundation.EventLog, contactAge: () => number): Isolation => {
    let isIsolated = false;
    return {
        isIsolated: () => isIsolated,
        update: () => {
            const age = contactAge();
            const wasIsolated = isIsolated;
            isIsolated = age > maxContactAgeMilliseconds;
            if (isIsolated !== wasIsolated) {
                log.write(isIsolated ? "isolated" : "isolation-ended", { contactAge: Math.round(age) });
            }
        },
    };
};
