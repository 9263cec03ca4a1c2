/**
 * Stand-in for the platform's store, written from its published protocol: partition 0 of each topic, conditional appends, reads
 * from an offset that wait for records, and the newest record of each key.
 */
import * as http from "node:http";

const pageRecords = 500;

const decode = bytes => {
    const records = [];
    for (let position = 0; position + 4 <= bytes.length;) {
        const end = position + 4 + bytes.readUInt32BE(position);
        const content = bytes.subarray(position + 4, end);
        const keyEnd = 1 + content[0];
        records.push({ key: content.subarray(1, keyEnd).toString(), value: Buffer.from(content.subarray(keyEnd)) });
        position = end;
    }
    return records;
};

const encode = ({ key, value }) => {
    const keyBytes = Buffer.from(key);
    const header = Buffer.alloc(5);
    header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    header.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([header, keyBytes, value]);
};

/** Starts a store on a free port of 127.0.0.1. */
export const startStore = async () => {
    const topics = new Map();
    let isDown = false;
    const topicOf = name => {
        const topic = topics.get(name) ?? { records: [], waiters: [] };
        topics.set(name, topic);
        return topic;
    };
    const append = (topic, records) => {
        topic.records.push(...records);
        topic.waiters.splice(0).forEach(notify => notify());
    };
    const respond = (response, status, body) => {
        const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "content-length": bytes.length });
        response.end(bytes);
    };
    const read = async (topic, from, waitMilliseconds, response) => {
        if (from >= topic.records.length && waitMilliseconds > 0) {
            await new Promise(resolve => {
                topic.waiters.push(resolve);
                setTimeout(resolve, waitMilliseconds).unref();
            });
        }
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(topic.records.length), 0);
        respond(response, 200, Buffer.concat([header, ...topic.records.slice(from).map(encode)]));
    };
    const readNewest = (topic, after, response) => {
        const newest = new Map();
        topic.records.forEach(({ key, value }, offset) => newest.set(key, { value, offset }));
        const keys = [...newest.keys()].filter(key => newest.get(key).value.length > 0 && (after === null || key > after))
            .sort();
        const items = keys.slice(0, pageRecords).map(key => ({
            key,
            value: newest.get(key).value.toString("base64"),
            offset: newest.get(key).offset,
        }));
        respond(response, 200, { items, more: keys.length > pageRecords, end: topic.records.length });
    };
    const listen = isRefused => {
        const server = http.createServer((request, response) => handle(request, response, isRefused));
        servers.push(server);
        return new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve(server.address().port)));
    };
    const servers = [];
    const handle = (request, response, isRefused) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            if (isRefused()) {
                respond(response, 503, {});
                return;
            }
            const url = new URL(request.url, "http://store");
            const topic = topicOf(url.searchParams.get("topic"));
            if (url.pathname === "/mulberryseam/log-append") {
                const at = url.searchParams.get("at");
                const offset = topic.records.length;
                if (at !== null && Number(at) !== offset) {
                    respond(response, 412, { end: offset });
                    return;
                }
                append(topic, decode(Buffer.concat(chunks)));
                respond(response, 200, { offset, end: topic.records.length });
            }
            else if (url.pathname === "/mulberryseam/log-newest") {
                readNewest(topic, url.searchParams.get("after"), response);
            }
            else if (url.pathname === "/mulberryseam/log-read") {
                const { searchParams } = url;
                void read(topic, Number(searchParams.get("from")), Number(searchParams.get("waitMs") ?? 0), response);
            }
            else {
                respond(response, 404, {});
            }
        });
    };
    return {
        port: await listen(() => isDown),
        /** Opens an address for one instance, which the store can turn away while it serves the others. */
        openFor: async () => {
            let isTurnedAway = false;
            const port = await listen(() => isDown || isTurnedAway);
            return { port, setTurnedAway: value => {
                isTurnedAway = value;
            } };
        },
        /** Appends a record as an operator or an upstream does; an empty value removes the key. */
        put: (name, key, value) => append(topicOf(name), [{ key, value: Buffer.from(value) }]),
        /** Refuses every call with 503, which says that nothing was done. */
        setDown: value => {
            isDown = value;
        },
        /** Returns the newest value of a key. */
        newest: (name, key) => topicOf(name).records.findLast(record => record.key === key)?.value,
        close: () => {
            servers.forEach(server => {
                server.close();
                server.closeAllConnections();
            });
        },
    };
};
