/** Records which failure domains the operators have evacuated, as one instance learns of it. */
import type * as foundation from "@mulberryseam/foundation";

/** An evacuation that goes on. */
export interface Evacuation {
    failureDomain: string;
    /** Time at which this instance learned of it. */
    knownSince: number;
    /** Time before which it cannot have begun; -Infinity if that is not known, as after a start of the instance. */
    earliestBeginAt: number;
}

/** The failure domains that the operators have evacuated, as far as the instance knows. */
export interface Evacuations {
    isEvacuated: (failureDomain: string) => boolean;
    /** Returns the evacuation of a failure domain; undefined if it is not evacuated. */
    find: (failureDomain: string) => Evacuation | undefined;
    /** Returns the evacuations that go on. */
    list: () => readonly Evacuation[];
    /**
     * Returns the time at which this instance learned that the last evacuation of a failure domain was over; undefined if there was none
     * since the instance started, or if one goes on.
     */
    endedAt: (failureDomain: string) => number | undefined;
    /** Calls a function each time that upstreams may have become eligible or ineligible, until the subscription is cancelled. */
    onChange: (callback: () => void) => foundation.Subscription;
}

/** Evacuations to which an instance adds what it learns. */
export interface EvacuationRecord extends Evacuations {
    /** Records that a failure domain is evacuated; returns false if that was known. */
    begin: (evacuation: Evacuation) => boolean;
    /** Records that an evacuation is over; returns the evacuation, or undefined if there was none. */
    end: (failureDomain: string, now: number) => Evacuation | undefined;
    /** Calls the functions that were passed to {@link Evacuations.onChange}. */
    notifyChange: () => void;
}

/** The evacuations of a site whose operators have evacuated nothing. */
export const noEvacuations: Evacuations = {
    isEvacuated: () => false,
    find: () => undefined,
    list: () => [],
    endedAt: () => undefined,
    onChange: () => ({ cancel: () => undefined }),
};

/**
 * Creates a record without evacuations.
 *
 * @returns the record
 */
export const createEvacuations = (): EvacuationRecord => {
    const evacuations = new Map<string, Evacuation>();
    const ends = new Map<string, number>();
    const callbacks = new Set<() => void>();
    const notifyChange = (): void => [...callbacks].forEach(callback => callback());
    return {
        isEvacuated: failureDomain => evacuations.has(failureDomain),
        find: failureDomain => evacuations.get(failureDomain),
        list: () => [...evacuations.values()],
        endedAt: failureDomain => ends.get(failureDomain),
        onChange: callback => {
            // Wrapped, so that a function that is passed twice is called twice.
            const subscriber = (): void => callback();
            callbacks.add(subscriber);
            return { cancel: () => void callbacks.delete(subscriber) };
        },
        begin: evacuation => {
            const { failureDomain } = evacuation;
            if (evacuations.has(failureDomain)) {
                return false;
            }
            evacuations.set(failureDomain, evacuation);
            ends.delete(failureDomain);
            notifyChange();
            return true;
        },
        end: (failureDomain, now) => {
            const ended = evacuations.get(failureDomain);
            if (evacuations.delete(failureDomain)) {
                ends.set(failureDomain, now);
                notifyChange();
            }
            return ended;
        },
        notifyChange,
    };
};
