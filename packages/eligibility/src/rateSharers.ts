/** Decides which instances share the rate that a cold upstream tolerates. */
import * as foundation from "@mulberryseam/foundation";

/** The instances that share the rate of one upstream. */
export interface RateSharers {
    /** Number of instances that share the rate; 0 if it is unknown. */
    count: number;
    /** Whether this instance is one of them. */
    isIncluded: boolean;
}

/** What an instance knows of the instances of its site. */
export interface SiteInstances {
    /** Identifier of this instance. */
    identifier: string;
    /** Number of instances; 0 if it is unknown. */
    instanceCount: number;
    /** Number of failure domains with instances. */
    failureDomainCount: number;
    /** Identifiers of the instances in the failure domain of this one, including this one. */
    neighbours: readonly string[];
}

/** Returns the instances that share the rate of an upstream, equal at all instances that know the same instances. */
export type RateSharerFinder = (upstream: string, maxSharers: number) => RateSharers;

/** Sharers of an upstream as long as the number of instances is unknown. */
const noSharers: RateSharers = { count: 0, isIncluded: false };

/**
 * Creates a function that finds the sharers of upstreams: all instances, or a few in each failure domain on a site with more instances
 * than may share a rate. Were all of a large site to share it, each one would send a request once in many seconds, and chance would
 * decide how many do so in the same second.
 *
 * @param instances - returns what is known of the instances; other neighbours are another array
 * @returns the function
 */
export const createRateSharerFinder = (instances: () => SiteInstances): RateSharerFinder => {
    let rankedNeighbours: readonly string[] = [];
    const ranks = new Map<string, number>();
    const rankOf = (upstream: string, { identifier, neighbours }: SiteInstances): number => {
        if (neighbours !== rankedNeighbours) {
            rankedNeighbours = neighbours;
            ranks.clear();
        }
        const rank = ranks.get(upstream) ?? foundation.rendezvousOrder(upstream, neighbours).indexOf(identifier);
        ranks.set(upstream, rank);
        return rank;
    };
    return (upstream, maxSharers) => {
        const known = instances();
        if (known.instanceCount === 0) {
            return noSharers;
        }
        if (known.instanceCount <= maxSharers) {
            return { count: known.instanceCount, isIncluded: true };
        }
        const failureDomainCount = Math.max(1, known.failureDomainCount);
        const perFailureDomain = Math.max(1, Math.floor(maxSharers / failureDomainCount));
        const rank = rankOf(upstream, known);
        return { count: perFailureDomain * failureDomainCount, isIncluded: rank >= 0 && rank < perFailureDomain };
    };
};
