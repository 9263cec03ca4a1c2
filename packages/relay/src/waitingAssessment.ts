/** Compares a request that may wait with the room at its upstreams. */
import * as scheduling from "@mulberryseam/scheduling";
import * as requestState from "./requestState";
import type * as selection from "./selection";
import type * as upstreamPool from "./upstreamPool";
import type * as waitingRequests from "./waitingRequests";

/**
 * Requests that an upstream may have beside those that it works on, as a ratio of its slots. They keep a slot in use during the round
 * trip of the next request; what waits there for longer cannot be reordered any more. At 3 times the capacity of one upstream, 0.98 of it was
 * used in time with 0.25, 0.5 and 1, but only 0.64 with 2 (`sharedWaiting.ts`, one instance).
 */
const upstreamQueueRatio = 0.5;
/** Ratio of the time to the deadline that the expected response time may use. */
const usableRatio = 0.95;

/** Configures how requests are compared with the room at their upstreams. */
export interface WaitingAssessmentOptions {
    pool: upstreamPool.UpstreamPool;
    select: (state: requestState.RequestState) => selection.Selection;
    toInput: (state: requestState.RequestState, choice: scheduling.Choice) => scheduling.QueueLimitInput;
}

/** Compares requests with the room at their upstreams. */
export interface WaitingAssessment {
    assess: (state: requestState.RequestState, set: string) => waitingRequests.Assessment;
    /**
     * Returns the name of the upstreams among which a request is ordered: the owner of its key, or all upstreams of its service. Undefined if
     * the request cannot be sent to any of them, for a reason other than a lack of room.
     */
    findSet: (state: requestState.RequestState, selected: selection.Selection) => string | undefined;
}

/**
 * Creates the comparison.
 *
 * @param options - the upstreams and their selection
 * @returns the comparison
 */
export const createWaitingAssessment = (options: WaitingAssessmentOptions): WaitingAssessment => {
    const { pool } = options;

    const isOrderedByOwner = (state: requestState.RequestState): boolean => state.isKeyed && state.key !== undefined;

    const setOf = (state: requestState.RequestState, { upstream }: upstreamPool.PooledUpstream): string =>
        isOrderedByOwner(state) ? `${state.service} ${upstream.identifier} ${upstream.startedAt}` : state.service;

    const toChosen = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        choice: scheduling.Choice,
    ): waitingRequests.ChosenUpstream => {
        const input = options.toInput(state, choice);
        // The limit is the same for all requests of a set, so that the decision, and no request's own target, orders them.
        const requests = input.slots * (1 + upstreamQueueRatio);
        return {
            target,
            input,
            limit: scheduling.limitToCapacity(
                { requests, serviceMilliseconds: input.serviceMilliseconds },
                pool.capacityOf(target),
            ),
            outstandingCount: () => {
                const targets = isOrderedByOwner(state) ? [target] : pool.usable(state.service);
                return targets.reduce((sum, { health }) => sum + health.outstandingCount(), 0);
            },
        };
    };

    const hasRoom = (
        { bodyBytes }: requestState.RequestState,
        { target, input, limit }: waitingRequests.ChosenUpstream,
        { queueLength }: scheduling.Candidate,
    ): boolean => {
        const isInTime = !input.isMeasured || input.expectedMilliseconds <= input.remainingMilliseconds * usableRatio;
        // The window follows the queue late if an instance has few requests, so the estimated queue of all instances counts as well.
        return isInTime && queueLength + 1 <= limit.requests
            && pool.hasCapacity(target) && pool.hasMemory(target, bodyBytes)
            && target.window.hasRoom(target.health.outstandingCount(), limit, pool.now());
    };

    /** Returns the upstream of a request whose connections are all in use, which is a lack of room too. */
    const findBusy = (
        state: requestState.RequestState,
        selected: selection.Selection,
    ): upstreamPool.PooledUpstream | undefined => {
        if (selected.kind !== "none" || selected.reason !== requestState.FailureReason.noConnection) {
            return undefined;
        }
        const usable = pool.usable(state.service);
        return isOrderedByOwner(state)
            ? usable.find(({ upstream }) => upstream.identifier === state.decision?.upstream)
            : usable[0];
    };

    const findTarget = (
        state: requestState.RequestState,
        selected: selection.Selection,
    ): upstreamPool.PooledUpstream | undefined =>
        selected.kind === "chosen" ? selected.target : findBusy(state, selected);

    return {
        findSet: (state, selected) => {
            const target = findTarget(state, selected);
            return target === undefined ? undefined : setOf(state, target);
        },
        assess: (state, set) => {
            const selected = options.select(state);
            const target = findTarget(state, selected);
            if (target === undefined || setOf(state, target) !== set) {
                return { kind: "unavailable" };
            }
            if (selected.kind === "chosen") {
                const chosen = toChosen(state, target, selected.choice);
                return { kind: hasRoom(state, chosen, selected.choice.candidate) ? "room" : "full", chosen };
            }
            const choice = scheduling.chooseUpstream([pool.toCandidate(target, state.estimatedBytes)], 0);
            return choice === undefined
                ? { kind: "unavailable" }
                : { kind: "full", chosen: toChosen(state, target, choice) };
        },
    };
};
