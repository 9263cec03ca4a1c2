/** Selects the upstream of an attempt: the owner of the request's key, or the one that is expected to answer first. */
import type * as assignment from "@mulberryseam/assignment";
import type * as foundation from "@mulberryseam/foundation";
import * as choice from "./choice";
import * as requestState from "./requestState";
import type * as upstreamPool from "./upstreamPool";

/** What was selected. */
export type Selection =
    | { kind: "chosen"; target: upstreamPool.PooledUpstream; choice: choice.Choice; }
    | { kind: "none"; reason: requestState.ReasonText; waitMilliseconds: number; mayCome: boolean; };

/** What a selection depends on. */
export interface SelectorOptions {
    pool: upstreamPool.UpstreamPool;
    random: foundation.Random;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
}

/** Time until a caller should ask again when nothing is known of the load, in milliseconds. */
export const unknownReturnMilliseconds = 250;

const toDecision = ({ option, waitMilliseconds }: choice.Choice, token: number | undefined): requestState.Decision => ({
    upstream: option.identifier,
    token,
    queueLength: option.queueLength,
    reportAgeMilliseconds: option.reportAgeMilliseconds,
    serviceMilliseconds: option.serviceMilliseconds,
    waitMilliseconds,
});

/**
 * Creates a selector.
 *
 * @param options - what it depends on
 * @returns selects the upstream of a request's next attempt
 */
export const createSelector = (options: SelectorOptions): (state: requestState.RequestState) => Selection => {
    const { pool, random } = options;

    const selectOwner = (state: requestState.RequestState, key: number): Selection => {
        const route = options.findOwner(state.service, key);
        const target = route === undefined
            ? undefined
            : pool.find(route.owner.identifier, route.owner.startedAt);
        // An owner that does not hold the key is not asked again before routing names another one.
        const isStale = route !== undefined && route.token === state.misdirectedToken;
        if (target === undefined || isStale || target.health.isMisdirecting(pool.now())) {
            return {
                kind: "none",
                reason: requestState.Reason.noOwner,
                waitMilliseconds: unknownReturnMilliseconds,
                mayCome: true,
            };
        }
        const option = pool.describe(target, state.bytes);
        const chosen = choice.choose([option], 0) as choice.Choice;
        state.decision = toDecision(chosen, route?.token);
        if (pool.isFull(target)) {
            return {
                kind: "none",
                reason: requestState.Reason.noConnection,
                waitMilliseconds: chosen.waitMilliseconds,
                mayCome: false,
            };
        }
        return { kind: "chosen", target, choice: chosen };
    };

    const selectAny = (state: requestState.RequestState): Selection => {
        const usable = pool.usable(state.service);
        const untried = usable.filter(target => !state.tried.has(target.upstream.identifier));
        const open = (untried.length > 0 ? untried : usable).filter(target => !pool.isFull(target));
        const described = open.map(target => pool.describe(target, state.bytes));
        const chosen = choice.choose(described, random.fraction());
        const target = open[described.findIndex(option => option === chosen?.option)];
        if (chosen === undefined || target === undefined) {
            const reason = usable.length === 0 ? requestState.Reason.noUpstream : requestState.Reason.noConnection;
            return { kind: "none", reason, waitMilliseconds: unknownReturnMilliseconds, mayCome: false };
        }
        state.decision = toDecision(chosen, undefined);
        return { kind: "chosen", target, choice: chosen };
    };

    return state => state.isKeyed && state.key !== undefined ? selectOwner(state, state.key) : selectAny(state);
};
