/** Decides whether an upstream should get a request now: expected response time, deadline, queue limit and room. */
import type * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import type * as requestState from "./requestState";
import type * as upstreamPool from "./upstreamPool";

/** Configures the admission of requests. */
export interface AdmissionOptions {
    timers: foundation.TimerService;
    pool: upstreamPool.UpstreamPool;
}

/** Decides whether an upstream should get a request now. */
export interface Admission {
    /** Returns what the decision on a request is based on. */
    toInput: (state: requestState.RequestState, choice: scheduling.Choice) => scheduling.QueueLimitInput;
    /** Returns how many requests of all instances an upstream serves in time, and holds. */
    limitOf: (target: upstreamPool.PooledUpstream, input: scheduling.QueueLimitInput) => scheduling.QueueLimit;
    /** Whether an upstream should get a request now. One that may have run is refused only if no response can come in time. */
    isAccepted: (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        input: scheduling.QueueLimitInput,
    ) => boolean;
}

/**
 * Creates the admission of requests.
 *
 * @param options - clock and upstreams
 * @returns the admission
 */
export const createAdmission = ({ timers, pool }: AdmissionOptions): Admission => {
    const limitOf: Admission["limitOf"] = (target, input) =>
        scheduling.limitToCapacity(scheduling.queueLimit(input), pool.capacityOf(target));

    return {
        toInput: (state, { candidate, expectedMilliseconds, waitMilliseconds }) => ({
            isMeasured: candidate.isMeasured,
            expectedMilliseconds,
            waitMilliseconds,
            remainingMilliseconds: state.deadlineAt - timers.now(),
            targetMilliseconds: state.arrivedAt + state.route.targetMilliseconds - timers.now(),
            slots: candidate.slots,
            serviceMilliseconds: candidate.serviceMilliseconds,
        }),
        limitOf,
        isAccepted: (state, target, input) => {
            if (!pool.hasCapacity(target) || !pool.hasMemory(target, state.bodyBytes)) {
                return false;
            }
            if (state.mayHaveRun) {
                return input.expectedMilliseconds <= input.remainingMilliseconds;
            }
            const limit = limitOf(target, input);
            const { health, window } = target;
            const outstandingCount = health.outstandingCount() + health.occupyingCount(timers.now());
            return window.hasRoom(outstandingCount, limit, timers.now())
                && scheduling.isAdmissible(input);
        },
    };
};
