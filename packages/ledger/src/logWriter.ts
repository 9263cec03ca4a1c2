/**
 * Appends records one at a time. An append whose answer is lost is repeated under the same identifier until the
 * record is read back; a record counts as accepted only then.
 */
import type * as foundation from "@mulberryseam/foundation";
import * as tsResults from "ts-results";
import * as fold from "./fold";
import * as logClient from "./logClient";
import type * as logFollower from "./logFollower";
import type * as records from "./records";

/** Why a write did not take effect, or is not known to have. */
export interface WriteError {
    kind: "refused" | "unknown";
    message: string;
}

/** Writes records and learns from the reader what became of them. */
export interface LogWriter {
    /**
     * Appends a record and waits until it is read back.
     *
     * @returns the offset of the accepted record; `refused` when the fold or the service refused it; `unknown` when
     * it was not read back before the time was up
     */
    write: (body: records.RecordBody) => Promise<tsResults.Result<number, WriteError>>;
    /** Tells the writer of a folded record. */
    takeFolded: (folded: logFollower.FoldedRecord) => void;
}

/** How a writer behaves. */
export interface LogWriterOptions {
    client: logClient.LogClient;
    timers: foundation.TimerService;
    /** Identifies the writer across all processes and restarts. */
    writer: string;
    /** Time after which an append is repeated. */
    repeatMilliseconds?: number;
    /** Time after which the outcome is given as unknown. */
    giveUpMilliseconds?: number;
}

interface PendingWrite {
    identifier: records.RecordIdentifier;
    body: records.RecordBody;
    settle: (result: tsResults.Result<number, WriteError>) => void;
}

const defaultRepeatMilliseconds = 1000;
const defaultGiveUpMilliseconds = 10_000;

/**
 * Creates a writer.
 *
 * @param options - how the writer behaves
 * @returns the writer
 */
export const createLogWriter = (options: LogWriterOptions): LogWriter => {
    const { client, timers, writer } = options;
    const repeatMilliseconds = options.repeatMilliseconds ?? defaultRepeatMilliseconds;
    const giveUpMilliseconds = options.giveUpMilliseconds ?? defaultGiveUpMilliseconds;
    let sequence = 0;
    let pending: PendingWrite | undefined;
    let queue: Promise<unknown> = Promise.resolve();

    const resultOf = (outcome: fold.FoldOutcome, offset: number): tsResults.Result<number, WriteError> =>
        outcome.kind === fold.OutcomeKind.refused
            ? tsResults.Err({ kind: "refused", message: outcome.reason })
            : tsResults.Ok(offset);

    const send = async (write: PendingWrite): Promise<void> => {
        const answer = await client.append({ identifier: write.identifier, body: write.body });
        const isRefused = answer.err && answer.val.kind === logClient.LogErrorKind.refused;
        if (isRefused && pending === write) {
            write.settle(tsResults.Err({ kind: "refused", message: answer.val.message }));
        }
    };

    const start = (body: records.RecordBody): Promise<tsResults.Result<number, WriteError>> =>
        new Promise(resolve => {
            const write: PendingWrite = {
                identifier: { writer, sequence: sequence++ },
                body,
                settle: result => {
                    pending = undefined;
                    repeat.cancel();
                    giveUp.cancel();
                    resolve(result);
                },
            };
            const repeat = timers.onInterval(repeatMilliseconds, () => void send(write));
            const giveUp = timers.onDelay(giveUpMilliseconds, () => {
                write.settle(tsResults.Err({ kind: "unknown", message: "the record was not read back in time" }));
            });
            pending = write;
            void send(write);
        });

    return {
        write: body => {
            const result = queue.then(() => start(body));
            queue = result;
            return result;
        },
        takeFolded: ({ offset, record, outcome }) => {
            const isOwn = pending !== undefined && record.identifier.writer === writer
                && record.identifier.sequence === pending.identifier.sequence;
            if (isOwn) {
                pending?.settle(resultOf(outcome, offset));
            }
        },
    };
};
