/** Chooses the upstream with the lowest expected cost: response time, failures and traffic between regions. */

import type * as machineSlowness from "./machineSlowness";

/** An upstream that can serve a request. */
export interface Candidate {
    identifier: string;
    /** Requests that run or wait at the upstream. */
    queueLength: number;
    /** Age of the newest load report, in milliseconds; undefined before the first one. */
    reportAgeMilliseconds: number | undefined;
    slots: number;
    /** Service time of one request, in milliseconds, at the expected slowness of the machine. */
    serviceMilliseconds: number;
    /** Expected slowness of the machine; undefined if it is not known. */
    slowness?: machineSlowness.ExpectedSlowness;
    /** Whether the service time was measured; before the first response a default is assumed. */
    isMeasured: boolean;
    /** Network round-trip time, in milliseconds. */
    roundTripMilliseconds: number;
    /** Ratio of attempts that are refused or fail, from 0 to 1. */
    failureRatio: number;
    /** Cost of traffic and of a new connection, expressed as milliseconds of response time. */
    pathCostMilliseconds: number;
}

/** The chosen upstream with its estimates. */
export interface Choice {
    candidate: Candidate;
    /** Expected response time, in milliseconds. */
    expectedMilliseconds: number;
    /** Portion of the response time spent waiting for a slot, in milliseconds. */
    waitMilliseconds: number;
}

/** Cost of a failed attempt, in milliseconds. */
const failureCostMilliseconds = 600;
/** Cost difference up to which candidates count as equal, in milliseconds, to keep instances from all choosing one. */
const toleranceMilliseconds = 8;
/**
 * Ratio of the lowest cost up to which candidates of an uneven service count as equal: their service times are known less well, and
 * with a narrow range several instances send to the same fast upstream before its reports tell them of each other.
 */
const unevenToleranceRatio = 0.25;
/** Ratio of the service time by which an upstream of an uneven service with all slots in use costs more than an idle one. */
const unevenLoadCostRatio = 0.3;
/** Difference of path costs up to which this holds, in milliseconds: traffic to another region and new connections are paid for. */
const maxPathCostDifferenceMilliseconds = 4;
/** Failure ratio up to which this holds, so that an upstream that has just died is not chosen more often. */
const maxUnevenFailureRatio = 0.05;

/**
 * Estimates how long a request waits for a slot.
 *
 * @param candidate - the upstream
 * @returns the wait in milliseconds
 */
export const estimateWait = (candidate: Pick<Candidate, "queueLength" | "slots" | "serviceMilliseconds">): number =>
    Math.max(0, candidate.queueLength + 1 - candidate.slots) * candidate.serviceMilliseconds / candidate.slots;

/**
 * Estimates the response time of a request: wait, service time and round trip.
 *
 * @param candidate - the upstream
 * @returns the response time in milliseconds
 */
export const estimateResponseTime = (candidate: Candidate): number =>
    estimateWait(candidate) + candidate.serviceMilliseconds + candidate.roundTripMilliseconds;

/**
 * Chooses the candidate with the lowest cost, at random among those of about equal cost.
 *
 * @param candidates - the upstreams that can serve the request
 * @param randomFraction - a random number from 0 to 1
 * @param isUneven - whether requests of the service are known to take unequal times, or its machines to differ in slowness
 * @returns the choice, or undefined without candidates
 */
export const chooseUpstream = (
    candidates: readonly Candidate[],
    randomFraction: number,
    isUneven = false,
): Choice | undefined => {
    const costs = candidates.map(candidate => {
        const cost = estimateResponseTime(candidate) + candidate.failureRatio * failureCostMilliseconds
            + candidate.pathCostMilliseconds
            // An upstream slows down slightly with its load, long before all slots are in use.
            + candidate.queueLength / candidate.slots
                * Math.max(toleranceMilliseconds, isUneven ? candidate.serviceMilliseconds * unevenLoadCostRatio : 0);
        return Number.isNaN(cost) ? Infinity : cost;
    });
    const minCost = Math.min(...costs);
    const minPathCost = candidates[costs.indexOf(minCost)]?.pathCostMilliseconds ?? 0;
    const toleranceOf = ({ pathCostMilliseconds, failureRatio }: Candidate): number =>
        isUneven && failureRatio <= maxUnevenFailureRatio
            && pathCostMilliseconds <= minPathCost + maxPathCostDifferenceMilliseconds
            ? Math.max(toleranceMilliseconds, minCost * unevenToleranceRatio)
            : toleranceMilliseconds;
    const equivalent = candidates.filter((candidate, index) =>
        candidate !== undefined && costs[index] <= minCost + toleranceOf(candidate)
    );
    const candidate = equivalent[Math.min(equivalent.length - 1, Math.floor(randomFraction * equivalent.length))];
    return candidate === undefined
        ? undefined
        : {
            candidate,
            expectedMilliseconds: estimateResponseTime(candidate),
            waitMilliseconds: estimateWait(candidate),
        };
};
