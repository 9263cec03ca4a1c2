/**
 * Stand-in for the platform's log service: append-only streams with offsets, limited retention, and faults that can be
 * switched on while it runs.
 */
import type * as foundation from "@mulberryseam/foundation";
import * as consumers from "node:stream/consumers";
import * as timers from "node:timers/promises";
import * as httpServer from "./httpServer";

/** Faults of the service. */
export interface LogFaults {
    /** Every call fails with status 503. */
    isDown: boolean;
    /** Time added to every call. */
    delayMilliseconds: number;
    /** Appends take effect and then fail with status 503. */
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

/** Records in memory. */
export interface LogStore {
    append: (value: unknown, now: number) => number;
    read: (from: number, limit: number) => ReadPage;
    /** Drops records stored before an instant. */
    expire: (before: number) => void;
    /** Keeps only the newest records. */
    keepLatest: (count: number) => void;
    /** Calls back once at the next append. */
    onAppend: (callback: () => void) => () => void;
}

/**
 * Creates a store.
 *
 * @returns an empty stream
 */
export const createLogStore = (): LogStore => {
    let records: StoredRecord[] = [];
    let nextOffset = 0;
    const waiting = new Set<() => void>();
    return {
        append: (value, now) => {
            const offset = nextOffset++;
            records.push({ offset, value, storedAt: now });
            const callbacks = [...waiting];
            waiting.clear();
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
        onAppend: callback => {
            waiting.add(callback);
            return () => waiting.delete(callback);
        },
    };
};

/** A running log service. */
export interface LogServiceStandIn {
    url: string;
    setFaults: (faults: Partial<LogFaults>) => void;
    appendCount: () => number;
}

const waitForAppend = (store: LogStore, milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        const finish = (): void => {
            withdraw();
            clearTimeout(timeout);
            resolve();
        };
        const timeout = setTimeout(finish, milliseconds);
        const withdraw = store.onAppend(finish);
    });

/**
 * Starts a log service on loopback.
 *
 * `POST /streams/S/records` appends the JSON body; `GET /streams/S/records?from=&limit=&waitMilliseconds=` reads;
 * `POST /stand-in/faults` switches faults and `POST /stand-in/retention` drops all but the newest records.
 *
 * @param port - the port, 0 for any
 * @param owner - stops the service
 * @returns the running service
 */
export const createLogServiceStandIn = async (port: number, owner: foundation.Owner): Promise<LogServiceStandIn> => {
    const streams = new Map<string, LogStore>();
    const faults: LogFaults = { isDown: false, delayMilliseconds: 0, losesAnswers: false };
    let appendCount = 0;

    const streamOf = (name: string): LogStore => {
        const stream = streams.get(name) ?? createLogStore();
        streams.set(name, stream);
        return stream;
    };

    const server = await httpServer.listen(port, async (request, response) => {
        const url = new URL(request.url ?? "/", "http://stand-in");
        const body = request.method === "POST" ? await consumers.text(request) : "";
        if (url.pathname === "/stand-in/faults") {
            Object.assign(faults, JSON.parse(body));
            httpServer.answerJson(response, 200, faults);
            return;
        }
        if (url.pathname === "/stand-in/retention") {
            const { keepLatest } = JSON.parse(body) as { keepLatest: number; };
            streams.forEach(stream => stream.keepLatest(keepLatest));
            httpServer.answerJson(response, 200, {});
            return;
        }
        await timers.setTimeout(faults.delayMilliseconds);
        const stream = streamOf(url.pathname.split("/")[2] ?? "");
        if (faults.isDown) {
            httpServer.answerJson(response, 503, { error: "down" });
            return;
        }
        if (request.method === "POST") {
            const offset = stream.append(JSON.parse(body), Date.now());
            appendCount += 1;
            httpServer.answerJson(response, faults.losesAnswers ? 503 : 200, { offset });
            return;
        }
        const from = Number(url.searchParams.get("from"));
        const limit = Number(url.searchParams.get("limit") ?? 100);
        const wait = Number(url.searchParams.get("waitMilliseconds") ?? 0);
        if (wait > 0 && stream.read(from, 1).records.length === 0) {
            await waitForAppend(stream, wait);
        }
        httpServer.answerJson(response, faults.isDown ? 503 : 200, stream.read(from, limit));
    }, owner);

    return {
        url: `http://127.0.0.1:${httpServer.portOf(server)}`,
        setFaults: change => Object.assign(faults, change),
        appendCount: () => appendCount,
    };
};
