/** HTTP client of the platform's log service. */
import * as tsResults from "ts-results";
import * as undici from "undici";

/** Kinds of log service errors. */
export const LogErrorKind = {
    /** The service was unreachable, timed out or sent a 5xx status or bad JSON. An append may have taken effect. */
    unavailable: "unavailable",
    /** The service rejected the request with a 4xx status. */
    refused: "refused",
} as const;

/** An error of the log service. */
export interface LogError {
    kind: typeof LogErrorKind[keyof typeof LogErrorKind];
    message: string;
}

/** An unvalidated record and its offset. */
export interface LogEntry {
    offset: number;
    value: unknown;
}

/** A page of log entries. */
export interface LogPage {
    /** Offset of the oldest retained record. */
    oldestOffset: number;
    /** Offset that the next appended record will get. */
    nextOffset: number;
    records: LogEntry[];
}

/** Reads and appends the records of one stream. */
export interface LogClient {
    /** Appends a record and returns its offset. */
    append: (value: object) => Promise<tsResults.Result<number, LogError>>;
    /** Reads a page that starts at an offset. Waits for up to `waitMilliseconds` if there are no such records yet. */
    read: (fromOffset: number, waitMilliseconds: number) => Promise<tsResults.Result<LogPage, LogError>>;
}

/** Options of a log client. */
export interface LogClientOptions {
    /** Base URL of the log service. */
    url: string;
    stream: string;
    /** Timeout of a request, in addition to the requested wait. */
    timeoutMilliseconds?: number;
    /** Connection pool to use. The creator of the dispatcher closes it. */
    dispatcher?: undici.Dispatcher;
}

const defaultTimeoutMilliseconds = 1500;
const maxPageRecords = 500;

/**
 * Creates a client of the log service.
 *
 * @param options - address of the service, stream, timeout and connection pool
 * @returns the client
 */
export const createLogClient = (options: LogClientOptions): LogClient => {
    const timeoutMilliseconds = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
    const recordsUrl = `${options.url.replace(/\/$/, "")}/streams/${options.stream}/records`;

    const sendRequest = async <T>(
        url: string,
        waitMilliseconds: number,
        body?: object,
    ): Promise<tsResults.Result<T, LogError>> => {
        try {
            const response = await undici.request(url, {
                method: body === undefined ? "GET" : "POST",
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(timeoutMilliseconds + waitMilliseconds),
                dispatcher: options.dispatcher,
            });
            const text = await response.body.text();
            if (response.statusCode >= 500) {
                return tsResults.Err({ kind: LogErrorKind.unavailable, message: `status ${response.statusCode}` });
            }
            if (response.statusCode >= 400) {
                return tsResults.Err({ kind: LogErrorKind.refused, message: `status ${response.statusCode}: ${text}` });
            }
            return tsResults.Ok(JSON.parse(text) as T);
        }
        catch (error) {
            return tsResults.Err({ kind: LogErrorKind.unavailable, message: (error as Error).message });
        }
    };

    return {
        append: async value =>
            (await sendRequest<{ offset: number; }>(recordsUrl, 0, value)).map(response => response.offset),
        read: (fromOffset, waitMilliseconds) => {
            const query = `from=${fromOffset}&limit=${maxPageRecords}&waitMilliseconds=${waitMilliseconds}`;
            return sendRequest<LogPage>(`${recordsUrl}?${query}`, waitMilliseconds);
        },
    };
};
