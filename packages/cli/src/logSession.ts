/** A short session of an operator with the log: read to the end, write one record, see what became of it. */
import { createTimerService } from "@mulberryseam/foundation";
import {
    createLogClient,
    createLogFollower,
    createLogWriter,
    type EnvironmentVersion,
    type LogState,
    type RecordBody,
    type WriteError,
} from "@mulberryseam/ledger";
import * as crypto from "node:crypto";
import { Err, Ok, type Result } from "ts-results";

/** Where the log is. */
export interface LogSessionOptions {
    url: string;
    stream: string;
}

/** A session with the log. */
export interface LogSession {
    /** Reads to the end of the log. */
    readToEnd: () => Promise<Result<LogState, string>>;
    /** Writes a record and reads on until its outcome is known. */
    write: (body: RecordBody) => Promise<Result<number, WriteError>>;
}

const pollMilliseconds = 200;

/**
 * Gives the version of an environment, -1 where it has none.
 *
 * @param state - the folded log
 * @param environment - name of the environment
 * @returns its version
 */
export const versionOf = (state: LogState, environment: string): number =>
    state.environments.find((entry: EnvironmentVersion) => entry.environment === environment)?.version ?? -1;

/**
 * Creates a session.
 *
 * @param options - where the log is
 * @returns the session
 */
export const createLogSession = (options: LogSessionOptions): LogSession => {
    const timers = createTimerService();
    const client = createLogClient(options);
    const follower = createLogFollower();
    const writer = createLogWriter({ client, timers, writer: `operator#${crypto.randomUUID()}` });

    const readPage = async (waitMilliseconds: number): Promise<Result<boolean, string>> => {
        const page = await client.read(follower.nextOffset(), waitMilliseconds);
        if (page.err) {
            return Err(`the log service does not answer: ${page.val.message}`);
        }
        follower.takePage(page.val).forEach(writer.takeFolded);
        return Ok(follower.nextOffset() >= page.val.nextOffset);
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
                    return state === undefined ? Err("the log holds no whole checkpoint to start from") : Ok(state);
                }
            }
        },
        write: async body => {
            let result: Result<number, WriteError> | undefined;
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
