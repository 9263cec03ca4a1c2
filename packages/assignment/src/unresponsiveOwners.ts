/** Tracks owners that do not respond to grants. */
import * as keyRange from "./keyRange";

/** Owners that do not respond to grants. */
export interface UnresponsiveOwners {
    onUnanswered: (owner: keyRange.Owner, now: number) => void;
    onResponse: (owner: keyRange.Owner) => void;
    isUnresponsive: (owner: keyRange.Owner) => boolean;
    /** Returns when the first unanswered grant of an unresponsive owner failed; undefined for a responsive owner. */
    unresponsiveSince: (owner: keyRange.Owner, now: number) => number | undefined;
}

/**
 * Time since the last unanswered grant, in milliseconds, after which an owner counts as responsive again. An
 * unresponsive owner without keys is sent no grants to which it could respond.
 */
const retentionMilliseconds = 4000;

/** Consecutive unanswered grants from which an owner is unresponsive; fewer may have been lost in transit. */
const minUnansweredGrants = 3;

/** Consecutive unanswered grants of one owner. */
interface UnansweredGrants {
    since: number;
    lastAt: number;
    count: number;
}

/**
 * Creates a tracker of unresponsive owners.
 *
 * @returns a tracker in which every owner is responsive
 */
export const createUnresponsiveOwners = (): UnresponsiveOwners => {
    const unansweredByOwner = new Map<string, UnansweredGrants>();
    return {
        onUnanswered: (owner, now) => {
            const name = keyRange.ownerName(owner);
            const existing = unansweredByOwner.get(name);
            unansweredByOwner.set(name, {
                since: existing?.since ?? now,
                lastAt: now,
                count: (existing?.count ?? 0) + 1,
            });
        },
        onResponse: owner => unansweredByOwner.delete(keyRange.ownerName(owner)),
        isUnresponsive: owner => (unansweredByOwner.get(keyRange.ownerName(owner))?.count ?? 0) >= minUnansweredGrants,
        unresponsiveSince: (owner, now) => {
            const name = keyRange.ownerName(owner);
            const unanswered = unansweredByOwner.get(name);
            if (unanswered !== undefined && now - unanswered.lastAt > retentionMilliseconds) {
                unansweredByOwner.delete(name);
                return undefined;
            }
            return unanswered !== undefined && unanswered.count >= minUnansweredGrants ? unanswered.since : undefined;
        },
    };
};
