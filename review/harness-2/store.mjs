/**
 * Stand-in for the platform's store, on loopback: topics with one partition, conditional appends, reads that wait, and the newest record
 * of each key. Every response states the era, which a return from a copy raises by one.
 */
import * as http from "node:http";

const lengthBytes = 4;

const decodeRecords = bytes => {
    const records = [];
    for (let position = 0; position + lengthBytes <= bytes.length;) {
        const end = position + lengthBytes + bytes.readUInt32BE(position);
        const content = bytes.subarray(position + lengthBytes, end);
        const keyEnd = 1 + content[0];
        records.push({ key: content.subarray(1, keyEnd).toString(), value: Buffer.from(content.subarray(keyEnd)) });
        position = end;
    }
    return records;
};

const encodeRecord = ({ key, value }) => {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(lengthBytes + 1);
    head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    head.writeUInt8(keyBytes.length, lengthBytes);
    return Buffer.concat([head, keyBytes, value]);
};

/**
 * Starts a store.
 *
 * @param onCleanup - called with the function that closes it
 * @returns the store; `put` writes a record of the operator or of an upstream
 */
export const startStore = async onCleanup => {
    const topics = new Map();
    /** What operators and upstreams have written, which they write again after a return from a copy. */
    const outsideWrites = [];
    const appendListeners = [];
    let era = 1;
    let isAway = false;
    const topicOf = name => {
        const topic = topics.get(name) ?? { records: [], waiters: new Set() };
        topics.set(name, topic);
        return topic;
    };
    const append = (name, records) => {
        const topic = topicOf(name);
        records.forEach(record => topic.records.push({ ...record, at: performance.now() }));
        appendListeners.forEach(listener => listener(name, records));
        [...topic.waiters].forEach(notify => notify());
    };
    const respond = (response, status, body) => {
        if (isAway || response.destroyed) {
            response.destroy();
            return;
        }
        const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "Store-Era": String(era), "Content-Length": bytes.length });
        response.end(bytes);
    };
    const handleAppend = (query, body, response) => {
        const topic = topicOf(query.get("topic"));
        const end = topic.records.length;
        if (query.has("at") && Number(query.get("at")) !== end) {
            respond(response, 412, { end });
            return;
        }
        append(query.get("topic"), decodeRecords(body));
        respond(response, 200, { offset: end, end: topic.records.length });
    };
    const handleNewest = (query, response) => {
        const { records } = topicOf(query.get("topic"));
        const newest = new Map();
        records.forEach(({ key, value }, offset) => newest.set(key, { key, value, offset }));
        const items = [...newest.values()]
            .filter(({ value }) => value.length > 0)
            .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
        respond(response, 200, { items, more: false, end: records.length });
    };
    const handleRead = async (query, response) => {
        const topic = topicOf(query.get("topic"));
        const from = Number(query.get("from"));
        if (from === topic.records.length && Number(query.get("waitMs") ?? 0) > 0) {
            await new Promise(resolve => {
                const notify = () => {
                    clearTimeout(timeout);
                    topic.waiters.delete(notify);
                    resolve();
                };
                const timeout = setTimeout(notify, Number(query.get("waitMs")));
                topic.waiters.add(notify);
            });
        }
        if (from > topic.records.length) {
            respond(response, 410, { first: 0 });
            return;
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        respond(response, 200, Buffer.concat([head, ...topic.records.slice(from).map(encodeRecord)]));
    };
    const server = http.createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            if (isAway) {
                response.destroy();
                return;
            }
            const { pathname, searchParams } = new URL(request.url, "http://store");
            if (pathname === "/mulberryseam/log-append") {
                handleAppend(searchParams, Buffer.concat(chunks), response);
            }
            else if (pathname === "/mulberryseam/log-newest") {
                handleNewest(searchParams, response);
            }
            else {
                void handleRead(searchParams, response);
            }
        });
        request.on("error", () => undefined);
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    onCleanup(() => server.closeAllConnections());
    return {
        port: server.address().port,
        put: (topic, key, value) => {
            const write = { topic, key, value: Buffer.from(value), at: performance.now() };
            outsideWrites.push(write);
            if (!isAway) {
                append(topic, [{ key, value: write.value }]);
            }
        },
        onAppend: listener => appendListeners.push(listener),
        /** The store goes away: it resets its connections and every new one. */
        leave: () => {
            isAway = true;
            server.closeAllConnections();
        },
        /**
         * The store comes back from the copy that was made at `copiedAt`. Operators and upstreams write again what they wrote since: the
         * newest record of each key, as one that it has replaced says nothing any more.
         */
        returnFromCopy: copiedAt => {
            for (const topic of topics.values()) {
                topic.records = topic.records.filter(({ at }) => at <= copiedAt);
            }
            era += 1;
            isAway = false;
            const lost = outsideWrites.filter(({ at }) => at > copiedAt);
            const newest = new Map(lost.map(write => [`${write.topic} ${write.key}`, write]));
            newest.forEach(({ topic, key, value }) => append(topic, [{ key, value }]));
        },
        endOf: topic => topicOf(topic).records.length,
    };
};
