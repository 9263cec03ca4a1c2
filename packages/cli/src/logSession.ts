/** A short-lived session of an operator with the log: reads to the end, writes a record and waits for its outcome. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as crypto from "node:crypto";
import * as tsResults from "ts-results";

/** Location of the log. */
export interface LogSessionOptions {
    url: string;
    stream: string;
}

/** A session with the log. */
export interface LogSession {
    /** Reads to the end of the log and returns the resulting state. */
    readToEnd: () => Promise<tsResults.Result<ledger.LogState, string>>;
    /** Writes a record and keeps reading until its outcome is known. */
    write: (body: ledger.RecordBody) => Promise<tsResults.Result<number, ledger.WriteError>>;
}

/** Time for which the log service may hold a read open while waiting for records, in milliseconds. */
const longPollMilliseconds = 200;

/**
 * Returns the version of an environment, or -1 if no document was published to it.
 *
 * @param state - state of the log
 * @param environment - name of the environment
 * @returns the version
 */
export const versionOf = (state: ledger.LogState, environment: string): number =>
    state.environments.find((entry: ledger.EnvironmentVersion) => entry.environment === environment)?.version ?? -1;

/**
 * Creates a session with the log.
 *
 * @param options - location of the log
 * @returns the session
 */
export const createLogSession = (options: LogSessionOptions): LogSession => {
    const timers = foundation.createTimerService();
    const client = ledger.createLogClient(options);
    const follower = ledger.createLogFollower();
    const writer = ledger.createLogWriter({ client, timers, writer: `operator#${crypto.randomUUID()}` });

    const readPage = async (waitMilliseconds: number): Promise<tsResults.Result<boolean, string>> => {
        const page = await client.read(follower.nextOffset(), waitMilliseconds);
        if (page.err) {
            return tsResults.Err(`the log service does not answer: ${page.val.message}`);
        }
        follower.applyPage(page.val).forEach(writer.notifyApplied);
        return tsResults.Ok(follower.nextOffset() >= page.val.nextOffset);
    };

    return {
        readToEnd: async () => {
            for (;;) {
                const hasReachedEnd = await readPage(0);
                if (hasReachedEnd.err) {
                    return hasReachedEnd;
                }
                const state = follower.state();
                if (hasReachedEnd.val) {
                    return state === undefined
                        ? tsResults.Err("the log holds no whole checkpoint to start from")
                        : tsResults.Ok(state);
                }
            }
        },
        write: async body => {
            let result: tsResults.Result<number, ledger.WriteError> | undefined;
            const pendingWrite = writer.write(body).then(outcome => {
                result = outcome;
            });
            while (result === undefined) {
                await Promise.race([pendingWrite, readPage(longPollMilliseconds)]);
            }
            return result;
        },
    };
};
