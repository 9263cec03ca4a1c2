/** Counts the requests that reach an emulated upstream while it is cold. */

/** The requests of cold periods. */
export interface ColdRequests {
    /** Starts or ends a cold period. */
    setCold: (isCold: boolean) => void;
    /** Counts a request; returns whether the upstream survives it. */
    onRequest: () => boolean;
    /** Returns the most requests within one second of a cold period. */
    maxInOneSecond: () => number;
}

/**
 * Creates the requests of an upstream that is warm.
 *
 * @param maxPerSecond - requests within one second of a cold period that the upstream survives
 * @returns the requests
 */
export const createColdRequests = (maxPerSecond: number): ColdRequests => {
    let isCold = false;
    let times: number[] = [];
    let maxInOneSecond = 0;
    return {
        setCold: newIsCold => {
            times = newIsCold === isCold ? times : [];
            isCold = newIsCold;
        },
        onRequest: () => {
            if (!isCold) {
                return true;
            }
            const now = performance.now();
            times = [...times.filter(time => time > now - 1000), now];
            maxInOneSecond = Math.max(maxInOneSecond, times.length);
            return times.length <= maxPerSecond;
        },
        maxInOneSecond: () => maxInOneSecond,
    };
};
