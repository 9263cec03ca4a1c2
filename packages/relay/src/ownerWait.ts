/** How long requests wait for their key to get an owner. */
import type * as requestState from "./requestState";

/** Interval between lookups of a key's owner, in milliseconds. */
export const ownerPollMilliseconds = 25;
/** Longest wait for a key to get an owner, as a ratio of the route's target. */
const maxOwnerWaitRatio = 0.6;

/** Returns until when a request waits for its key to get an owner. */
export const ownerWaitUntil = (state: requestState.RequestState): number =>
    Math.min(
        state.deadlineAt,
        state.arrivedAt + state.route.targetMilliseconds * maxOwnerWaitRatio + ownerPollMilliseconds,
    );
