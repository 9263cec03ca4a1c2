/** Choice of an upstream: two at random, the one with less outstanding work, own region first. */
import type { Random } from "@mulberryseam/foundation";

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
}

/** What a choice depends on besides the candidates. */
export interface ChoiceOptions {
    /** Region of the instance. */
    region: string;
    /** Whether the request may cross to another region. */
    mayCross: (region: string) => boolean;
    /** Upstreams already tried. */
    excluded: readonly string[];
    random: Random;
}

const expectedWork = (candidate: Candidate): number =>
    (candidate.outstanding + 1) * Math.max(candidate.latencyMilliseconds, 1);

const chooseOfTwo = (candidates: readonly Candidate[], random: Random): Candidate | undefined => {
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
    const local = usable.filter(candidate => candidate.region === options.region);
    if (local.length > 0) {
        return chooseOfTwo(local, options.random);
    }
    const remote = usable.filter(candidate => options.mayCross(candidate.region));
    return chooseOfTwo(remote, options.random);
};
