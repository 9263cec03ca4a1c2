/** Meters bytes over a link between regions, with a rate for each rank, as token buckets. */

/** Meters one link. */
export interface LinkBudget {
    /** Tells whether a rank may begin another transfer. */
    mayUse: (rank: string, now: number) => boolean;
    /** Counts bytes that a rank sent or received. */
    onBytes: (rank: string, bytes: number, now: number) => void;
    /** Bytes counted so far. */
    totalBytes: () => number;
}

interface Bucket {
    /** Bytes that may be used; negative while a transfer is being paid off. */
    available: number;
    refilledAt: number;
}

const bitsPerByte = 8;
const burstMilliseconds = 1000;
const millisecondsPerSecond = 1000;

/**
 * Creates the budget of a link.
 *
 * @param bitsPerSecond - rate of this instance's part of the link
 * @param shareOf - share of that rate a rank may use
 * @returns a budget with nothing used
 */
export const createLinkBudget = (bitsPerSecond: number, shareOf: (rank: string) => number): LinkBudget => {
    const buckets = new Map<string, Bucket>();
    let total = 0;

    const bytesPerMillisecond = (rank: string): number =>
        bitsPerSecond * shareOf(rank) / bitsPerByte / millisecondsPerSecond;

    const refill = (rank: string, now: number): Bucket => {
        const rate = bytesPerMillisecond(rank);
        const highest = rate * burstMilliseconds;
        const bucket = buckets.get(rank) ?? { available: highest, refilledAt: now };
        bucket.available = Math.min(highest, bucket.available + (now - bucket.refilledAt) * rate);
        bucket.refilledAt = now;
        buckets.set(rank, bucket);
        return bucket;
    };

    return {
        mayUse: (rank, now) => shareOf(rank) > 0 && refill(rank, now).available > 0,
        onBytes: (rank, bytes, now) => {
            refill(rank, now).available -= bytes;
            total += bytes;
        },
        totalBytes: () => total,
    };
};
