/** Selects the upstream of an attempt: the owner of the request's key, or the candidate with the lowest cost. */
import type * as assignment from "@mulberryseam/assignment";
import type * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import * as requestState from "./requestState";
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
});

/**
 * Creates a selector.
 *
 * @param options - the upstreams, the owners of keys and the random number generator
 * @returns a function that selects the upstream of a request's next attempt
 */
export const createSelector = (options: SelectorOptions): (state: requestState.RequestState) => Selection => {
    const { pool, random } = options;

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

    /** Refuses a request whose upstreams are cold and may get no further request of this instance for a time. */
    const toHeldBack = (state: requestState.RequestState, waitMilliseconds: number): Selection => {
        state.wasHeldBack = true;
        return { kind: "none", reason: requestState.FailureReason.cold, waitMilliseconds, isTransient: false };
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
        if (target === undefined || isStale || target.health.isRejecting(pool.now())) {
            return {
                kind: "none",
                reason: requestState.FailureReason.noOwner,
                waitMilliseconds: defaultRetryAfterMilliseconds,
                isTransient: true,
            };
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
        const warmupWaitMilliseconds = pool.warmupWaitMilliseconds(target);
        if (warmupWaitMilliseconds > 0) {
            return toHeldBack(state, warmupWaitMilliseconds);
        }
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
        const usableOrCold = pool.usable(state.service);
        const waits = usableOrCold.map(pool.warmupWaitMilliseconds);
        const usable = usableOrCold.filter((...[, index]) => waits[index] === 0);
        state.wasHeldBack ||= usable.length < usableOrCold.length;
        if (usable.length === 0 && usableOrCold.length > 0) {
            return toHeldBack(state, Math.min(...waits));
        }
        const firstHeldOff = usable.length === 0 ? pool.firstHeldOff(state.service) : undefined;
        if (firstHeldOff !== undefined) {
            return toHeldOff(state, firstHeldOff, undefined);
        }
        const untried = usable.filter(target => !state.triedUpstreams.has(target.upstream.identifier));
        const available = (untried.length > 0 ? untried : usable).filter(target =>
            !pool.isConnectionUnavailable(target)
        );
        const candidates = available.map(target => pool.toCandidate(target, state.estimatedBytes));
        const chosen = scheduling.chooseUpstream(preferCold(state, available, candidates), random.fraction());
        const target = available[candidates.findIndex(candidate => candidate === chosen?.candidate)];
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
