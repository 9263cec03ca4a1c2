/** Round-trip times from an instance to its upstreams: one for each failure domain of its region, and one for each other region. */
import type * as upstreamPool from "./upstreamPool";

/** Round-trip times to upstreams. */
export interface RoundTrips {
    /** Returns the round-trip time to an upstream, in milliseconds. */
    milliseconds: (target: upstreamPool.PooledUpstream) => number;
    /** Updates the round-trip time from the time that a new connection took, in milliseconds. */
    onConnected: (target: upstreamPool.PooledUpstream, milliseconds: number) => void;
}

/** Round-trip times to another region and within a region assumed before the first connection, in milliseconds. */
const assumedCrossRegionRoundTripMilliseconds = 60;
const assumedIntraRegionRoundTripMilliseconds = 2;
const roundTripSmoothing = 0.2;

/**
 * Creates round-trip times that are not measured yet.
 *
 * @param ownRegion - region of the instance
 * @returns the round-trip times
 */
export const createRoundTrips = (ownRegion: string): RoundTrips => {
    const roundTrips = new Map<string, number>();
    const roundTripKey = (target: upstreamPool.PooledUpstream): string =>
        target.region === ownRegion ? `domain ${target.upstream.failureDomain}` : `region ${target.region}`;
    return {
        milliseconds: target =>
            roundTrips.get(roundTripKey(target))
                ?? (target.region === ownRegion
                    ? assumedIntraRegionRoundTripMilliseconds
                    : assumedCrossRegionRoundTripMilliseconds),
        onConnected: (target, milliseconds) => {
            const key = roundTripKey(target);
            const previous = roundTrips.get(key) ?? milliseconds;
            // A busy upstream accepts connections late, so a long connection time does not measure the round trip.
            const sample = Math.min(milliseconds, previous * 2);
            roundTrips.set(key, previous + (sample - previous) * roundTripSmoothing);
        },
    };
};
