/** Decides what remains of the known state of a topic when the store has returned from an older copy. */
import type * as platform from "@mulberryseam/platform";

/**
 * Compares the ages of two records of a key: a positive number if the candidate was written later, a negative one if it was written earlier,
 * and undefined if the records do not tell.
 */
export type AgeComparison = (key: string, known: Buffer, candidate: Buffer) => number | undefined;

/** The known state of a topic and the content of the copy. */
export interface ReturnedTopic {
    /** The newest known record of each key. */
    known: ReadonlyMap<string, platform.StoredRecord>;
    /** The last records of keys that were deleted a short time ago. */
    deleted: ReadonlyMap<string, platform.StoredRecord>;
    copy: readonly platform.StoredRecord[];
    /** Position after the last record of the copy. */
    end: platform.Position;
    compareAges: AgeComparison;
}

/** What follows from a copy. */
export interface MergedTopic {
    /** Records to apply at once. */
    changes: platform.StoredRecord[];
    /** By key, records to apply if no other record of the key is written in time; a deletion for a key that the copy lacks. */
    awaited: Map<string, platform.StoredRecord>;
    /** Number of records of the copy that are older than what is known. */
    olderCount: number;
}

const Decision = { change: "change", await: "await", older: "older", same: "same" } as const;

const decide = (
    { known, deleted, compareAges }: ReturnedTopic,
    { key, value, offset }: platform.StoredRecord & { value: Buffer; },
): typeof Decision[keyof typeof Decision] => {
    const knownRecord = known.get(key);
    const previous = knownRecord ?? deleted.get(key);
    if (previous?.value === undefined) {
        return Decision.change;
    }
    if (knownRecord !== undefined && previous.value.equals(value)) {
        return Decision.same;
    }
    const order = compareAges(key, previous.value, value);
    if (order !== undefined && order !== 0) {
        return order > 0 ? Decision.change : Decision.older;
    }
    if (knownRecord === undefined) {
        return order === 0 ? Decision.older : Decision.await;
    }
    // A copy has no record behind a known one of its key but those that were written after it.
    return offset > previous.offset ? Decision.change : Decision.await;
};

/**
 * Merges a copy into the known state, so that nothing goes back that is newer than the copy.
 *
 * @param returned - the known state and the copy
 * @returns what to apply at once, and later
 */
export const mergeCopy = (returned: ReturnedTopic): MergedTopic => {
    const merged: MergedTopic = { changes: [], awaited: new Map(), olderCount: 0 };
    const keysOfCopy = new Set<string>();
    for (const record of returned.copy) {
        const { value } = record;
        if (value === undefined) {
            continue;
        }
        keysOfCopy.add(record.key);
        const decision = decide(returned, { ...record, value });
        if (decision === Decision.change) {
            merged.changes.push(record);
        }
        else if (decision === Decision.await) {
            merged.awaited.set(record.key, record);
        }
        merged.olderCount += decision === Decision.older ? 1 : 0;
    }
    for (const key of returned.known.keys()) {
        if (!keysOfCopy.has(key)) {
            merged.awaited.set(key, { key, value: undefined, offset: returned.end.offset - 1 });
        }
    }
    return merged;
};

/**
 * Whether a record that was written after a return is older than what is known: writers may write all their lost records again.
 *
 * @param returned - the known state
 * @param record - the record
 * @returns false if the record does not tell its age
 */
export const isOlder = (
    { known, deleted, compareAges }: Omit<ReturnedTopic, "copy" | "end">,
    { key, value }: platform.StoredRecord,
): boolean => {
    const previous = (known.get(key) ?? deleted.get(key))?.value;
    if (previous === undefined || value === undefined) {
        return false;
    }
    const order = compareAges(key, previous, value);
    return order !== undefined && (known.has(key) ? order < 0 : order <= 0);
};
