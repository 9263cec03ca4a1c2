/** Keeps an exception in one part of a process from ending the process. */
import type * as eventLog from "./eventLog";

/** Records exceptions of the parts of a process. Its functions never throw. */
export interface FailureBoundary {
    /** Records an exception; the fields tell which input it was thrown for. */
    report: (part: string, error: unknown, fields?: eventLog.EventFields) => void;
    /** Runs an action and records its exception; returns its result, or undefined if it throws. */
    run: <T>(part: string, action: () => T, fields?: eventLog.EventFields) => T | undefined;
    /** Records the rejection of a promise that nothing else waits for. */
    watch: (part: string, promise: Promise<unknown>, fields?: eventLog.EventFields) => void;
    /** Counts an exception that cannot be written to the log. */
    count: (part: string) => void;
    /** Number of exceptions so far, by part. */
    counts: () => ReadonlyMap<string, number>;
}

/** Limits of what an event contains, in characters: an exception may quote its whole input. */
const maxMessageLength = 300;
const maxStackLength = 1500;

const describe = (error: unknown): eventLog.EventFields => {
    if (!(error instanceof Error)) {
        return { error: typeof error, message: String(error).slice(0, maxMessageLength) };
    }
    const stackStart = (error.stack ?? "").indexOf("\n    at ");
    return {
        error: error.name,
        code: (error as NodeJS.ErrnoException).code,
        message: error.message.slice(0, maxMessageLength),
        stack: stackStart < 0 ? undefined : error.stack?.slice(stackStart + 1, stackStart + 1 + maxStackLength),
    };
};

/**
 * Creates a boundary that has recorded nothing.
 *
 * @param log - receives an event for each exception, subject to the log's rate limit
 * @returns the boundary
 */
export const createFailureBoundary = (log: eventLog.EventLog): FailureBoundary => {
    const counts = new Map<string, number>();
    const count = (part: string): void => {
        counts.set(part, (counts.get(part) ?? 0) + 1);
    };
    const report: FailureBoundary["report"] = (part, error, fields) => {
        count(part);
        try {
            log.write("internal-error", { ...fields, part, ...describe(error) });
        }
        catch {
            // Without a log, the count is all that can be kept.
        }
    };
    return {
        report,
        run: (part, action, fields) => {
            try {
                return action();
            }
            catch (error) {
                report(part, error, fields);
                return undefined;
            }
        },
        watch: (part, promise, fields) => {
            promise.catch(error => report(part, error, fields));
        },
        count,
        counts: () => counts,
    };
};

/**
 * Creates a boundary for tests, which lets every exception pass.
 *
 * @returns the boundary
 */
export const createTransparentFailureBoundary = (): FailureBoundary => ({
    report: (...[, error]) => {
        throw error;
    },
    run: (...[, action]) => action(),
    watch: () => undefined,
    count: () => undefined,
    counts: () => new Map(),
});
