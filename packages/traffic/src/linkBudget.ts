/** Limits the bytes transferred over a link between regions, with one token bucket per rank. */

/** The byte budget of one link. */
export interface LinkBudget {
    /** Whether a rank may start another transfer. */
    canTransfer: (rank: string, now: number) => boolean;
    /** Records bytes that a rank sent or received. */
    onBytes: (rank: string, bytes: number, now: number) => void;
    /** Returns the number of bytes recorded so far. */
    totalBytes: () => number;
}

interface Bucket {
    /** Bytes that may be transferred; negative after a transfer larger than the balance, until it is refilled. */
    availableBytes: number;
    refilledAt: number;
}

const bitsPerByte = 8;
const burstMilliseconds = 1000;
const millisecondsPerSecond = 1000;

/**
 * Creates the byte budget of a link.
 *
 * @param bitsPerSecond - rate of the link available to this instance
 * @param fractionOf - returns the fraction of that rate a rank may use, from 0 to 1
 * @returns a budget with full buckets
 */
export const createLinkBudget = (bitsPerSecond: number, fractionOf: (rank: string) => number): LinkBudget => {
    const buckets = new Map<string, Bucket>();
    let total = 0;

    const bytesPerMillisecondOf = (rank: string): number =>
        bitsPerSecond * fractionOf(rank) / bitsPerByte / millisecondsPerSecond;

    const refill = (rank: string, now: number): Bucket => {
        const bytesPerMillisecond = bytesPerMillisecondOf(rank);
        const maxAvailableBytes = bytesPerMillisecond * burstMilliseconds;
        const bucket = buckets.get(rank) ?? { availableBytes: maxAvailableBytes, refilledAt: now };
        bucket.availableBytes = Math.min(
            maxAvailableBytes,
            bucket.availableBytes + (now - bucket.refilledAt) * bytesPerMillisecond,
        );
        bucket.refilledAt = now;
        buckets.set(rank, bucket);
        return bucket;
    };

    return {
        canTransfer: (rank, now) => fractionOf(rank) > 0 && refill(rank, now).availableBytes > 0,
        onBytes: (rank, bytes, now) => {
            refill(rank, now).availableBytes -= bytes;
            total += bytes;
        },
        totalBytes: () => total,
    };
};
