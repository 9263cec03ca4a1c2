/** Open-loop load generation: requests arrive as a Poisson process in real time. */
import * as foundation from "@mulberryseam/foundation";
import * as site from "@mulberryseam/site";

/** Configures a load whose requests are sent without waiting for earlier responses. */
export interface OpenLoopLoadOptions {
    seed: number;
    requestsPerSecond: number;
    durationMilliseconds: number;
    /** Sends one request and records its result; must not reject. */
    send: (index: number) => Promise<void>;
}

/**
 * Sends requests with exponentially distributed intervals, regardless of pending responses. Resolves after the last
 * response.
 *
 * @param options - rate, duration and seed of the arrivals, and the function that sends a request
 */
export const runOpenLoopLoad = async (options: OpenLoopLoadOptions): Promise<void> => {
    const random = foundation.createRandom(options.seed);
    const startedAt = performance.now();
    const pendingRequests: Promise<void>[] = [];
    let dueAt = 0;
    for (let index = 0; dueAt < options.durationMilliseconds; index++) {
        const delayMilliseconds = dueAt - (performance.now() - startedAt);
        if (delayMilliseconds > 1) {
            await site.wait(delayMilliseconds);
        }
        pendingRequests.push(options.send(index));
        dueAt += -Math.log(1 - random.fraction()) * 1000 / options.requestsPerSecond;
    }
    await Promise.all(pendingRequests);
};
