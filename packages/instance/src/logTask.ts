/** Follows the log and tells what it has folded. */
import * as foundation from "@mulberryseam/foundation";
import type * as ledger from "@mulberryseam/ledger";

/** How the log is followed. */
export interface LogTaskOptions {
    client: ledger.LogClient;
    follower: ledger.LogFollower;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    onState: (state: ledger.LogState) => void;
    onFolded: (folded: ledger.AppliedRecord) => void;
    /** The end of the log has been reached. */
    onEnd: () => void;
}

/** A task that follows the log. */
export interface LogTask {
    /** Age of the last page read, in milliseconds; undefined before the first. */
    ageMilliseconds: () => number | undefined;
    /** Takes a state folded by a peer. */
    takeState: (state: ledger.LogState) => void;
}

const pollWaitMilliseconds = 1000;
const errorPauseMilliseconds = 200;

/**
 * Starts to follow the log.
 *
 * @param options - how the log is followed
 * @param owner - ends the task
 * @returns the task
 */
export const createLogTask = (options: LogTaskOptions, owner: foundation.Owner): LogTask => {
    const { client, follower, timers, logger } = options;
    let readAt: number | undefined;
    let isReachable = true;

    const noteReachable = (now: boolean, reason: string): void => {
        if (now !== isReachable) {
            isReachable = now;
            if (now) {
                logger.information("The log service answers again.");
            }
            else {
                logger.warning("The log service does not answer.", { reason });
            }
        }
    };

    const readOnce = async (): Promise<void> => {
        const page = await client.read(follower.nextOffset(), pollWaitMilliseconds);
        noteReachable(page.ok, page.err ? page.val.message : "");
        if (page.err) {
            await foundation.pause(timers, errorPauseMilliseconds);
            return;
        }
        readAt = timers.now();
        const folded = follower.applyPage(page.val);
        const state = follower.state();
        if (state !== undefined) {
            options.onState(state);
        }
        folded.forEach(options.onFolded);
        if (follower.nextOffset() >= page.val.nextOffset && state !== undefined) {
            options.onEnd();
        }
    };

    const run = async (): Promise<void> => {
        while (!owner.isDisposed()) {
            await readOnce();
        }
    };
    void run();

    return {
        ageMilliseconds: () => readAt === undefined ? undefined : timers.now() - readAt,
        takeState: state => {
            if (follower.adoptState(state)) {
                options.onState(state);
            }
        },
    };
};
