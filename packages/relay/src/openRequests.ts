/** The requests without a complete response, each with the timer of its deadline. */
import type * as foundation from "@mulberryseam/foundation";
import type * as requestState from "./requestState";

/** Configures the open requests of a relay. */
export interface OpenRequestsOptions {
    timers: foundation.TimerService;
    /** Called when the deadline of an open request passes. */
    onExpired: (state: requestState.RequestState) => void;
}

/** Open requests of a relay. */
export interface OpenRequests {
    /** Adds a request and starts the timer of its deadline. */
    add: (state: requestState.RequestState) => void;
    /** Removes a request, whose deadline is then ignored. */
    remove: (state: requestState.RequestState) => void;
    count: () => number;
    /** Whether a request ends, at its own deadline at the latest, before the limit of all deadlines. */
    endsBeforeLimit: (state: requestState.RequestState) => boolean;
    /** Moves later deadlines of current and future requests forward to a time of the timer service's clock. */
    limitDeadlines: (latestDeadlineAt: number) => void;
}

/**
 * Creates a set of open requests, which is empty.
 *
 * @param options - the timer service, and what happens when a deadline passes
 * @returns the open requests
 */
export const createOpenRequests = ({ timers, onExpired }: OpenRequestsOptions): OpenRequests => {
    const timeouts = new Map<requestState.RequestState, foundation.Subscription>();
    let latestDeadlineAt = Infinity;
    const add = (state: requestState.RequestState): void => {
        timeouts.get(state)?.cancel();
        state.deadlineAt = Math.min(state.deadlineAt, latestDeadlineAt);
        const remainingMilliseconds = Math.max(0, state.deadlineAt - timers.now());
        timeouts.set(state, timers.onDelay(remainingMilliseconds, () => onExpired(state)));
    };
    return {
        add,
        remove: state => {
            timeouts.get(state)?.cancel();
            timeouts.delete(state);
        },
        count: () => timeouts.size,
        endsBeforeLimit: state => state.deadlineAt <= latestDeadlineAt,
        limitDeadlines: time => {
            latestDeadlineAt = time;
            for (const state of [...timeouts.keys()]) {
                if (state.deadlineAt > latestDeadlineAt) {
                    add(state);
                }
            }
        },
    };
};
