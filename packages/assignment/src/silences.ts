/** Which owners do not answer their grants, and since when. */
import * as keyRange from "./keyRange";

/** Owners that do not answer. */
export interface Silences {
    onUnanswered: (owner: keyRange.Owner, now: number) => void;
    onAnswer: (owner: keyRange.Owner) => void;
    isSilent: (owner: keyRange.Owner) => boolean;
    /** Time of the first grant that a silent owner did not answer; undefined while it answers. */
    since: (owner: keyRange.Owner, now: number) => number | undefined;
}

/** Time after which an owner that is asked nothing any more gets another chance, in milliseconds. */
const memoryMilliseconds = 4000;

/** Grants in a row without an answer from which an owner is silent; fewer may be lost on the way. */
const silentGrants = 3;

interface Silence {
    since: number;
    lastAt: number;
    grants: number;
}

/**
 * Creates the record.
 *
 * @returns with every owner answering
 */
export const createSilences = (): Silences => {
    const silences = new Map<string, Silence>();
    return {
        onUnanswered: (owner, now) => {
            const name = keyRange.ownerName(owner);
            const known = silences.get(name);
            silences.set(name, { since: known?.since ?? now, lastAt: now, grants: (known?.grants ?? 0) + 1 });
        },
        onAnswer: owner => silences.delete(keyRange.ownerName(owner)),
        isSilent: owner => (silences.get(keyRange.ownerName(owner))?.grants ?? 0) >= silentGrants,
        since: (owner, now) => {
            const name = keyRange.ownerName(owner);
            const silence = silences.get(name);
            if (silence !== undefined && now - silence.lastAt > memoryMilliseconds) {
                silences.delete(name);
                return undefined;
            }
            return silence !== undefined && silence.grants >= silentGrants ? silence.since : undefined;
        },
    };
};
