/** How often each key is asked for, with a memory that fades. */
import * as keyRange from "./keyRange";

/** Load of the keys of one service, in weighted requests. */
export interface KeyLoad {
    add: (key: number, weight: number) => void;
    /** Lets the past fade; called with the time since the last call, in milliseconds. */
    fade: (elapsedMilliseconds: number) => void;
    /** Seconds of requests that the load stands for: a load of that many is one request a second. */
    seconds: () => number;
    /** Sum of the loads of all keys below each key; one entry more than there are keys. */
    prefixSums: () => Float64Array;
}

/** Time in which the load fades to a third (1/e), in milliseconds: a few plans, so that chance does not move keys. */
const memoryMilliseconds = 2500;

/**
 * Creates an empty memory.
 *
 * @returns load of no key
 */
export const createKeyLoad = (): KeyLoad => {
    const loads = new Float32Array(keyRange.keyCount);
    let seconds = 0;
    return {
        add: (key, weight) => {
            loads[key] += weight;
        },
        fade: elapsedMilliseconds => {
            const factor = Math.exp(-elapsedMilliseconds / memoryMilliseconds);
            for (let key = 0; key < loads.length; key += 1) {
                loads[key] *= factor;
            }
            seconds = (seconds + elapsedMilliseconds / 1000) * factor;
        },
        seconds: () => seconds,
        prefixSums: () => {
            const sums = new Float64Array(keyRange.keyCount + 1);
            for (let key = 0; key < loads.length; key += 1) {
                sums[key + 1] = sums[key] + loads[key];
            }
            return sums;
        },
    };
};
