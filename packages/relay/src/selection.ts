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

    const selectAny = (state: requestState.RequestState): Selection => {
        const usable = pool.usable(state.service);
        const firstHeldOff = usable.length === 0 ? pool.firstHeldOff(state.service) : undefined;
        if (firstHeldOff !== undefined) {
            return toHeldOff(state, firstHeldOff, undefined);
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
        const chosen = scheduling.chooseUpstream(candidates, random.fraction());
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
