/**
 * Decides which requests an instance delegates to another instance of its failure domain. On a site with many instances, each one
 * has so few requests for an upstream that it hardly reuses a connection and does not know the upstream's queue. One instance
 * of the failure domain then sends the requests of all of them.
 */
import * as foundation from "@mulberryseam/foundation";

/** Input of {@link shouldDelegate}. */
export interface DelegationInput {
    /** Rate at which this instance gets requests for a service. */
    requestsPerSecond: number;
    /** Number of upstreams that the requests spread over. */
    upstreamCount: number;
    /** Number of instances in the failure domain that accept requests of each other, including this one. */
    delegateCount: number;
}

/**
 * Requests a second to one upstream from which an instance sends them itself. With fewer, most connections have been closed by the time of
 * the next request; a delegated request takes the processor time of two instances.
 */
const minDirectRequestsPerSecond = 0.05;

/**
 * Whether an instance delegates its requests for a service.
 *
 * @param input - rate of the requests, and over how many upstreams and instances they spread
 * @returns whether to delegate them
 */
export const shouldDelegate = ({ requestsPerSecond, upstreamCount, delegateCount }: DelegationInput): boolean =>
    delegateCount > 1 && requestsPerSecond < minDirectRequestsPerSecond * upstreamCount;

/**
 * Ranks the instances of a failure domain for an upstream, equally at each of them as long as they know the same ones.
 *
 * @param upstream - identifier of the upstream
 * @param delegates - identifiers of the instances
 * @returns the identifiers, most preferred first
 */
export const rankDelegates = (upstream: string, delegates: readonly string[]): string[] =>
    foundation.rendezvousOrder(upstream, delegates);

/** Rate of requests, averaged over a few seconds. */
export interface RequestRate {
    onRequest: (now: number) => void;
    perSecond: (now: number) => number;
}

/** Time in which the weight of a request decays to 1/e, in milliseconds. */
const rateTimeConstantMilliseconds = 4000;

/**
 * Creates a rate without requests.
 *
 * @returns the rate
 */
export const createRequestRate = (): RequestRate => {
    let weight = 0;
    let updatedAt = 0;
    const decayedWeight = (now: number): number => weight * Math.exp((updatedAt - now) / rateTimeConstantMilliseconds);
    return {
        onRequest: now => {
            weight = decayedWeight(now) + 1;
            updatedAt = now;
        },
        perSecond: now => decayedWeight(now) * 1000 / rateTimeConstantMilliseconds,
    };
};
