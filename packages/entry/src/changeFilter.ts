/** Filters out records that do not change the state of a topic, so that they are neither handled nor relayed. */
import type * as platform from "@mulberryseam/platform";

/** Compares records of a topic with the latest value of each key. */
export interface ChangeFilter {
    /** Applies the records that follow the current state; returns those that change it. */
    apply: (records: readonly platform.StoredRecord[]) => platform.StoredRecord[];
    /** Replaces the state by a snapshot; returns the changes, with removed keys as records without a value. */
    replace: (records: readonly platform.StoredRecord[], end: number) => platform.StoredRecord[];
}

/**
 * Creates a filter without keys.
 *
 * @param fingerprintOf - returns the same text for equivalent values
 * @returns the filter
 */
export const createChangeFilter = (fingerprintOf: (key: string, value: Buffer) => string): ChangeFilter => {
    const fingerprints = new Map<string, string>();
    const isChange = ({ key, value }: platform.StoredRecord): boolean => {
        if (value === undefined) {
            return fingerprints.delete(key);
        }
        const fingerprint = fingerprintOf(key, value);
        const isNew = fingerprints.get(key) !== fingerprint;
        fingerprints.set(key, fingerprint);
        return isNew;
    };
    return {
        apply: records => records.filter(isChange),
        replace: (records, end) => {
            const presentKeys = new Set(records.filter(record => record.value !== undefined).map(record => record.key));
            const removedKeys = [...fingerprints.keys()].filter(key => !presentKeys.has(key));
            const removals = removedKeys.map(key => ({ key, value: undefined, offset: end - 1 }));
            return [...removals, ...records].filter(isChange);
        },
    };
};
