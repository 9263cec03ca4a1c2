/**
 * Bounds the bytes of requests that an instance has outstanding at one upstream, which crashes when the requests that it holds exceed its
 * memory. The memory is not known; the bound is divided among the instances that send to the upstream.
 */

/** Bytes of requests of an instance at one upstream; times in milliseconds. */
export interface UpstreamMemory {
    /** Whether a further request may be sent. */
    hasRoom: (bytes: number, load: UpstreamLoad, now: number) => boolean;
    onSent: (bytes: number) => void;
    onEnd: (bytes: number) => void;
    /** Counts the bytes of a request without a response until the deadline that it was sent with, as it may still be held there. */
    occupyUntil: (bytes: number, until: number) => void;
    /** Records that a connection was lost. Returns whether the bound is reduced, as the upstream may have crashed of its requests. */
    onBroken: (now: number) => boolean;
    outstandingBytes: (now: number) => number;
}

/** What is known of the load of an upstream. */
export interface UpstreamLoad {
    /** Requests that it can hold. */
    capacity: number;
    /** Estimated requests of other instances there. */
    otherRequests: number;
    /** Whether that estimate rests on a recent report. */
    isReportRecent: boolean;
}

/** Mean size of an upload, in bytes: an upstream is taken to have memory for as many as it can hold requests. */
const meanUploadBytes = 60 * 1024;
/** Size of the largest upload, in bytes, which is assumed of a body without a known length. */
export const largestUploadBytes = 360 * 1024;
/** Size up to which a request is neither counted nor limited, in bytes. */
const smallRequestBytes = 8 * 1024;
/** Uploads of mean size that an instance may have at an upstream that reports room, beyond its share. */
const uploadsWithRoom = 2;
/** Requests that an upstream holds for each slot, if that has not been learned: 6 slots and 24 places. */
const assumedRequestsPerSlot = 5;
const reductionFactor = 0.5;
const minFactor = 0.125;
/** Time in which a reduced bound doubles, in milliseconds. */
const recoveryMilliseconds = 30_000;
/** Shortest time between two reductions, in milliseconds: one crash breaks many connections. */
const minReductionMilliseconds = 1000;

/**
 * Returns the capacity that is assumed of an upstream before it has been learned.
 *
 * @param slots - requests that the upstream serves at the same time
 * @returns the number of requests
 */
export const assumedCapacity = (slots: number): number => slots * assumedRequestsPerSlot;

/**
 * Creates the record of an upstream without requests.
 *
 * @param sharerCount - returns the number of instances that send requests to the upstream
 * @returns the record
 */
export const createUpstreamMemory = (sharerCount: () => number): UpstreamMemory => {
    let sentBytes = 0;
    let occupying: { bytes: number; until: number; }[] = [];
    let reducedFactor = 1;
    let reducedAt = -Infinity;

    const countedBytes = (bytes: number): number => bytes > smallRequestBytes ? bytes : 0;
    const factor = (now: number): number =>
        reducedFactor === 1 ? 1 : Math.min(1, reducedFactor * 2 ** ((now - reducedAt) / recoveryMilliseconds));
    const outstandingBytes = (now: number): number => {
        occupying = occupying.filter(({ until }) => until > now);
        return occupying.reduce((sum, { bytes }) => sum + bytes, sentBytes);
    };
    return {
        hasRoom: (bytes, { capacity, otherRequests, isReportRecent }, now) => {
            const outstanding = outstandingBytes(now);
            if (bytes <= smallRequestBytes || outstanding === 0) {
                return true;
            }
            const totalBytes = capacity * meanUploadBytes * factor(now);
            const share = totalBytes / Math.max(1, sharerCount());
            const freeBytes = isReportRecent ? totalBytes - otherRequests * meanUploadBytes : 0;
            const limit = Math.max(share, Math.min(freeBytes, uploadsWithRoom * meanUploadBytes * factor(now)));
            return outstanding + bytes <= limit;
        },
        onSent: bytes => {
            sentBytes += countedBytes(bytes);
        },
        onEnd: bytes => {
            sentBytes = Math.max(0, sentBytes - countedBytes(bytes));
        },
        occupyUntil: (bytes, until) => {
            if (countedBytes(bytes) > 0) {
                occupying.push({ bytes, until });
            }
        },
        onBroken: now => {
            if (outstandingBytes(now) === 0 || now - reducedAt < minReductionMilliseconds) {
                return false;
            }
            reducedFactor = Math.max(minFactor, factor(now) * reductionFactor);
            reducedAt = now;
            return true;
        },
        outstandingBytes,
    };
};
