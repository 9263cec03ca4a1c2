/** Output of an event log that writes many lines at a time, as each write is a system call. */
import type * as eventLog from "./eventLog";
import type * as timerService from "./timerService";

/** Output with lines that are not yet written. */
export interface BatchedSink extends eventLog.EventSink {
    /** Writes all lines, as before the process exits. */
    flush: () => void;
}

/** Longest time for which a line is kept, in milliseconds. */
const maxDelayMilliseconds = 100;
/** Characters from which lines are written at once. */
const maxBatchLength = 16 * 1024;

/**
 * Creates a sink without lines.
 *
 * @param target - receives the lines in batches
 * @param timers - the timer service
 * @returns the sink
 */
export const createBatchedSink = (target: eventLog.EventSink, timers: timerService.TimerService): BatchedSink => {
    let lines: string[] = [];
    let length = 0;
    let scheduled: timerService.Subscription | undefined;
    const flush = (): void => {
        scheduled?.cancel();
        scheduled = undefined;
        if (length > 0) {
            target.write(lines.join(""));
            lines = [];
            length = 0;
        }
    };
    return {
        write: line => {
            lines.push(line);
            length += line.length;
            if (length >= maxBatchLength) {
                flush();
                return;
            }
            scheduled ??= timers.onDelay(maxDelayMilliseconds, flush);
        },
        pendingBytes: () => target.pendingBytes() + length,
        flush,
    };
};
