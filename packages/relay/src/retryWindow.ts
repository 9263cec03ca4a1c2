/**
 * Limits retries to a share of a service's requests in every sliding window, and splits a site's allowance among its
 * instances without a word between them: each counts its own requests.
 */

/** Allowance of one service. */
export interface RetryWindow {
    onRequest: (now: number) => void;
    /** Takes one retry; false when there is none left. */
    take: (now: number) => boolean;
}

/** The site's allowance. */
export interface RetryAllowance {
    windowMilliseconds: number;
    /** Retries per request. */
    ratio: number;
    /** Retries beyond the ratio, for all instances together. */
    slack: number;
    /** Instances that share the slack. */
    instances: () => number;
}

const bucketsPerWindow = 20;
/** Part of the allowance that is used, because other instances' windows do not begin together. */
const usedPart = 0.85;

/**
 * Creates an allowance that nothing has been taken from.
 *
 * @param allowance - the site's
 * @returns the instance's part
 */
export const createRetryWindow = (allowance: RetryAllowance): RetryWindow => {
    const bucketMilliseconds = allowance.windowMilliseconds / bucketsPerWindow;
    const requests = new Array<number>(bucketsPerWindow).fill(0);
    const retries = new Array<number>(bucketsPerWindow).fill(0);
    let newest = 0;
    const advance = (now: number): number => {
        const bucket = Math.floor(now / bucketMilliseconds);
        for (let step = Math.max(newest + 1, bucket - bucketsPerWindow + 1); step <= bucket; step += 1) {
            requests[step % bucketsPerWindow] = 0;
            retries[step % bucketsPerWindow] = 0;
        }
        newest = Math.max(newest, bucket);
        return newest % bucketsPerWindow;
    };
    const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);
    return {
        onRequest: now => {
            requests[advance(now)] += 1;
        },
        take: now => {
            const bucket = advance(now);
            const allowed = usedPart * (allowance.ratio * sum(requests) + allowance.slack / allowance.instances());
            if (sum(retries) + 1 > allowed) {
                return false;
            }
            retries[bucket] += 1;
            return true;
        },
    };
};
