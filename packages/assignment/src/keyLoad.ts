/** How often each key is asked for, with a memory that fades. */
import * as keyRange from "./keyRange";

/** Load of the keys of one service, in weighted requests. */
export interface KeyLoad {
    add: (key: number, weight: number) => void;
    /** Lets the past fade; called once an interval. */
    fade: () => void;
    /** Sum of the loads of all keys below each key; one entry more than there are keys. */
    prefixSums: () => Float64Array;
}

/** Part of the load that is left after an interval. */
const fadeFactor = 0.82;

/**
 * Creates an empty memory.
 *
 * @returns load of no key
 */
export const createKeyLoad = (): KeyLoad => {
    const loads = new Float32Array(keyRange.keyCount);
    return {
        add: (key, weight) => {
            loads[key] += weight;
        },
        fade: () => {
            for (let key = 0; key < loads.length; key += 1) {
                loads[key] *= fadeFactor;
            }
        },
        prefixSums: () => {
            const sums = new Float64Array(keyRange.keyCount + 1);
            for (let key = 0; key < loads.length; key += 1) {
                sums[key + 1] = sums[key] + loads[key];
            }
            return sums;
        },
    };
};
