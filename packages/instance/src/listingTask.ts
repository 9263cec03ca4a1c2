/** Polls the platform's list of instances. */
import type * as foundation from "@mulberryseam/foundation";
import type * as ownership from "@mulberryseam/ownership";
import * as undici from "undici";
import * as zod from "zod";

const pollMilliseconds = 1000;
const timeoutMilliseconds = 2000;

const listingSchema = zod.object({
    instances: zod.array(zod.object({ name: zod.string(), address: zod.string(), state: zod.string() })),
});

/** How the list is polled. */
export interface ListingTaskOptions {
    url: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    onListing: (instances: readonly ownership.ListedInstance[]) => void;
}

/**
 * Starts to poll the list.
 *
 * @param options - how the list is polled
 * @param owner - ends the task
 */
export const createListingTask = (options: ListingTaskOptions, owner: foundation.Owner): void => {
    const { timers, logger } = options;
    let isReachable = true;

    const poll = async (): Promise<void> => {
        try {
            const response = await undici.request(options.url, { signal: AbortSignal.timeout(timeoutMilliseconds) });
            const listing = listingSchema.parse(await response.body.json());
            isReachable = true;
            options.onListing(listing.instances.map(({ name, address, state }) => ({
                name,
                address,
                isLeaving: state === "leaving",
            })));
        }
        catch (error) {
            if (isReachable) {
                logger.warning("The instance list does not answer.", { reason: (error as Error).message });
            }
            isReachable = false;
        }
        if (!owner.isDisposed()) {
            timers.onDelay(pollMilliseconds, () => void poll());
        }
    };
    void poll();
};
