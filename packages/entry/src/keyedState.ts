/** The newest record of each key of a topic, so that records that change nothing are neither handled nor passed on. */
import type * as platform from "@mulberryseam/platform";

/** What is known of a topic's keys. */
export interface KeyedState {
    /** Takes records that follow what is known; returns those that change something. */
    apply: (records: readonly platform.StoredRecord[]) => platform.StoredRecord[];
    /** Takes every key of the topic; returns what differs, with keys that are gone as records without a value. */
    replace: (records: readonly platform.StoredRecord[], end: number) => platform.StoredRecord[];
}

/**
 * Creates a state without keys.
 *
 * @param fingerprintOf - gives the same text for values that mean the same
 * @returns the state
 */
export const createKeyedState = (fingerprintOf: (key: string, value: Buffer) => string): KeyedState => {
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
            const present = new Set(records.filter(record => record.value !== undefined).map(record => record.key));
            const gone = [...fingerprints.keys()].filter(key => !present.has(key));
            const removals = gone.map(key => ({ key, value: undefined, offset: end - 1 }));
            return [...removals, ...records].filter(isChange);
        },
    };
};
