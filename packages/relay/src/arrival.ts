/** Decides whether a request that arrives is refused at once, before any of it is passed on. */
import * as eventLoopDelay from "./eventLoopDelay";
import type * as openRequestSet from "./openRequests";
import * as requestState from "./requestState";

/**
 * Returns why a request is refused.
 *
 * @param state - the request, which is not open yet
 * @param openRequests - the open requests of the instance
 * @param delayMilliseconds - event loop delay of the instance
 * @returns the reason, or undefined if the request is served
 */
export const findRefusal = (
    state: requestState.RequestState,
    openRequests: openRequestSet.OpenRequests,
    delayMilliseconds: number,
): requestState.FailureReasonValue | undefined => {
    const { pipelined, notAccepted, stopping, overloaded } = requestState.FailureReason;
    if (openRequests.isConnectionFull(state)) {
        return pipelined;
    }
    if (!openRequests.endsBeforeLimit(state)) {
        return state.isDelegated ? notAccepted : stopping;
    }
    return eventLoopDelay.isOverloaded(state.route.rank, delayMilliseconds) ? overloaded : undefined;
};
