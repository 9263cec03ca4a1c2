/**
 * Choice of an upstream: two at random, the one with less outstanding work, own region first. Bulk keeps to some of the
 * upstreams, and other work prefers the rest.
 */
import * as foundation from "@mulberryseam/foundation";

/** An upstream that could take a request. */
export interface Candidate {
    name: string;
    region: string;
    /** Requests of this instance that are out. */
    outstanding: number;
    /** Limit on those. */
    limit: number;
    /** Smoothed time to an answer in milliseconds. */
    latencyMilliseconds: number;
    isEjected: boolean;
    isDraining: boolean;
    /** Whether ranks with a largest share below one may use it. */
    takesBulk: boolean;
}

/** What a choice depends on besides the candidates. */
export interface ChoiceOptions {
    /** Region of the instance. */
    region: string;
    /** Whether the request may cross to another region. */
    mayCross: (region: string) => boolean;
    /** Upstreams already tried. */
    excluded: readonly string[];
    /** Whether the request is of a rank that may use only some upstreams. */
    isBulk: boolean;
    random: foundation.Random;
}

const expectedWork = (candidate: Candidate): number =>
    (candidate.outstanding + 1) * Math.max(candidate.latencyMilliseconds, 1);

const chooseOfTwo = (candidates: readonly Candidate[], random: foundation.Random): Candidate | undefined => {
    if (candidates.length < 2) {
        return candidates[0];
    }
    const first = random.below(candidates.length);
    const second = (first + 1 + random.below(candidates.length - 1)) % candidates.length;
    return expectedWork(candidates[first]) <= expectedWork(candidates[second]) ? candidates[first] : candidates[second];
};

/**
 * Chooses an upstream.
 *
 * @param candidates - every upstream of the pool
 * @param options - what the choice depends on
 * @returns the chosen one, or undefined when none can take the request now
 */
export const chooseUpstream = (candidates: readonly Candidate[], options: ChoiceOptions): Candidate | undefined => {
    const usable = candidates.filter(candidate =>
        !candidate.isDraining && !candidate.isEjected && candidate.outstanding < candidate.limit
        && !options.excluded.includes(candidate.name)
    );
    const suitable = options.isBulk ? usable.filter(candidate => candidate.takesBulk) : usable;
    const local = suitable.filter(candidate => candidate.region === options.region);
    const reachable = local.length > 0 ? local : suitable.filter(candidate => options.mayCross(candidate.region));
    const free = options.isBulk ? [] : reachable.filter(candidate => !candidate.takesBulk);
    return chooseOfTwo(free.length > 0 ? free : reachable, options.random);
};

/**
 * Chooses the upstreams that take bulk. Every instance chooses the same ones without a word to the others, so the rest
 * of the pool is free of bulk whatever the instances do.
 *
 * @param upstreams - names and regions of the pool
 * @param share - share of the pool, and of each region's part of it, that may take bulk
 * @returns names of the chosen ones, at least one a region
 */
export const chooseBulkUpstreams = (
    upstreams: readonly Pick<Candidate, "name" | "region">[],
    share: number,
): Set<string> => {
    const chosen = new Set<string>();
    for (const region of new Set(upstreams.map(upstream => upstream.region))) {
        const names = upstreams.filter(upstream => upstream.region === region).map(upstream => upstream.name);
        const count = Math.max(1, Math.floor(names.length * share));
        foundation.rendezvousOrder("bulk", names).slice(0, count).forEach(name => chosen.add(name));
    }
    return chosen;
};
