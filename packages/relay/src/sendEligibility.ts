/** Whether an upstream may get a request, and how the request is refused if none may. */
import * as eligibilities from "@mulberryseam/eligibility";
import type * as routing from "@mulberryseam/routing";
import * as requestState from "./requestState";

/** Why a request is refused, and after which time its caller should retry, in milliseconds. */
export interface Refusal {
    reason: requestState.FailureReasonValue;
    waitMilliseconds: number;
}

/** Time after which a caller should retry if it is not known when an upstream becomes eligible, in milliseconds. */
const unknownRetryMilliseconds = 1000;

const failureReasons: Record<eligibilities.IneligibilityReasonValue, requestState.FailureReasonValue> = {
    region: requestState.FailureReason.regionNotAllowed,
    evacuated: requestState.FailureReason.evacuated,
    warmup: requestState.FailureReason.warmup,
};

/** The reasons, the one whose end is soonest expected first. */
const reasonOrder: readonly eligibilities.IneligibilityReasonValue[] = [
    eligibilities.IneligibilityReason.warmup,
    eligibilities.IneligibilityReason.evacuated,
    eligibilities.IneligibilityReason.region,
];

/**
 * Whether a request may have been sent to an upstream, by this instance or by its delegate.
 *
 * @param state - the request
 */
export const hasBeenSent = ({ triedUpstreams, mayHaveRun }: requestState.RequestState): boolean =>
    triedUpstreams.size > 0 || mayHaveRun;

/**
 * Returns why an upstream may not get a request now.
 *
 * @param eligibility - the decision of the instance
 * @param state - the request
 * @param upstream - the owner of the request's key, or any upstream of its service if it has none
 * @param now - current time
 * @param isRetry - whether an attempt of the request has been started before the one in question
 * @returns undefined if the upstream may get the request
 */
export const findIneligibility = (
    eligibility: eligibilities.Eligibility,
    state: requestState.RequestState,
    upstream: routing.Upstream,
    now: number,
    isRetry = hasBeenSent(state),
): eligibilities.Ineligibility | undefined => {
    const { allowedRegions } = state.route;
    return state.isKeyed && state.key !== undefined
        ? eligibility.findOwnerIneligibility(upstream, allowedRegions, now, isRetry)
        : eligibility.findIneligibility(upstream, allowedRegions, now);
};

/**
 * Whether only retries may not reach the owner of a request's key, because the owner is still being moved out of an evacuated failure
 * domain. Another owner is worth waiting for then.
 *
 * @param eligibility - the decision of the instance
 * @param state - the request, which the owner may not get
 * @param upstream - the owner
 * @param now - current time
 */
export const isOwnerMoving = (
    eligibility: eligibilities.Eligibility,
    state: requestState.RequestState,
    upstream: routing.Upstream,
    now: number,
): boolean => findIneligibility(eligibility, state, upstream, now, false) === undefined;

/**
 * Returns the reason that ends first, which is the one that a refusal names.
 *
 * @param ineligibilities - why each of the upstreams of a service may not get a request
 * @returns undefined if there is none
 */
export const mostHopeful = (
    ineligibilities: readonly eligibilities.Ineligibility[],
): eligibilities.Ineligibility | undefined =>
    [...ineligibilities].sort((left, right) =>
        reasonOrder.indexOf(left.reason) - reasonOrder.indexOf(right.reason)
        || Math.min(left.waitMilliseconds, Number.MAX_VALUE) - Math.min(right.waitMilliseconds, Number.MAX_VALUE)
    )[0];

/**
 * Returns how a request is refused that no upstream may get.
 *
 * @param ineligibility - why
 * @returns the refusal
 */
export const toRefusal = ({ reason, waitMilliseconds }: eligibilities.Ineligibility): Refusal => ({
    reason: failureReasons[reason],
    waitMilliseconds: Number.isFinite(waitMilliseconds) ? waitMilliseconds : unknownRetryMilliseconds,
});

/**
 * Whether an attempt ended because its upstream became ineligible, which says nothing of the upstream's health.
 *
 * @param reason - why the attempt ended
 */
export const isIneligibilityReason = (reason: string): boolean =>
    Object.values<string>(failureReasons).includes(reason);
