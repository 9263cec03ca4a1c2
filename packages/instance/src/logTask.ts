/** Reads the log, applies its records to the state and reports the changes. */
import * as foundation from "@mulberryseam/foundation";
import type * as ledger from "@mulberryseam/ledger";

/** Configures the log task. */
export interface LogTaskOptions {
    client: ledger.LogClient;
    follower: ledger.LogFollower;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    onState: (state: ledger.LogState) => void;
    onRecordApplied: (applied: ledger.AppliedRecord) => void;
    /** Called after each page that reaches the end of the log. */
    onCaughtUp: () => void;
}

/** Follows the log. */
export interface LogTask {
    /** Returns the time since the last page was read, in milliseconds; undefined before the first page. */
    ageMilliseconds: () => number | undefined;
    /** Adopts the state of a peer if it is newer than the own state. */
    adoptState: (state: ledger.LogState) => void;
}

const pollWaitMilliseconds = 1000;
const errorDelayMilliseconds = 200;

/**
 * Starts following the log.
 *
 * @param options - the log client, the follower and the callbacks for changes
 * @param owner - stops the task when disposed of
 * @returns the task
 */
export const createLogTask = (options: LogTaskOptions, owner: foundation.Owner): LogTask => {
    const { client, follower, timers, logger } = options;
    let lastReadAt: number | undefined;
    let isReachable = true;

    const updateReachability = (isNowReachable: boolean, reason: string): void => {
        if (isNowReachable !== isReachable) {
            isReachable = isNowReachable;
            if (isNowReachable) {
                logger.information("The log can be read again.");
            }
            else {
                logger.warning("Could not read the log.", { reason });
            }
        }
    };

    const readPage = async (): Promise<void> => {
        const page = await client.read(follower.nextOffset(), pollWaitMilliseconds);
        updateReachability(page.ok, page.err ? page.val.message : "");
        if (page.err) {
            await foundation.pause(timers, errorDelayMilliseconds);
            return;
        }
        lastReadAt = timers.now();
        const appliedRecords = follower.applyPage(page.val);
        const state = follower.state();
        if (state !== undefined) {
            options.onState(state);
        }
        appliedRecords.forEach(options.onRecordApplied);
        if (follower.nextOffset() >= page.val.nextOffset && state !== undefined) {
            options.onCaughtUp();
        }
    };

    const run = async (): Promise<void> => {
        while (!owner.isDisposed()) {
            await readPage();
        }
    };
    void run();

    return {
        ageMilliseconds: () => lastReadAt === undefined ? undefined : timers.now() - lastReadAt,
        adoptState: state => {
            if (follower.adoptState(state)) {
                options.onState(state);
            }
        },
    };
};
