/**
 * Selects the less loaded of two random upstreams, preferring the instance's own region. Bulk requests use only some
 * upstreams, and other requests prefer the remaining ones.
 */
import * as foundation from "@mulberryseam/foundation";

/** An upstream that may be selected for a request. */
export interface Candidate {
    name: string;
    region: string;
    /** Number of outstanding requests of this instance. */
    outstanding: number;
    /** Maximum number of outstanding requests of this instance. */
    limit: number;
    /** Smoothed time to a response, in milliseconds. */
    latencyMilliseconds: number;
    isEjected: boolean;
    isDraining: boolean;
    /** Whether bulk ranks, those with a `maximumShare` below 1, may use it. */
    acceptsBulk: boolean;
}

/** Configures a selection. */
export interface SelectionOptions {
    /** Region of this instance. */
    region: string;
    /** Whether the request may be sent to another region. */
    canCrossTo: (region: string) => boolean;
    /** Names of the upstreams already tried. */
    excluded: readonly string[];
    /** Whether the request has a bulk rank, which may use only some upstreams. */
    isBulk: boolean;
    random: foundation.Random;
}

const expectedWork = (candidate: Candidate): number =>
    (candidate.outstanding + 1) * Math.max(candidate.latencyMilliseconds, 1);

const selectOfTwo = (candidates: readonly Candidate[], random: foundation.Random): Candidate | undefined => {
    if (candidates.length < 2) {
        return candidates[0];
    }
    const first = random.below(candidates.length);
    const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length;
    return expectedWork(candidates[first]) <= expectedWork(candidates[second]) ? candidates[first] : candidates[second];
};

/**
 * Selects an upstream for a request.
 *
 * @param candidates - every upstream of the pool
 * @param options - region of this instance, and rank, reachable regions and previous attempts of the request
 * @returns the selected upstream, or undefined when none can accept the request now
 */
export const selectUpstream = (candidates: readonly Candidate[], options: SelectionOptions): Candidate | undefined => {
    const available = candidates.filter(candidate =>
        !candidate.isDraining && !candidate.isEjected && candidate.outstanding < candidate.limit
        && !options.excluded.includes(candidate.name)
    );
    const eligible = options.isBulk ? available.filter(candidate => candidate.acceptsBulk) : available;
    const local = eligible.filter(candidate => candidate.region === options.region);
    const reachable = local.length > 0 ? local : eligible.filter(candidate => options.canCrossTo(candidate.region));
    const withoutBulk = options.isBulk ? [] : reachable.filter(candidate => !candidate.acceptsBulk);
    return selectOfTwo(withoutBulk.length > 0 ? withoutBulk : reachable, options.random);
};

/**
 * Selects the upstreams that accept bulk requests. Every instance selects the same ones without coordination, so the
 * rest of the pool never serves bulk requests.
 *
 * @param upstreams - names and regions of the pool
 * @param fraction - fraction of each region's upstreams that accept bulk requests, from 0 to 1
 * @returns the names of the selected upstreams, at least one per region
 */
export const selectBulkUpstreams = (
    upstreams: readonly Pick<Candidate, "name" | "region">[],
    fraction: number,
): Set<string> => {
    const selected = new Set<string>();
    for (const region of new Set(upstreams.map(upstream => upstream.region))) {
        const names = upstreams.filter(upstream => upstream.region === region).map(upstream => upstream.name);
        const count = Math.max(1, Math.floor(names.length * fraction));
        foundation.rendezvousOrder("bulk", names).slice(0, count).forEach(name => selected.add(name));
    }
    return selected;
};
