/** The upstreams that want no requests from this instance for a time, as they have said when they refused one. */
import type * as routing from "@mulberryseam/routing";

/** Holds off the requests to such upstreams; times in milliseconds. */
export interface HoldOffs {
    /** Records a refusal with the time for which its upstream wants no requests. Returns false if it held off longer already. */
    onRefusal: (incarnation: routing.Incarnation, milliseconds: number, now: number) => boolean;
    /** Returns the time until an upstream takes requests again; 0 if it does so now. */
    remainingMilliseconds: (incarnation: routing.Incarnation, now: number) => number;
    /** Forgets what is over. */
    prune: (now: number) => void;
}

const nameOf = ({ identifier, startedAt }: routing.Incarnation): string => `${identifier}@${startedAt}`;

/**
 * Creates the hold-offs of an instance.
 *
 * @returns the hold-offs; every upstream takes requests
 */
export const createHoldOffs = (): HoldOffs => {
    const endTimes = new Map<string, number>();
    return {
        onRefusal: (incarnation, milliseconds, now) => {
            const name = nameOf(incarnation);
            const endsAt = now + milliseconds;
            const isLonger = endsAt > Math.max(now, endTimes.get(name) ?? -Infinity);
            if (isLonger) {
                endTimes.set(name, endsAt);
            }
            return isLonger;
        },
        remainingMilliseconds: (incarnation, now) =>
            Math.max(0, (endTimes.get(nameOf(incarnation)) ?? -Infinity) - now),
        prune: now => {
            for (const [name, endsAt] of endTimes) {
                if (endsAt <= now) {
                    endTimes.delete(name);
                }
            }
        },
    };
};
