/**
 * Limits the requests that an instance has at an upstream which other instances share. None of them knows the whole queue, so each
 * one adapts its share of it to the queue that the upstream reports: the owner of a hot key then has a queue that it serves in
 * time, instead of requests that it refuses.
 */
import type * as upstreamHealth from "./upstreamHealth";

/** What an upstream can serve in time. */
export interface QueueLimit {
    /** Requests of all instances that may run or wait at the upstream. */
    requests: number;
    serviceMilliseconds: number;
    /**
     * Whether the upstream never responds to requests beyond its capacity, so that a share must not grow ahead of the reports; false by
     * default.
     */
    isSilentWhenFull?: boolean;
}

/**
 * Lowers a limit to the requests that an upstream holds.
 *
 * @param limit - what the upstream can serve in time
 * @param capacity - the requests that it holds; undefined if that is not limited
 * @returns the lower one of both
 */
export const limitToCapacity = (limit: QueueLimit, capacity: number | undefined): QueueLimit =>
    capacity === undefined
        ? limit
        : { ...limit, requests: Math.min(limit.requests, capacity), isSilentWhenFull: true };

/** Concurrency window of one instance at one upstream. */
export interface ConcurrencyWindow {
    /** Whether the instance may send another request beside those that it has at the upstream. */
    hasRoom: (outstandingCount: number, limit: QueueLimit, now: number) => boolean;
    onSent: (now: number) => void;
    /**
     * Returns after which time a refused caller should retry, in milliseconds. Each call returns a later time than the one before, as far
     * apart as the instance's requests end, so that callers return when there is room for them.
     */
    bookRetry: (limit: QueueLimit, now: number) => number;
    /** Adapts the share to the requests of all instances that the upstream reports. */
    onReport: (report: upstreamHealth.LoadReport, limit: QueueLimit, now: number) => void;
    /** Reduces the share after a request for which the upstream had no room, if it has not reported its queue. */
    onNoRoom: (limit: QueueLimit, now: number) => void;
}

/** Initial share of an instance, as a multiple of an equal one: not all of them have requests at the same time. */
const initialShareFactor = 1.5;
const minShare = 0.002;
/** By how much the share grows with a response of an upstream that has room, and with one of an upstream without a queue. */
const shareStep = 0.02;
const idleShareStep = 0.25;
/**
 * Ratio of the queue of a limit that can be used while an instance has hardly any share: with many senders, each one learns of the
 * queue late.
 */
const minQueueRatio = 0.4;
/** Ratio of the limit up to which an upstream has room. */
const roomRatio = 0.9;
/** Lower bound of the factor by which one report reduces the share. */
const minReductionFactor = 0.5;
/** Longest time for which retries are booked ahead, in service times: the load will be another one by then. */
const maxBookedServiceTimes = 10;
/** Age up to which a report of an upstream that is silent when it is full is recent, in service times: many instances get few each. */
const maxReportServiceTimes = 60;
/** Time in which a share without reports returns most of the way to the initial one, in service times. */
const recoveryServiceTimes = 8;

/**
 * Creates a window.
 *
 * @param slots - requests that the upstream serves at the same time
 * @param sharerCount - returns the number of instances that send requests to the upstream
 * @returns the window
 */
export const createConcurrencyWindow = (slots: number, sharerCount: () => number): ConcurrencyWindow => {
    let share: number | undefined;
    let updatedAt = 0;
    let lastSentAt = -Infinity;
    let lastReducedAt = -Infinity;
    let bookedUntil = -Infinity;
    let lastReportAt = -Infinity;

    /** Whether shares follow the reports of an upstream that is silent when it is full. Without recent ones they would stay small. */
    const isCautious = (limit: QueueLimit, now: number): boolean =>
        limit.isSilentWhenFull === true && now - lastReportAt < limit.serviceMilliseconds * maxReportServiceTimes;
    /** Returns the share that is taken without reports: enough for the slots or, if caution is needed, for one request. */
    const initialShare = (limit: QueueLimit, now: number): number => {
        const minShareOfSlots = slots / limit.requests;
        const minShareOfOne = 1 / (slots + Math.max(0, limit.requests - slots) * minQueueRatio);
        const lowest = isCautious(limit, now) ? minShareOfOne : minShareOfSlots;
        return Math.min(1, Math.max(lowest, initialShareFactor / Math.max(1, sharerCount())));
    };
    const currentShare = (limit: QueueLimit, now: number): number => {
        const initial = initialShare(limit, now);
        if (share === undefined || (share >= initial && !isCautious(limit, now))) {
            return share ?? initial;
        }
        const weight = Math.exp((updatedAt - now) / (limit.serviceMilliseconds * recoveryServiceTimes));
        return share * weight + initial * (1 - weight);
    };
    /** Returns how many requests of all instances the upstream may have. */
    const requestLimit = (limit: QueueLimit, now: number): number => {
        const queueRatio = minQueueRatio + (1 - minQueueRatio) * currentShare(limit, now);
        return slots + Math.max(0, limit.requests - slots) * queueRatio;
    };
    const setShare = (value: number, now: number): void => {
        share = Math.min(1, Math.max(minShare, value));
        updatedAt = now;
    };
    return {
        hasRoom: (outstandingCount, limit, now) => {
            const window = currentShare(limit, now) * requestLimit(limit, now);
            if (window >= 1) {
                return outstandingCount + 1 <= window;
            }
            // Less than one request at a time: there are pauses between them.
            return outstandingCount === 0 && now - lastSentAt >= limit.serviceMilliseconds / window;
        },
        onSent: now => {
            lastSentAt = now;
        },
        bookRetry: (limit, now) => {
            const { serviceMilliseconds } = limit;
            const window = currentShare(limit, now) * requestLimit(limit, now);
            const latest = now + serviceMilliseconds * maxBookedServiceTimes;
            bookedUntil = Math.min(latest, Math.max(now, bookedUntil) + serviceMilliseconds / window);
            return bookedUntil - now;
        },
        onReport: (report, limit, now) => {
            const total = report.running + report.waiting;
            lastReportAt = now;
            const previous = currentShare(limit, now);
            const maxTotal = requestLimit(limit, now);
            if (total > maxTotal) {
                setShare(previous * Math.max(minReductionFactor, maxTotal / total), now);
            }
            else if (report.waiting === 0) {
                // Many instances may see an upstream idle at the same time.
                const step = isCautious(limit, now) ? 1 / limit.requests : idleShareStep;
                setShare(previous + step, now);
            }
            else if (total < maxTotal * roomRatio) {
                setShare(previous + shareStep, now);
            }
        },
        onNoRoom: (limit, now) => {
            if (now - lastReducedAt >= limit.serviceMilliseconds) {
                lastReducedAt = now;
                setShare(currentShare(limit, now) * minReductionFactor, now);
            }
        },
    };
};
