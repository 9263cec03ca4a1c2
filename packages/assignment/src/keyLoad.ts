/** Request load of each key, with exponential decay. */
import * as keyRange from "./keyRange";

/** Load of the keys of one service, in weighted requests. */
export interface KeyLoad {
    /** Adds the weight of sampled requests to the load of a key. */
    add: (key: number, weight: number) => void;
    /** Decays the load by the time since the last call, in milliseconds. */
    decay: (elapsedMilliseconds: number) => void;
    /** Effective length of the averaging window in seconds: load divided by it is requests per second. */
    windowSeconds: () => number;
    /** Sums of the loads of all keys below each key; the last entry, at index `keyCount`, is the total. */
    prefixSums: () => Float64Array;
}

/**
 * Time in which the load decays to 1/e, in milliseconds: a few planning intervals, so that random variation does not
 * move keys.
 */
const timeConstantMilliseconds = 2500;

/**
 * Creates a key load without any requests.
 *
 * @returns the key load
 */
export const createKeyLoad = (): KeyLoad => {
    const loads = new Float32Array(keyRange.keyCount);
    let windowSeconds = 0;
    return {
        add: (key, weight) => {
            loads[key] += weight;
        },
        decay: elapsedMilliseconds => {
            const factor = Math.exp(-elapsedMilliseconds / timeConstantMilliseconds);
            for (let key = 0; key < loads.length; key += 1) {
                loads[key] *= factor;
            }
            windowSeconds = (windowSeconds + elapsedMilliseconds / 1000) * factor;
        },
        windowSeconds: () => windowSeconds,
        prefixSums: () => {
            const sums = new Float64Array(keyRange.keyCount + 1);
            for (let key = 0; key < loads.length; key += 1) {
                sums[key + 1] = sums[key] + loads[key];
            }
            return sums;
        },
    };
};
