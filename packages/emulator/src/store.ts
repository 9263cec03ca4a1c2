/** A stand-in for the platform's store: topics of one partition, conditional appends, newest record of each key. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/** How the store misbehaves. */
export const StoreMode = {
    serving: "serving",
    /** Answers 503 and does nothing. */
    busy: "busy",
    /** Does what it is asked and loses the answer. */
    losing: "losing",
    /** Does nothing and says nothing. */
    silent: "silent",
} as const;

/** One of {@link StoreMode}. */
export type StoreModeValue = typeof StoreMode[keyof typeof StoreMode];

/** A running store. */
export interface EmulatedStore {
    port: number;
    /** Appends a record as an operator or an upstream does; an empty value drops the key. */
    put: (topic: string, key: string, value: string) => void;
    setMode: (mode: StoreModeValue) => void;
    /** Drops the history of a topic; the newest records stay. */
    dropHistory: (topic: string) => void;
    calls: () => number;
}

interface StoredRecord {
    key: string;
    value: Buffer;
}

interface Topic {
    records: StoredRecord[];
    first: number;
    waiting: (() => void)[];
}

const lengthBytes = 4;
const offsetBytes = 8;

const decode = (bytes: Buffer): StoredRecord[] => {
    const records: StoredRecord[] = [];
    for (let position = 0; position + lengthBytes <= bytes.length;) {
        const length = bytes.readUInt32BE(position);
        const content = bytes.subarray(position + lengthBytes, position + lengthBytes + length);
        const keyEnd = 1 + content[0];
        records.push({ key: content.subarray(1, keyEnd).toString(), value: Buffer.from(content.subarray(keyEnd)) });
        position += lengthBytes + length;
    }
    return records;
};

const encode = ({ key, value }: StoredRecord): Buffer => {
    const keyBytes = Buffer.from(key);
    const header = Buffer.alloc(lengthBytes + 1);
    header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    header.writeUInt8(keyBytes.length, lengthBytes);
    return Buffer.concat([header, keyBytes, value]);
};

/**
 * Starts a store on loopback.
 *
 * @param owner - ends it
 * @returns the store
 */
export const startEmulatedStore = async (owner: foundation.Owner): Promise<EmulatedStore> => {
    const topics = new Map<string, Topic>();
    let mode: StoreModeValue = StoreMode.serving;
    let calls = 0;
    const topicOf = (name: string): Topic => {
        const topic = topics.get(name) ?? { records: [], first: 0, waiting: [] };
        topics.set(name, topic);
        return topic;
    };
    const append = (topic: Topic, records: readonly StoredRecord[]): void => {
        topic.records.push(...records);
        topic.waiting.splice(0).forEach(wake => wake());
    };
    const answer = (response: http.ServerResponse, status: number, body: Buffer | object): void => {
        if (mode === StoreMode.losing) {
            response.destroy();
            return;
        }
        const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "content-length": bytes.length });
        response.end(bytes);
    };
    const onAppend = (query: URLSearchParams, topic: Topic, body: Buffer, response: http.ServerResponse): void => {
        const at = query.get("at") ?? undefined;
        const end = topic.records.length;
        if (at !== undefined && Number(at) !== end) {
            answer(response, 412, { end });
            return;
        }
        append(topic, decode(body));
        answer(response, 200, { offset: end, end: topic.records.length });
    };
    const onNewest = (topic: Topic, response: http.ServerResponse): void => {
        const newest = new Map<string, { value: Buffer; offset: number; }>();
        topic.records.forEach(({ key, value }, offset) => newest.set(key, { value, offset }));
        const items = [...newest]
            .filter(([, { value }]) => value.length > 0)
            .map(([key, { value, offset }]) => ({ key, value: value.toString("base64"), offset }));
        answer(response, 200, { items, more: false, end: topic.records.length });
    };
    const onRead = async (query: URLSearchParams, topic: Topic, response: http.ServerResponse): Promise<void> => {
        const from = Number(query.get("from"));
        if (from < topic.first) {
            answer(response, 410, { first: topic.first });
            return;
        }
        if (from >= topic.records.length) {
            await new Promise<void>(resolve => {
                topic.waiting.push(resolve);
                setTimeout(resolve, Number(query.get("waitMs") ?? 0)).unref();
            });
        }
        const head = Buffer.alloc(2 * offsetBytes);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        head.writeBigUInt64BE(BigInt(topic.first), offsetBytes);
        answer(response, 200, Buffer.concat([head, ...topic.records.slice(from).map(encode)]));
    };
    const server = http.createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", chunk => chunks.push(chunk as Buffer));
        request.on("end", () => {
            calls += 1;
            if (mode === StoreMode.silent) {
                return;
            }
            if (mode === StoreMode.busy) {
                answer(response, 503, {});
                return;
            }
            const url = new URL(request.url ?? "/", "http://store");
            const topic = topicOf(url.searchParams.get("topic") ?? "");
            if (url.pathname === "/mulberryseam/log-append") {
                onAppend(url.searchParams, topic, Buffer.concat(chunks), response);
            }
            else if (url.pathname === "/mulberryseam/log-newest") {
                onNewest(topic, response);
            }
            else {
                void onRead(url.searchParams, topic, response);
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
        put: (topic, key, value) => append(topicOf(topic), [{ key, value: Buffer.from(value) }]),
        setMode: next => {
            mode = next;
        },
        dropHistory: name => {
            const topic = topicOf(name);
            topic.first = topic.records.length;
        },
        calls: () => calls,
    };
};
