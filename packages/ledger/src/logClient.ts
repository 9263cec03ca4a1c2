/** Client of the platform's log service, over HTTP. */
import * as tsResults from "ts-results";
import * as undici from "undici";

/** Kinds of failure of the log service. */
export const LogErrorKind = {
    /** The service could not be reached or answered in time; an append may have taken effect. */
    unavailable: "unavailable",
    /** The service refused the call. */
    refused: "refused",
} as const;

/** A failure of the log service. */
export interface LogError {
    kind: typeof LogErrorKind[keyof typeof LogErrorKind];
    message: string;
}

/** A record and where it stands. */
export interface LogPosition {
    offset: number;
    value: unknown;
}

/** A page of records. */
export interface LogPage {
    /** Offset of the oldest record still kept. */
    oldestOffset: number;
    /** Offset that the next append will get. */
    nextOffset: number;
    records: LogPosition[];
}

/** Reads and appends records of one stream. */
export interface LogClient {
    append: (value: object) => Promise<tsResults.Result<number, LogError>>;
    /** Reads from an offset; with nothing to read, waits up to a time in milliseconds. */
    read: (from: number, waitMilliseconds: number) => Promise<tsResults.Result<LogPage, LogError>>;
}

/** Where the log service is. */
export interface LogClientOptions {
    /** Base URL of the service. */
    url: string;
    stream: string;
    /** Time an answer may take beyond any requested wait. */
    timeoutMilliseconds?: number;
    /** Connections to use; closed by whoever created it. */
    dispatcher?: undici.Dispatcher;
}

const defaultTimeoutMilliseconds = 1500;
const pageLimit = 500;

/**
 * Creates a client of the log service.
 *
 * @param options - where the service is
 * @returns the client
 */
export const createLogClient = (options: LogClientOptions): LogClient => {
    const timeout = options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
    const base = `${options.url.replace(/\/$/, "")}/streams/${options.stream}/records`;

    const call = async <T>(
        url: string,
        waitMilliseconds: number,
        body?: object,
    ): Promise<tsResults.Result<T, LogError>> => {
        try {
            const response = await undici.request(url, {
                method: body === undefined ? "GET" : "POST",
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(timeout + waitMilliseconds),
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
        append: async value => (await call<{ offset: number; }>(base, 0, value)).map(answer => answer.offset),
        read: (from, waitMilliseconds) => {
            const query = `from=${from}&limit=${pageLimit}&waitMilliseconds=${waitMilliseconds}`;
            return call<LogPage>(`${base}?${query}`, waitMilliseconds);
        },
    };
};
