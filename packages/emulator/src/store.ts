/** Emulates the platform's log store: single-partition topics, conditional appends and the newest record of each key. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/** Fault modes of the store. */
export const StoreMode = {
    serving: "serving",
    /** Responds with status 503 and processes nothing. */
    busy: "busy",
    /** Processes each request but closes the connection instead of responding. */
    losing: "losing",
    /** Neither processes requests nor responds. */
    silent: "silent",
    /** Resets its connections and every new one. */
    away: "away",
} as const;

/** A value of {@link StoreMode}. */
export type StoreModeValue = typeof StoreMode[keyof typeof StoreMode];

/** A running emulated store. */
export interface EmulatedStore {
    port: number;
    /** Appends a record on behalf of an operator or an upstream; an empty value deletes the key. */
    put: (topic: string, key: string, value: string | Buffer) => void;
    setMode: (mode: StoreModeValue) => void;
    /** Discards the history of a topic but keeps the newest record of each key. */
    dropHistory: (topic: string) => void;
    /**
     * Returns from a copy that is as old as told, in milliseconds, and starts the next era. Records that were put since are put again after a
     * delay, the newest one of each key.
     */
    returnFromCopy: (ageMilliseconds: number, rewriteDelayMilliseconds: number) => void;
    /** Returns the number of requests received. */
    requestCount: () => number;
}

interface EncodedRecord {
    key: string;
    value: Buffer;
}

interface StoredRecord extends EncodedRecord {
    appendedAt: number;
    /** Whether an operator or an upstream has put it. */
    isPut: boolean;
}

interface Topic {
    records: StoredRecord[];
    firstOffset: number;
    waiters: (() => void)[];
}

const lengthBytes = 4;
const offsetBytes = 8;

const decodeRecords = (bytes: Buffer): EncodedRecord[] => {
    const records: EncodedRecord[] = [];
    for (let position = 0; position + lengthBytes <= bytes.length;) {
        const length = bytes.readUInt32BE(position);
        const content = bytes.subarray(position + lengthBytes, position + lengthBytes + length);
        const keyEnd = 1 + content[0];
        records.push({ key: content.subarray(1, keyEnd).toString(), value: Buffer.from(content.subarray(keyEnd)) });
        position += lengthBytes + length;
    }
    return records;
};

const encodeRecord = ({ key, value }: EncodedRecord): Buffer => {
    const keyBytes = Buffer.from(key);
    const header = Buffer.alloc(lengthBytes + 1);
    header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    header.writeUInt8(keyBytes.length, lengthBytes);
    return Buffer.concat([header, keyBytes, value]);
};

/**
 * Starts an emulated store on a free port of 127.0.0.1.
 *
 * @param owner - closes the store on cleanup
 * @returns the running store
 */
export const startEmulatedStore = async (owner: foundation.Owner): Promise<EmulatedStore> => {
    const topics = new Map<string, Topic>();
    let mode: StoreModeValue = StoreMode.serving;
    let requestCount = 0;
    const getOrCreateTopic = (name: string): Topic => {
        const topic = topics.get(name) ?? { records: [], firstOffset: 0, waiters: [] };
        topics.set(name, topic);
        return topic;
    };
    let era = 1;
    const append = (topic: Topic, records: readonly EncodedRecord[], isPut: boolean): void => {
        topic.records.push(...records.map(record => ({ ...record, appendedAt: performance.now(), isPut })));
        topic.waiters.splice(0).forEach(notify => notify());
    };
    const sendResponse = (response: http.ServerResponse, status: number, body: Buffer | object): void => {
        if (mode === StoreMode.losing || mode === StoreMode.away) {
            response.destroy();
            return;
        }
        const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "content-length": bytes.length, "store-era": era });
        response.end(bytes);
    };
    const handleAppend = (query: URLSearchParams, topic: Topic, body: Buffer, response: http.ServerResponse): void => {
        const expectedOffset = query.get("at") ?? undefined;
        const endOffset = topic.records.length;
        if (expectedOffset !== undefined && Number(expectedOffset) !== endOffset) {
            sendResponse(response, 412, { end: endOffset });
            return;
        }
        append(topic, decodeRecords(body), false);
        sendResponse(response, 200, { offset: endOffset, end: topic.records.length });
    };
    const handleNewest = (topic: Topic, response: http.ServerResponse): void => {
        const newest = new Map<string, { value: Buffer; offset: number; }>();
        topic.records.forEach(({ key, value }, offset) => newest.set(key, { value, offset }));
        const items = [...newest]
            .filter(([, { value }]) => value.length > 0)
            .map(([key, { value, offset }]) => ({ key, value: value.toString("base64"), offset }));
        sendResponse(response, 200, { items, more: false, end: topic.records.length });
    };
    const handleRead = async (query: URLSearchParams, topic: Topic, response: http.ServerResponse): Promise<void> => {
        const fromOffset = Number(query.get("from"));
        const isMissing = (): boolean => fromOffset < topic.firstOffset || fromOffset > topic.records.length;
        if (!isMissing() && fromOffset === topic.records.length) {
            await new Promise<void>(resolve => {
                topic.waiters.push(resolve);
                setTimeout(resolve, Number(query.get("waitMs") ?? 0)).unref();
            });
        }
        if (isMissing()) {
            sendResponse(response, 410, { first: topic.firstOffset });
            return;
        }
        const header = Buffer.alloc(2 * offsetBytes);
        header.writeBigUInt64BE(BigInt(topic.records.length), 0);
        header.writeBigUInt64BE(BigInt(topic.firstOffset), offsetBytes);
        sendResponse(response, 200, Buffer.concat([header, ...topic.records.slice(fromOffset).map(encodeRecord)]));
    };
    const server = http.createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", chunk => chunks.push(chunk as Buffer));
        request.on("end", () => {
            requestCount += 1;
            if (mode === StoreMode.silent) {
                return;
            }
            if (mode === StoreMode.away) {
                response.destroy();
                return;
            }
            if (mode === StoreMode.busy) {
                sendResponse(response, 503, {});
                return;
            }
            const url = new URL(request.url ?? "/", "http://store");
            const topic = getOrCreateTopic(url.searchParams.get("topic") ?? "");
            if (url.pathname === "/mulberryseam/log-append") {
                handleAppend(url.searchParams, topic, Buffer.concat(chunks), response);
            }
            else if (url.pathname === "/mulberryseam/log-newest") {
                handleNewest(topic, response);
            }
            else {
                void handleRead(url.searchParams, topic, response);
            }
        });
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });
    return {
        port: (server.address() as net.AddressInfo).port,
        put: (topic, key, value) => append(getOrCreateTopic(topic), [{ key, value: Buffer.from(value) }], true),
        setMode: newMode => {
            mode = newMode;
            if (mode === StoreMode.away) {
                server.closeAllConnections();
            }
        },
        returnFromCopy: (ageMilliseconds, rewriteDelayMilliseconds) => {
            const copiedAt = performance.now() - ageMilliseconds;
            const putAgain: (() => void)[] = [];
            for (const topic of topics.values()) {
                const lost = topic.records.filter(({ appendedAt }) => appendedAt > copiedAt);
                topic.records = topic.records.filter(({ appendedAt }) => appendedAt <= copiedAt);
                topic.firstOffset = Math.min(topic.firstOffset, topic.records.length);
                const newest = new Map(lost.filter(({ isPut }) => isPut).map(record => [record.key, record]));
                for (const record of newest.values()) {
                    putAgain.push(() => {
                        // A record that was put meanwhile is newer.
                        if (!topic.records.some(({ key, appendedAt }) => key === record.key && appendedAt > copiedAt)) {
                            append(topic, [record], true);
                        }
                    });
                }
            }
            era += 1;
            mode = StoreMode.serving;
            topics.forEach(topic => topic.waiters.splice(0).forEach(notify => notify()));
            if (rewriteDelayMilliseconds === 0) {
                putAgain.forEach(put => put());
            }
            else {
                setTimeout(() => putAgain.forEach(put => put()), rewriteDelayMilliseconds).unref();
            }
        },
        dropHistory: name => {
            const topic = getOrCreateTopic(name);
            topic.firstOffset = topic.records.length;
        },
        requestCount: () => requestCount,
    };
};
