/**
 * Limits retries to a ratio of a service's requests in every sliding window. The budget of the site is split among its
 * instances without coordination: each instance counts its own requests.
 */

/** Retry budget of one service at one instance. */
export interface RetryBudget {
    onRequest: (now: number) => void;
    /** Whether a retry is left. */
    canAcquire: (now: number) => boolean;
    /** Consumes one retry; returns false if none is left. */
    tryAcquire: (now: number) => boolean;
}

/** Configures the retry budget of a site. */
export interface RetryBudgetOptions {
    windowMilliseconds: number;
    /** Retries per request. */
    ratio: () => number;
    /** Retries beyond the ratio in each window, for all instances together. */
    slack: () => number;
    /** Returns the number of instances that share the slack. */
    instanceCount: () => number;
}

const bucketsPerWindow = 20;
/** Ratio of the budget that is used, since the windows of the instances are not aligned. */
const usedRatio = 0.85;

/**
 * Creates an unused retry budget.
 *
 * @param options - the budget of the site
 * @returns the instance's portion of the budget
 */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
    const bucketMilliseconds = options.windowMilliseconds / bucketsPerWindow;
    const requests = new Array<number>(bucketsPerWindow).fill(0);
    const retries = new Array<number>(bucketsPerWindow).fill(0);
    let newestBucket = 0;
    const advance = (now: number): number => {
        const bucket = Math.floor(now / bucketMilliseconds);
        for (let step = Math.max(newestBucket + 1, bucket - bucketsPerWindow + 1); step <= bucket; step += 1) {
            requests[step % bucketsPerWindow] = 0;
            retries[step % bucketsPerWindow] = 0;
        }
        newestBucket = Math.max(newestBucket, bucket);
        return newestBucket % bucketsPerWindow;
    };
    const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);
    const canAcquire = (now: number): boolean => {
        advance(now);
        const allowed = usedRatio * (options.ratio() * sum(requests) + options.slack() / options.instanceCount());
        return sum(retries) + 1 <= allowed;
    };
    return {
        onRequest: now => {
            requests[advance(now)] += 1;
        },
        canAcquire,
        tryAcquire: now => {
            if (!canAcquire(now)) {
                return false;
            }
            retries[advance(now)] += 1;
            return true;
        },
    };
};
