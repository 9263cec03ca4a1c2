/** Writes checkpoints while the instance leads, well before records expire. */
import type * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as crypto from "node:crypto";

/** How checkpoints are written. */
export interface CheckpointTaskOptions {
    timers: foundation.TimerService;
    logger: foundation.Logger;
    writer: ledger.LogWriter;
    isLeader: () => boolean;
    state: () => ledger.LogState | undefined;
}

const checkIntervalMilliseconds = 1000;
/** Longest time without a checkpoint; the platform keeps records for hours. */
const checkpointIntervalMilliseconds = 60_000;
const recordsBetweenCheckpoints = 500;

/**
 * Starts to write checkpoints.
 *
 * @param options - how checkpoints are written
 * @param owner - ends the task
 */
export const createCheckpointTask = (options: CheckpointTaskOptions, owner: foundation.Owner): void => {
    const { timers } = options;
    let writtenAt = timers.now();
    let writtenOffset = -1;
    let isWriting = false;

    const write = async (state: ledger.LogState): Promise<void> => {
        for (const chunk of ledger.createCheckpoint(state, crypto.randomUUID())) {
            const written = await options.writer.write(chunk);
            if (written.err) {
                options.logger.warning("A checkpoint was not written.", { reason: written.val.message });
                return;
            }
            writtenOffset = written.val;
        }
        writtenAt = timers.now();
        options.logger.debug("A checkpoint was written.", { upTo: state.offset });
    };

    const check = async (): Promise<void> => {
        const state = options.state();
        if (state === undefined || isWriting || !options.isLeader()) {
            return;
        }
        const isDue = state.offset - writtenOffset >= recordsBetweenCheckpoints
            || (timers.now() - writtenAt >= checkpointIntervalMilliseconds && state.offset > writtenOffset);
        if (isDue) {
            isWriting = true;
            await write(state);
            isWriting = false;
        }
    };

    const interval = timers.onInterval(checkIntervalMilliseconds, () => void check());
    owner.onCleanup(() => interval.cancel());
};
