/** Arrivals in real time. */
import * as foundation from "@mulberryseam/foundation";
import * as site from "@mulberryseam/site";

/** Arrivals that do not wait for answers. */
export interface ArrivalOptions {
    seed: number;
    perSecond: number;
    durationMilliseconds: number;
    /** Sends one request; how it ends is the caller's business. */
    send: (index: number) => Promise<void>;
}

/**
 * Sends requests at random moments, whether or not earlier ones have been answered, and waits for the last answer.
 *
 * @param options - the arrivals
 */
export const runArrivals = async (options: ArrivalOptions): Promise<void> => {
    const random = foundation.createRandom(options.seed);
    const startedAt = performance.now();
    const sent: Promise<void>[] = [];
    let dueAt = 0;
    for (let index = 0; dueAt < options.durationMilliseconds; index++) {
        const ahead = dueAt - (performance.now() - startedAt);
        if (ahead > 1) {
            await site.wait(ahead);
        }
        sent.push(options.send(index));
        dueAt += -Math.log(1 - random.fraction()) * 1000 / options.perSecond;
    }
    await Promise.all(sent);
};
