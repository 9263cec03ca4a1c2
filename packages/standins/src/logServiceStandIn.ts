/**
 * Stand-in for the platform's log service: append-only streams with offsets, limited retention, and faults that tests
 * switch on and off at run time.
 */
import type * as foundation from "@mulberryseam/foundation";
import * as consumers from "node:stream/consumers";
import * as timers from "node:timers/promises";
import * as httpServer from "./httpServer";

/** Faults that can be injected into the log service. */
export interface LogFaults {
    /** Every request fails with status 503. */
    isDown: boolean;
    /** Delay added to every request. */
    delayMilliseconds: number;
    /** Appends take effect but respond with status 503, as if the response had been lost. */
    losesAnswers: boolean;
}

interface StoredRecord {
    offset: number;
    value: unknown;
    storedAt: number;
}

interface ReadPage {
    oldestOffset: number;
    nextOffset: number;
    records: { offset: number; value: unknown; }[];
}

/** An in-memory stream of records. */
export interface LogStore {
    /** Appends a value and returns its offset. */
    append: (value: unknown, now: number) => number;
    /** Returns up to `limit` records from an offset on; starts at the oldest record if the offset has expired. */
    read: (from: number, limit: number) => ReadPage;
    /** Drops records stored before a time. */
    expire: (before: number) => void;
    /** Keeps only the newest records. */
    keepLatest: (count: number) => void;
    /** Calls back once, at the next append. Returns a function that cancels the callback. */
    onNextAppend: (callback: () => void) => () => void;
}

/**
 * Creates a log store.
 *
 * @returns an empty store
 */
export const createLogStore = (): LogStore => {
    let records: StoredRecord[] = [];
    let nextOffset = 0;
    const appendCallbacks = new Set<() => void>();
    return {
        append: (value, now) => {
            const offset = nextOffset++;
            records.push({ offset, value, storedAt: now });
            const callbacks = [...appendCallbacks];
            appendCallbacks.clear();
            callbacks.forEach(callback => callback());
            return offset;
        },
        read: (from, limit) => {
            const oldestOffset = records[0]?.offset ?? nextOffset;
            const start = Math.max(0, from - oldestOffset);
            const page = records.slice(start, start + limit);
            return { oldestOffset, nextOffset, records: page.map(({ offset, value }) => ({ offset, value })) };
        },
        expire: before => {
            records = records.filter(record => record.storedAt >= before);
        },
        keepLatest: count => {
            records = records.slice(-count);
        },
        onNextAppend: callback => {
            appendCallbacks.add(callback);
            return () => appendCallbacks.delete(callback);
        },
    };
};

/** A running log service. */
export interface LogServiceStandIn {
    url: string;
    setFaults: (faults: Partial<LogFaults>) => void;
    /** Returns the number of records appended to all streams. */
    appendCount: () => number;
}

const waitForAppend = (store: LogStore, milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        const finish = (): void => {
            unsubscribe();
            clearTimeout(timeout);
            resolve();
        };
        const timeout = setTimeout(finish, milliseconds);
        const unsubscribe = store.onNextAppend(finish);
    });

/**
 * Starts a log service on loopback.
 *
 * `POST /streams/S/records` appends the JSON body. `GET /streams/S/records?from=&limit=&waitMilliseconds=` reads and
 * waits for a record if there is none. `POST /stand-in/faults` sets faults. `POST /stand-in/retention` drops all but the
 * newest records.
 *
 * @param port - the port; 0 for any free port
 * @param owner - stops the service when disposed of
 * @returns the running service
 */
export const createLogServiceStandIn = async (port: number, owner: foundation.Owner): Promise<LogServiceStandIn> => {
    const streams = new Map<string, LogStore>();
    const faults: LogFaults = { isDown: false, delayMilliseconds: 0, losesAnswers: false };
    let appendCount = 0;

    const getOrCreateStream = (name: string): LogStore => {
        const stream = streams.get(name) ?? createLogStore();
        streams.set(name, stream);
        return stream;
    };

    const server = await httpServer.listen(port, async (request, response) => {
        const url = new URL(request.url ?? "/", "http://stand-in");
        const body = request.method === "POST" ? await consumers.text(request) : "";
        if (url.pathname === "/stand-in/faults") {
            Object.assign(faults, JSON.parse(body));
            httpServer.sendJson(response, 200, faults);
            return;
        }
        if (url.pathname === "/stand-in/retention") {
            const { keepLatest } = JSON.parse(body) as { keepLatest: number; };
            streams.forEach(stream => stream.keepLatest(keepLatest));
            httpServer.sendJson(response, 200, {});
            return;
        }
        await timers.setTimeout(faults.delayMilliseconds);
        const stream = getOrCreateStream(url.pathname.split("/")[2] ?? "");
        if (faults.isDown) {
            httpServer.sendJson(response, 503, { error: "down" });
            return;
        }
        if (request.method === "POST") {
            const offset = stream.append(JSON.parse(body), Date.now());
            appendCount += 1;
            httpServer.sendJson(response, faults.losesAnswers ? 503 : 200, { offset });
            return;
        }
        const from = Number(url.searchParams.get("from"));
        const limit = Number(url.searchParams.get("limit") ?? 100);
        const waitMilliseconds = Number(url.searchParams.get("waitMilliseconds") ?? 0);
        if (waitMilliseconds > 0 && stream.read(from, 1).records.length === 0) {
            await waitForAppend(stream, waitMilliseconds);
        }
        httpServer.sendJson(response, faults.isDown ? 503 : 200, stream.read(from, limit));
    }, owner);

    return {
        url: `http://127.0.0.1:${httpServer.portOf(server)}`,
        setFaults: change => Object.assign(faults, change),
        appendCount: () => appendCount,
    };
};
