/** The requests without a complete response, each with the timer of its deadline. */
import type * as foundation from "@mulberryseam/foundation";
import type * as net from "node:net";
import type * as requestState from "./requestState";

/** Requests that are served at the same time on one connection. */
const maxOpenPerConnection = 16;

/** Configures the open requests of a relay. */
export interface OpenRequestsOptions {
    timers: foundation.TimerService;
    /** Called when the deadline of an open request passes. */
    onExpired: (state: requestState.RequestState) => void;
    /** Called when the connection of an open request has closed: Node.js does not tell a response that waits for an earlier one. */
    onDisconnected: (state: requestState.RequestState) => void;
}

/** Open requests of a relay. */
export interface OpenRequests {
    /** Adds a request and starts the timer of its deadline. */
    add: (state: requestState.RequestState) => void;
    /** Removes a request, whose deadline is then ignored. */
    remove: (state: requestState.RequestState) => void;
    count: () => number;
    /** Whether a connection has as many open requests as are served: their responses wait for each other in memory. */
    isConnectionFull: (state: requestState.RequestState) => boolean;
    /** Whether a request ends, at its own deadline at the latest, before the limit of all deadlines. */
    endsBeforeLimit: (state: requestState.RequestState) => boolean;
    /** Moves later deadlines of current and future requests forward to a time of the timer service's clock. */
    limitDeadlines: (latestDeadlineAt: number) => void;
}

/**
 * Creates a set of open requests, which is empty.
 *
 * @param options - the timer service, and what happens when a deadline passes or a connection closes
 * @returns the open requests
 */
export const createOpenRequests = (options: OpenRequestsOptions): OpenRequests => {
    const timeouts = new Map<requestState.RequestState, foundation.Subscription>();
    const statesByConnection = new WeakMap<net.Socket, Set<requestState.RequestState>>();
    /** Returns the open requests of a connection. */
    const statesOn = (connection: net.Socket): Set<requestState.RequestState> => {
        const known = statesByConnection.get(connection);
        if (known !== undefined) {
            return known;
        }
        const states = new Set<requestState.RequestState>();
        statesByConnection.set(connection, states);
        connection.once("close", () => [...states].forEach(options.onDisconnected));
        return states;
    };
    let latestDeadlineAt = Infinity;
    const startTimeout = (state: requestState.RequestState): void => {
        timeouts.get(state)?.cancel();
        state.deadlineAt = Math.min(state.deadlineAt, latestDeadlineAt);
        const remainingMilliseconds = Math.max(0, state.deadlineAt - options.timers.now());
        timeouts.set(state, options.timers.onDelay(remainingMilliseconds, () => options.onExpired(state)));
    };
    return {
        add: state => {
            statesOn(state.request.socket).add(state);
            startTimeout(state);
        },
        remove: state => {
            timeouts.get(state)?.cancel();
            timeouts.delete(state);
            statesByConnection.get(state.request.socket)?.delete(state);
        },
        count: () => timeouts.size,
        isConnectionFull: ({ request }) => statesOn(request.socket).size >= maxOpenPerConnection,
        endsBeforeLimit: state => state.deadlineAt <= latestDeadlineAt,
        limitDeadlines: time => {
            latestDeadlineAt = time;
            for (const state of [...timeouts.keys()]) {
                if (state.deadlineAt > latestDeadlineAt) {
                    startTimeout(state);
                }
            }
        },
    };
};
