/** A short session of an operator with the log: read to the end, write one record, see what became of it. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";
import * as crypto from "node:crypto";
import * as tsResults from "ts-results";

/** Where the log is. */
export interface LogSessionOptions {
    url: string;
    stream: string;
}

/** A session with the log. */
export interface LogSession {
    /** Reads to the end of the log. */
    readToEnd: () => Promise<tsResults.Result<ledger.LogState, string>>;
    /** Writes a record and reads on until its outcome is known. */
    write: (body: ledger.RecordBody) => Promise<tsResults.Result<number, ledger.WriteError>>;
}

const pollMilliseconds = 200;

/**
 * Gives the version of an environment, -1 where it has none.
 *
 * @param state - the folded log
 * @param environment - name of the environment
 * @returns its version
 */
export const versionOf = (state: ledger.LogState, environment: string): number =>
    state.environments.find((entry: ledger.EnvironmentVersion) => entry.environment === environment)?.version ?? -1;

/**
 * Creates a session.
 *
 * @param options - where the log is
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
                const isEnd = await readPage(0);
                if (isEnd.err) {
                    return isEnd;
                }
                const state = follower.state();
                if (isEnd.val) {
                    return state === undefined
                        ? tsResults.Err("the log holds no whole checkpoint to start from")
                        : tsResults.Ok(state);
                }
            }
        },
        write: async body => {
            let result: tsResults.Result<number, ledger.WriteError> | undefined;
            const writing = writer.write(body).then(written => {
                result = written;
            });
            while (result === undefined) {
                await Promise.race([writing, readPage(pollMilliseconds)]);
            }
            return result;
        },
    };
};
