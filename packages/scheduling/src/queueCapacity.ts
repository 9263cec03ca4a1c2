/**
 * Learns how many requests an upstream of a service holds: its slots and its queue. A full upstream of some services neither refuses nor
 * runs a further request, and never responds to it.
 */
import type * as upstreamHealth from "./upstreamHealth";

/** What is known of the capacity of the upstreams of one service; times in milliseconds. */
export interface QueueCapacity {
    /** Records the load that an upstream reports: it holds that many requests. */
    onReport: (report: upstreamHealth.LoadReport) => void;
    /** Records that an upstream without room has refused a request explicitly: the service needs no limit. */
    onRefusal: (report: upstreamHealth.LoadReport) => void;
    /**
     * Records that an upstream was silent.
     *
     * @returns whether the silence is taken as evidence of a full queue
     */
    onSilence: (evidence: SilenceEvidence, now: number) => boolean;
    /** Returns how many requests of all instances may be at an upstream; undefined if that is not limited. */
    limit: (slots: number, now: number) => number | undefined;
    /** Returns the most requests that an upstream is known to hold, for the metrics; undefined before any evidence. */
    known: (slots: number, now: number) => number | undefined;
}

/** What was known of an upstream when a request was sent to it that it has not responded to. */
export interface SilenceEvidence {
    slots: number;
    /** Estimated requests of all instances at the upstream, without the silent one. */
    queueLength: number;
}

/** Time without silence after which the limit rises by one, in milliseconds: an estimate at the time of a silence may be too low. */
const growthMilliseconds = 10_000;
/** Longest such time, in milliseconds. It doubles each time that a raised limit has led to silence again. */
const maxGrowthMilliseconds = 600_000;
/**
 * Weight of a silence with fewer requests than were reported before, by which the latter are forgotten: a new version of the upstream may
 * hold fewer. Low, as requests in the tail of service times are also taken for silent.
 */
const forgettingWeight = 0.1;

/** Returns the queue that a load report shows. */
const queueOf = ({ running, waiting, slots }: upstreamHealth.LoadReport): number =>
    Math.max(0, running + waiting - slots);

/**
 * Creates the record of a service about which nothing is known; it limits nothing.
 *
 * @returns the record
 */
export const createQueueCapacity = (): QueueCapacity => {
    /** Longest queue in a load report. */
    let reportedQueue: number | undefined;
    /** Shortest queue with which an upstream has refused a request. */
    let refusedQueue: number | undefined;
    /** Queue up to which requests are sent, at the time of the newest evidence. */
    let limitedQueue: number | undefined;
    let limitedAt = 0;
    let currentGrowthMilliseconds = growthMilliseconds;

    const growthSince = (now: number): number => Math.floor((now - limitedAt) / currentGrowthMilliseconds);
    const currentQueue = (now: number): number | undefined =>
        limitedQueue === undefined ? undefined : Math.max(limitedQueue + growthSince(now), reportedQueue ?? 0);
    return {
        onReport: report => {
            const queue = queueOf(report);
            if (Number.isFinite(queue)) {
                reportedQueue = Math.max(reportedQueue ?? 0, queue);
            }
        },
        onRefusal: report => {
            const queue = queueOf(report);
            if (Number.isFinite(queue)) {
                refusedQueue = Math.min(refusedQueue ?? Infinity, queue);
                limitedQueue = undefined;
            }
        },
        onSilence: ({ slots, queueLength }, now) => {
            // With a free slot, the upstream is slow or broken rather than full.
            if (refusedQueue !== undefined || !(queueLength >= slots)) {
                return false;
            }
            const queue = queueLength - slots;
            const previous = currentQueue(now) ?? Infinity;
            if (reportedQueue !== undefined && queue < reportedQueue) {
                reportedQueue -= (reportedQueue - queue) * forgettingWeight;
            }
            if (limitedQueue !== undefined && growthSince(now) > 0) {
                currentGrowthMilliseconds = Math.min(maxGrowthMilliseconds, currentGrowthMilliseconds * 2);
            }
            limitedQueue = Math.min(previous, Math.max(queue, reportedQueue ?? 0));
            limitedAt = now;
            return true;
        },
        limit: (slots, now) => {
            const queue = currentQueue(now);
            return queue === undefined ? undefined : slots + Math.floor(queue);
        },
        known: (slots, now) => {
            const queue = refusedQueue ?? currentQueue(now) ?? reportedQueue;
            return queue === undefined ? undefined : slots + Math.floor(queue);
        },
    };
};
