/**
 * Appends records one at a time. An append is retried with the same record identifier until the record is read back
 * from the log, because a lost response leaves open whether the append took effect. A record counts as accepted only
 * after it was read back.
 */
import type * as foundation from "@mulberryseam/foundation";
import * as tsResults from "ts-results";
import * as applyRecord from "./applyRecord";
import * as logClient from "./logClient";
import type * as logFollower from "./logFollower";
import type * as records from "./records";

/** Reason why a write was refused or why its outcome is unknown. */
export interface WriteError {
    kind: "refused" | "unknown";
    message: string;
}

/** Writes records and determines their outcome from the records that a log follower applies. */
export interface LogWriter {
    /**
     * Appends a record and waits until it is read back.
     *
     * @returns the offset of the accepted record; `refused` if the record was refused when applied or by the log
     * service; `unknown` if it was not read back before the timeout
     */
    write: (body: records.RecordBody) => Promise<tsResults.Result<number, WriteError>>;
    /** Settles the pending write if `applied` is its record. Must be called for every record that is applied. */
    notifyApplied: (applied: logFollower.AppliedRecord) => void;
}

/** Options of a log writer. */
export interface LogWriterOptions {
    client: logClient.LogClient;
    timers: foundation.TimerService;
    /** Identifier of the writer, unique across processes and restarts. */
    writer: string;
    /** Interval between retries of an append. */
    retryIntervalMilliseconds?: number;
    /** Time after which the outcome is reported as unknown. */
    timeoutMilliseconds?: number;
}

interface PendingWrite {
    identifier: records.RecordIdentifier;
    body: records.RecordBody;
    settle: (result: tsResults.Result<number, WriteError>) => void;
}

const defaultRetryIntervalMilliseconds = 1000;
const defaultTimeoutMilliseconds = 10_000;

/**
 * Creates a log writer.
 *
 * @param options - client, timers, writer identifier, retry interval and timeout
 * @returns the writer
 */
export const createLogWriter = (options: LogWriterOptions): LogWriter => {
    const { client, timers, writer } = options;
    const retryIntervalMilliseconds = options.retryIntervalMilliseconds ?? defaultRetryIntervalMilliseconds;
    const timeoutMilliseconds = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
    let sequence = 0;
    let pending: PendingWrite | undefined;
    let queue: Promise<unknown> = Promise.resolve();

    const toWriteResult = (outcome: applyRecord.RecordOutcome, offset: number): tsResults.Result<number, WriteError> =>
        outcome.kind === applyRecord.OutcomeKind.refused
            ? tsResults.Err({ kind: "refused", message: outcome.reason })
            : tsResults.Ok(offset);

    const sendAppend = async (write: PendingWrite): Promise<void> => {
        const response = await client.append({ identifier: write.identifier, body: write.body });
        const isRefused = response.err && response.val.kind === logClient.LogErrorKind.refused;
        if (isRefused && pending === write) {
            write.settle(tsResults.Err({ kind: "refused", message: response.val.message }));
        }
    };

    const startWrite = (body: records.RecordBody): Promise<tsResults.Result<number, WriteError>> =>
        new Promise(resolve => {
            const write: PendingWrite = {
                identifier: { writer, sequence: sequence++ },
                body,
                settle: result => {
                    pending = undefined;
                    retryTimer.cancel();
                    timeoutTimer.cancel();
                    resolve(result);
                },
            };
            const retryTimer = timers.onInterval(retryIntervalMilliseconds, () => void sendAppend(write));
            const timeoutTimer = timers.onDelay(timeoutMilliseconds, () => {
                write.settle(tsResults.Err({ kind: "unknown", message: "the record was not read back in time" }));
            });
            pending = write;
            void sendAppend(write);
        });

    return {
        write: body => {
            const result = queue.then(() => startWrite(body));
            queue = result;
            return result;
        },
        notifyApplied: ({ offset, record, outcome }) => {
            const isPendingRecord = pending !== undefined && record.identifier.writer === writer
                && record.identifier.sequence === pending.identifier.sequence;
            if (isPendingRecord) {
                pending?.settle(toWriteResult(outcome, offset));
            }
        },
    };
};
