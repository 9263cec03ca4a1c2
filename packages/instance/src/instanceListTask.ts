/** Polls the platform's instance list. */
import type * as foundation from "@mulberryseam/foundation";
import type * as ownership from "@mulberryseam/ownership";
import * as undici from "undici";
import * as zod from "zod";

const pollMilliseconds = 1000;
const timeoutMilliseconds = 2000;

const instanceListSchema = zod.object({
    instances: zod.array(zod.object({ name: zod.string(), address: zod.string(), state: zod.string() })),
});

/** Configures the instance list task. */
export interface InstanceListTaskOptions {
    url: string;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    onInstanceList: (instances: readonly ownership.ListedInstance[]) => void;
}

/**
 * Starts polling the instance list.
 *
 * @param options - the URL of the list and the callback for each response
 * @param owner - stops the task when disposed of
 */
export const createInstanceListTask = (options: InstanceListTaskOptions, owner: foundation.Owner): void => {
    const { timers, logger } = options;
    let isReachable = true;

    const poll = async (): Promise<void> => {
        try {
            const response = await undici.request(options.url, { signal: AbortSignal.timeout(timeoutMilliseconds) });
            const list = instanceListSchema.parse(await response.body.json());
            isReachable = true;
            options.onInstanceList(list.instances.map(({ name, address, state }) => ({
                name,
                address,
                isLeaving: state === "leaving",
            })));
        }
        catch (error) {
            if (isReachable) {
                logger.warning("Could not read the instance list.", { reason: (error as Error).message });
            }
            isReachable = false;
        }
        if (!owner.isDisposed()) {
            timers.onDelay(pollMilliseconds, () => void poll());
        }
    };
    void poll();
};
