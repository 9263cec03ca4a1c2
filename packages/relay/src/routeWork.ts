/** Measures how long the requests of each route take at an upstream without a queue. */
import type * as scheduling from "@mulberryseam/scheduling";
import type * as attemptResult from "./attemptResult";
import type * as requestState from "./requestState";

/** Work of the requests of each route. */
export interface RouteWork {
    /** Returns the expected time of a request at an upstream without a wait, in milliseconds. */
    expectedMilliseconds: (state: requestState.RequestState, input: scheduling.QueueLimitInput) => number;
    /** Records the result of an attempt and the time that it took. */
    record: (state: requestState.RequestState, result: attemptResult.AttemptResult, milliseconds: number) => void;
}

const smoothing = 0.1;
/** Bounds of the work of a route relative to that of its upstream. */
const minRatio = 0.25;
const maxRatio = 4;
/** Routes that are measured; names come from the document, so there are few. */
const maxRoutes = 1024;

/**
 * Creates a measurement without any responses.
 *
 * @returns the measurement
 */
export const createRouteWork = (): RouteWork => {
    const workByRoute = new Map<string, number>();
    const keyOf = ({ service, route }: requestState.RequestState): string => `${service} ${route.name}`;
    return {
        expectedMilliseconds: (state, { serviceMilliseconds, expectedMilliseconds, waitMilliseconds }) => {
            const ratio = (workByRoute.get(keyOf(state)) ?? serviceMilliseconds) / serviceMilliseconds;
            const bounded = Math.min(maxRatio, Math.max(minRatio, ratio));
            const roundTripMilliseconds = expectedMilliseconds - waitMilliseconds - serviceMilliseconds;
            return Math.max(1, bounded * serviceMilliseconds + roundTripMilliseconds);
        },
        record: (state, result, milliseconds) => {
            const report = result.kind === "answered" ? result.report : undefined;
            const key = keyOf(state);
            const known = workByRoute.get(key);
            // A response that waited for a slot says less about the work, and one without a report may have waited.
            if (report?.waiting !== 0 || (known === undefined && workByRoute.size >= maxRoutes)) {
                return;
            }
            workByRoute.set(key, (known ?? milliseconds) * (1 - smoothing) + milliseconds * smoothing);
        },
    };
};
