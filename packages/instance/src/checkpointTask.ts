/** Writes checkpoints of the log state while this instance is the leader, well before records expire. */
import type * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as crypto from "node:crypto";

/** Configures the checkpoint task. */
export interface CheckpointTaskOptions {
    timers: foundation.TimerService;
    logger: foundation.Logger;
    writer: ledger.LogWriter;
    isLeader: () => boolean;
    state: () => ledger.LogState | undefined;
}

const checkIntervalMilliseconds = 1000;
/** Far below the retention of the platform's log service, which is hours. */
const maxCheckpointIntervalMilliseconds = 60_000;
const maxRecordsBetweenCheckpoints = 500;

/**
 * Starts writing checkpoints: after a number of records or an interval, whichever comes first.
 *
 * @param options - the log writer, the current state and the leadership of this instance
 * @param owner - stops the task when disposed of
 */
export const createCheckpointTask = (options: CheckpointTaskOptions, owner: foundation.Owner): void => {
    const { timers } = options;
    let lastCheckpointAt = timers.now();
    let lastCheckpointOffset = -1;
    let isWriting = false;

    const writeCheckpoint = async (state: ledger.LogState): Promise<void> => {
        for (const chunk of ledger.createCheckpoint(state, crypto.randomUUID())) {
            const result = await options.writer.write(chunk);
            if (result.err) {
                options.logger.warning("Could not write a checkpoint.", { reason: result.val.message });
                return;
            }
            lastCheckpointOffset = result.val;
        }
        lastCheckpointAt = timers.now();
        options.logger.debug("Wrote a checkpoint.", { upTo: state.offset });
    };

    const writeIfDue = async (): Promise<void> => {
        const state = options.state();
        if (state === undefined || isWriting || !options.isLeader()) {
            return;
        }
        const isDue = state.offset - lastCheckpointOffset >= maxRecordsBetweenCheckpoints
            || (timers.now() - lastCheckpointAt >= maxCheckpointIntervalMilliseconds
                && state.offset > lastCheckpointOffset);
        if (isDue) {
            isWriting = true;
            await writeCheckpoint(state);
            isWriting = false;
        }
    };

    const interval = timers.onInterval(checkIntervalMilliseconds, () => void writeIfDue());
    owner.onCleanup(() => interval.cancel());
};
