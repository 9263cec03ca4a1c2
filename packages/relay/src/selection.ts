/** Selects the upstream of an attempt: the owner of the request's key, or the candidate with the lowest cost. */
import type * as assignment from "@mulberryseam/assignment";
import * as eligibilities from "@mulberryseam/eligibility";
import type * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import * as requestState from "./requestState";
import * as sendEligibility from "./sendEligibility";
import type * as upstreamPool from "./upstreamPool";

/** Result of a selection. */
export type Selection =
    | { kind: "chosen"; target: upstreamPool.PooledUpstream; choice: scheduling.Choice; }
    /** Every upstream that could serve the request holds requests off; `target` takes them first, after a time. */
    | {
        kind: "heldOff";
        target: upstreamPool.PooledUpstream;
        choice: scheduling.Choice;
        holdOffMilliseconds: number;
    }
    | { kind: "none"; reason: requestState.FailureReasonValue; waitMilliseconds: number; isTransient: boolean; };

/** Configures a selector. */
export interface SelectorOptions {
    pool: upstreamPool.UpstreamPool;
    eligibility: eligibilities.Eligibility;
    random: foundation.Random;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
}

/** Time after which a caller should retry if the load is unknown, in milliseconds. */
export const defaultRetryAfterMilliseconds = 250;
/** Time after which a caller should retry if its key cannot get another owner before the store is reachable, in milliseconds. */
const storeOutageRetryMilliseconds = 1000;

/** Ratio of failed attempts from which a cold upstream is not preferred, so that one that has crashed gets no further requests. */
const maxPreferredFailureRatio = 0.25;

const toDecision = (
    { candidate, waitMilliseconds }: scheduling.Choice,
    token: number | undefined,
): requestState.Decision => ({
    upstream: candidate.identifier,
    token,
    queueLength: candidate.queueLength,
    reportAgeMilliseconds: candidate.reportAgeMilliseconds,
    serviceMilliseconds: candidate.serviceMilliseconds,
    waitMilliseconds,
    slowness: candidate.slowness,
});

const toIneligible = (ineligibility: eligibilities.Ineligibility): Selection => ({
    kind: "none",
    ...sendEligibility.toRefusal(ineligibility),
    isTransient: false,
});

/**
 * Creates a selector.
 *
 * @param options - the upstreams, the owners of keys and the random number generator
 * @returns a function that selects the upstream of a request's next attempt
 */
export const createSelector = (options: SelectorOptions): (state: requestState.RequestState) => Selection => {
    const { pool, eligibility, random } = options;

    const findIneligibility = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
    ): eligibilities.Ineligibility | undefined =>
        sendEligibility.findIneligibility(eligibility, state, target.upstream, pool.now());

    /** Returns why no upstream of a service may own the key of a request or get it, if that is so because of where they are. */
    const findPlaceIneligibility = (state: requestState.RequestState): eligibilities.Ineligibility | undefined => {
        const ineligibilities: eligibilities.Ineligibility[] = [];
        for (const { upstream } of pool.ready(state.service)) {
            const found = eligibility.findIneligibility(upstream, state.route.allowedRegions, pool.now());
            if (found === undefined || found.reason === eligibilities.IneligibilityReason.warmup) {
                return undefined;
            }
            ineligibilities.push(found);
        }
        return sendEligibility.mostHopeful(ineligibilities);
    };

    const toHeldOff = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        token: number | undefined,
    ): Selection => {
        const candidate = pool.toCandidate(target, state.estimatedBytes);
        const choice = scheduling.chooseUpstream([candidate], 0) as scheduling.Choice;
        state.decision = toDecision(choice, token);
        const holdOffMilliseconds = pool.holdOffMilliseconds(target.upstream);
        return { kind: "heldOff", target, choice, holdOffMilliseconds };
    };

    const selectOwner = (state: requestState.RequestState, key: number): Selection => {
        const route = options.findOwner(state.service, key);
        if (route !== undefined && pool.keepsKeysAfterLeaving(route.owner)) {
            return {
                kind: "none",
                reason: requestState.FailureReason.noOwner,
                waitMilliseconds: storeOutageRetryMilliseconds,
                isTransient: false,
            };
        }
        const target = route === undefined
            ? undefined
            : pool.find(route.owner.identifier, route.owner.startedAt);
        // An owner that does not hold the key gets no further attempt until routing names another owner.
        const isStale = route !== undefined && route.token === state.misdirectedToken;
        const ineligibility = target === undefined ? undefined : findIneligibility(state, target);
        const isMoving = target !== undefined && ineligibility !== undefined
            && sendEligibility.isOwnerMoving(eligibility, state, target.upstream, pool.now());
        if (target === undefined || isStale || isMoving || target.health.isRejecting(pool.now())) {
            const placeIneligibility = findPlaceIneligibility(state);
            if (placeIneligibility !== undefined) {
                return toIneligible(placeIneligibility);
            }
            return {
                kind: "none",
                reason: requestState.FailureReason.noOwner,
                waitMilliseconds: defaultRetryAfterMilliseconds,
                isTransient: true,
            };
        }
        if (ineligibility !== undefined) {
            state.wasHeldBack ||= ineligibility.reason === eligibilities.IneligibilityReason.warmup;
            return toIneligible(ineligibility);
        }
        if (pool.holdOffMilliseconds(target.upstream) > 0) {
            return toHeldOff(state, target, route?.token);
        }
        const candidate = pool.toCandidate(target, state.estimatedBytes);
        const chosen = scheduling.chooseUpstream([candidate], 0);
        if (chosen === undefined) {
            return {
                kind: "none",
                reason: requestState.FailureReason.noOwner,
                waitMilliseconds: defaultRetryAfterMilliseconds,
                isTransient: false,
            };
        }
        state.decision = toDecision(chosen, route?.token);
        if (pool.isConnectionUnavailable(target)) {
            return {
                kind: "none",
                reason: requestState.FailureReason.noConnection,
                waitMilliseconds: chosen.waitMilliseconds,
                isTransient: false,
            };
        }
        return { kind: "chosen", target, choice: chosen };
    };

    /**
     * Returns the candidates that a request should use: the cold ones if there are any that can serve it at once and in time, as a new
     * upstream would otherwise get no requests while others are cheaper.
     */
    const preferCold = (
        state: requestState.RequestState,
        available: readonly upstreamPool.PooledUpstream[],
        candidates: readonly scheduling.Candidate[],
    ): readonly scheduling.Candidate[] => {
        const targetMilliseconds = state.arrivedAt + state.route.targetMilliseconds - pool.now();
        const cold = candidates.filter((candidate, index) =>
            pool.isCold(available[index]) && scheduling.estimateWait(candidate) === 0
            && scheduling.estimateResponseTime(candidate) <= targetMilliseconds
            && candidate.failureRatio <= maxPreferredFailureRatio
        );
        return cold.length > 0 ? cold : candidates;
    };

    const selectAny = (state: requestState.RequestState): Selection => {
        const ineligibilities: eligibilities.Ineligibility[] = [];
        const isEligible = (target: upstreamPool.PooledUpstream): boolean => {
            const ineligibility = findIneligibility(state, target);
            if (ineligibility !== undefined) {
                ineligibilities.push(ineligibility);
            }
            return ineligibility === undefined;
        };
        const usable = pool.usable(state.service, isEligible);
        state.wasHeldBack ||= ineligibilities.some(({ reason }) => reason === eligibilities.IneligibilityReason.warmup);
        const firstHeldOff = usable.length === 0 ? pool.firstHeldOff(state.service, isEligible) : undefined;
        if (firstHeldOff !== undefined) {
            return toHeldOff(state, firstHeldOff, undefined);
        }
        const ineligibility = usable.length === 0 ? sendEligibility.mostHopeful(ineligibilities) : undefined;
        if (ineligibility !== undefined) {
            return toIneligible(ineligibility);
        }
        const untried = usable.filter(target => !state.triedUpstreams.has(target.upstream.identifier));
        const available = (untried.length > 0 ? untried : usable).filter(target =>
            !pool.isConnectionUnavailable(target)
        );
        // If none has capacity, one is chosen all the same: its queue says when the caller should retry.
        const withCapacity = available.filter(target =>
            pool.hasCapacity(target) && pool.hasMemory(target, state.bodyBytes)
        );
        const considered = withCapacity.length > 0 ? withCapacity : available;
        const candidates = considered.map(target => pool.toCandidate(target, state.estimatedBytes));
        const chosen = scheduling.chooseUpstream(
            preferCold(state, considered, candidates),
            random.fraction(),
            pool.observations.isUneven(state.service),
        );
        const target = considered[candidates.findIndex(candidate => candidate === chosen?.candidate)];
        if (chosen === undefined || target === undefined) {
            const reason = usable.length === 0
                ? requestState.FailureReason.noUpstream
                : requestState.FailureReason.noConnection;
            return { kind: "none", reason, waitMilliseconds: defaultRetryAfterMilliseconds, isTransient: false };
        }
        state.decision = toDecision(chosen, undefined);
        return { kind: "chosen", target, choice: chosen };
    };

    return state => state.isKeyed && state.key !== undefined ? selectOwner(state, state.key) : selectAny(state);
};
