/**
 * Recognises requests of callers that come back after a refusal. Nothing links the attempts of a caller, but each one states what is left
 * of the caller's time. First attempts on a route almost always state the same time, so a clearly shorter one belongs to a caller that
 * has been under way for the difference.
 */

/** Recognises returning callers of each route. */
export interface ReturningCallers {
    /**
     * Records the time that a request states, in milliseconds, and returns for how long its caller has been under way: 0 for a first attempt,
     * and whenever that is not certain.
     */
    onRequest: (route: string, statedMilliseconds: number) => number;
}

/** Stated times that are counted for each route: one that a request in twelve states is always among them. */
const maxValues = 12;
/** Requests after which counts are halved, so that a change of the callers' time is followed. */
const halvingRequests = 400;
const minRequests = 20;
/** Ratio of the requests that have to state the same time. Under overload, up to two of three attempts are retries. */
const minUsualRatio = 0.25;
/** Ratio of the requests from which a time counts as another one of first attempts. */
const minOtherRatio = 0.05;
/** Shortest time after which a caller returns, in milliseconds; callers are asked to wait for 40 ms at least. */
const minElapsedMilliseconds = 40;
/** Longest time that a returning caller has been under way, as a ratio of its usual time. */
const maxElapsedRatio = 0.8;
/** Routes that are counted; names come from the document, so there are few. */
const maxRoutes = 256;

interface RouteTimes {
    counts: Map<number, number>;
    total: number;
}

const record = ({ counts }: RouteTimes, value: number): void => {
    const known = counts.get(value);
    if (known !== undefined || counts.size < maxValues) {
        counts.set(value, (known ?? 0) + 1);
        return;
    }
    // Values that are seen once only push each other out, but not one that is frequent.
    for (const [other, count] of counts) {
        if (count <= 1) {
            counts.delete(other);
        }
        else {
            counts.set(other, count - 1);
        }
    }
};

const halve = (times: RouteTimes): void => {
    times.total /= 2;
    times.counts.forEach((count, value) => times.counts.set(value, count / 2));
};

/**
 * Creates a recognition of returning callers, without any requests.
 *
 * @returns the recognition
 */
export const createReturningCallers = (): ReturningCallers => {
    const routes = new Map<string, RouteTimes>();
    return {
        onRequest: (route, statedMilliseconds) => {
            if (!Number.isFinite(statedMilliseconds) || statedMilliseconds <= 0) {
                return 0;
            }
            const value = Math.round(statedMilliseconds);
            const times = routes.get(route) ?? { counts: new Map<number, number>(), total: 0 };
            if (routes.size < maxRoutes) {
                routes.set(route, times);
            }
            times.total += 1;
            record(times, value);
            if (times.total >= halvingRequests) {
                halve(times);
            }
            if (times.total < minRequests) {
                return 0;
            }
            const [usual, count] = [...times.counts].reduce(
                (most, entry) => entry[1] > most[1] ? entry : most,
                [0, 0],
            );
            const elapsed = usual - value;
            const isOtherUsual = (times.counts.get(value) ?? 0) >= Math.max(2, times.total * minOtherRatio);
            const isReturning = count >= times.total * minUsualRatio && !isOtherUsual
                && elapsed >= minElapsedMilliseconds && elapsed <= usual * maxElapsedRatio;
            return isReturning ? elapsed : 0;
        },
    };
};
