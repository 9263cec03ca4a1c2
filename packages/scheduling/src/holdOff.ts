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

interface HoldOff {
    startedAt: number;
    endsAt: number;
}

/**
 * Creates the hold-offs of an instance.
 *
 * @returns the hold-offs; every upstream takes requests
 */
export const createHoldOffs = (): HoldOffs => {
    /** Hold-offs of the newest incarnations, by identifier. */
    const holdOffs = new Map<string, HoldOff>();
    return {
        onRefusal: ({ identifier, startedAt }, milliseconds, now) => {
            const known = holdOffs.get(identifier);
            const isOutdated = known !== undefined && known.startedAt > startedAt;
            const knownEndsAt = known?.startedAt === startedAt ? known.endsAt : -Infinity;
            const endsAt = now + milliseconds;
            const isLonger = !isOutdated && endsAt > Math.max(now, knownEndsAt);
            if (isLonger) {
                holdOffs.set(identifier, { startedAt, endsAt });
            }
            return isLonger;
        },
        remainingMilliseconds: ({ identifier, startedAt }, now) => {
            const known = holdOffs.get(identifier);
            return known?.startedAt === startedAt ? Math.max(0, known.endsAt - now) : 0;
        },
        prune: now => {
            for (const [identifier, { endsAt }] of holdOffs) {
                if (endsAt <= now) {
                    holdOffs.delete(identifier);
                }
            }
        },
    };
};
