/** How much load upstreams can carry, according to their measured service times. */
import type * as balance from "./balance";
import type * as keyRange from "./keyRange";

/** An upstream with its measured service time. */
export interface MeasuredUpstream {
    owner: keyRange.Owner;
    /** Requests that it serves at the same time. */
    slots: number;
    /** Service time in milliseconds; undefined before the first measurement. */
    serviceMilliseconds: number | undefined;
    /** Requests a second that it tolerates however fast it is, as while it is cold; undefined without such a limit. */
    maxRequestsPerSecond?: number;
}

/**
 * Lowest service time that is believed, as a ratio of the median of the service. A few requests without work can make an
 * upstream look many times faster than it is, and all hot keys would move to it.
 */
const minServiceTimeRatio = 0.4;

/**
 * Estimates how many requests each upstream can serve.
 *
 * @param upstreams - the upstreams of a service
 * @param seconds - period in which the requests arrive
 * @param defaultServiceMilliseconds - service time if none was measured
 * @returns each upstream's capacity in requests
 */
export const estimateCapacities = (
    upstreams: readonly MeasuredUpstream[],
    seconds: number,
    defaultServiceMilliseconds: number,
): balance.Candidate[] => {
    const measured = upstreams.flatMap(({ serviceMilliseconds }) => serviceMilliseconds ?? [])
        .sort((left, right) => left - right);
    const median = measured[Math.floor(measured.length / 2)] ?? defaultServiceMilliseconds;
    return upstreams.map(({ owner, slots, serviceMilliseconds, maxRequestsPerSecond = Infinity }) => {
        const believed = Math.max(serviceMilliseconds ?? median, median * minServiceTimeRatio);
        return { owner, capacity: Math.min(slots * 1000 / believed, maxRequestsPerSecond) * seconds };
    });
};
