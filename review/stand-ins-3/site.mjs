/**
 * Stand-ins of the platform for the scripts of the third review: the store, the registry, upstreams, and the processes of the
 * project, which are started with the command of the deploy file. Everything listens on loopback and ends with `dispose`.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

const listen = (server, host = "127.0.0.1", port = 0) =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve(server.address().port));
    });

/** Returns the first of `count` consecutive free ports of an address. */
const reservePorts = async (count, host) => {
    for (let tries = 0; tries < 200; tries += 1) {
        const first = 20_000 + Math.floor(Math.random() * 12_000);
        const probes = [];
        try {
            for (let index = 0; index < count; index += 1) {
                const probe = net.createServer();
                probes.push(probe);
                await listen(probe, host, first + index);
            }
            return first;
        }
        catch {
            // One of them is in use.
        }
        finally {
            await Promise.all(probes.map(probe => new Promise(resolve => probe.close(() => resolve()))));
        }
    }
    throw new Error("no free ports");
};

/** Port of the metrics of an instance, which is fixed. */
const metricsPort = 9464;

/** Returns a loopback network whose first addresses have the port of the metrics free, so that cases can run side by side. */
const findNetwork = async count => {
    for (let tries = 0; tries < 50; tries += 1) {
        const network = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;
        try {
            for (let index = 1; index <= count; index += 1) {
                const probe = net.createServer();
                await listen(probe, `${network}.${index}`, metricsPort);
                await new Promise(resolve => probe.close(() => resolve()));
            }
            return network;
        }
        catch {
            // Another instance uses it.
        }
    }
    throw new Error("no free loopback network");
};

/** Creates the record of a run, which `record.txt` holds at its end. */
export const createRecord = folder => {
    const startedAt = performance.now();
    const lines = [];
    return {
        write: text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`),
        save: () => fs.writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`),
    };
};

const encodeRecord = (key, value) => {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    head.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([head, keyBytes, value]);
};

const decodeRecords = bytes => {
    const records = [];
    for (let position = 0; position + 4 <= bytes.length;) {
        const length = bytes.readUInt32BE(position);
        const content = bytes.subarray(position + 4, position + 4 + length);
        const keyEnd = 1 + content[0];
        records.push({ key: content.subarray(1, keyEnd).toString(), value: Buffer.from(content.subarray(keyEnd)) });
        position += 4 + length;
    }
    return records;
};

/** Starts a store with the calls of PROTOCOL.md that the system makes. It is linearizable and loses nothing. */
const startStore = async dispose => {
    const topics = new Map();
    const topicOf = name => {
        const topic = topics.get(name) ?? { records: [], waiters: [] };
        topics.set(name, topic);
        return topic;
    };
    const append = (topic, records) => {
        topic.records.push(...records);
        topic.waiters.splice(0).forEach(notify => notify());
    };
    const reply = (response, status, body) => {
        const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
        response.writeHead(status, { "content-length": bytes.length });
        response.end(bytes);
    };
    let isSilent = false;
    const server = http.createServer(async (request, response) => {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            // The caller has closed its connection.
            return;
        }
        if (isSilent) {
            return;
        }
        const url = new URL(request.url, "http://store");
        const topic = topicOf(url.searchParams.get("topic"));
        const end = () => topic.records.length;
        if (url.pathname === "/mulberryseam/log-append") {
            const at = url.searchParams.get("at");
            if (at !== null && Number(at) !== end()) {
                reply(response, 412, { end: end() });
                return;
            }
            const offset = end();
            append(topic, decodeRecords(Buffer.concat(chunks)));
            reply(response, 200, { offset, end: end() });
            return;
        }
        if (url.pathname === "/mulberryseam/log-newest") {
            const newest = new Map();
            topic.records.forEach(({ key, value }, offset) => newest.set(key, { key, value, offset }));
            const items = [...newest.values()].filter(({ value }) => value.length > 0)
                .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
            reply(response, 200, { items, more: false, end: end() });
            return;
        }
        if (url.pathname === "/mulberryseam/log-read") {
            const from = Number(url.searchParams.get("from"));
            if (from === end()) {
                await new Promise(resolve => {
                    topic.waiters.push(resolve);
                    setTimeout(resolve, Number(url.searchParams.get("waitMs") ?? 0)).unref();
                });
            }
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(end()), 0);
            reply(response, 200, Buffer.concat([
                head,
                ...topic.records.slice(from).map(({ key, value }) => encodeRecord(key, value)),
            ]));
            return;
        }
        reply(response, 404, {});
    });
    const port = await listen(server);
    dispose.push(() => {
        server.close();
        server.closeAllConnections();
    });
    return {
        port,
        put: (topic, key, value) => append(topicOf(topic), [{ key, value: Buffer.from(value) }]),
        /** While the store is silent, it does nothing and answers nothing; what operators and upstreams put still counts. */
        setSilent: value => {
            isSilent = value;
        },
    };
};

const heartbeatMilliseconds = 870;

/**
 * Starts the stand-ins and the instances of a site.
 *
 * @param options - the folder of the case, the `resources` of the desired state, the zones, and `upstreams`: for each one its name,
 * service, zone, slots and the handler of its requests
 */
export const startSite = async ({ folder, resources, zones, upstreams, instances, bounds = {} }) => {
    const dispose = [];
    const record = createRecord(folder);
    const temporary = fs.mkdtempSync(path.join(os.tmpdir(), "review-3-"));
    dispose.push(() => fs.rmSync(temporary, { recursive: true, force: true }));
    const store = await startStore(dispose);
    let version = 1;
    const publish = next => {
        store.put("keyed.op", "config", JSON.stringify({ version: `r${version}`, resources: next }));
        version += 1;
    };
    publish(resources);
    for (const { name, service, zone, slots = 6, handle } of upstreams) {
        const server = http.createServer({ keepAliveTimeout: 30_000 }, handle);
        server.requestTimeout = 0;
        const port = await listen(server);
        const born = Date.now();
        let sequence = 0;
        const beat = () => {
            sequence += 1;
            store.put("keyed.servers", name, JSON.stringify({
                service,
                address: `127.0.0.1:${port}`,
                zone,
                version: "v1",
                slots,
                state: "ready",
                warmupLeft: "0ms",
                sequence,
                born,
            }));
        };
        beat();
        const timer = setInterval(beat, heartbeatMilliseconds);
        dispose.push(() => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        });
    }
    const deploy = fs.readFileSync("deploy/system.toml", "utf8");
    const [, run] = /^run = "(.*)"$/m.exec(deploy);
    const started = [];
    const network = await findNetwork(instances.length);
    for (const [index, { name, zone }] of instances.entries()) {
        const host = `${network}.${index + 1}`;
        const first = await reservePorts(18, host);
        const settingsPath = path.join(temporary, `${name}.json`);
        const settings = {
            nodeName: name,
            role: "entry",
            ip: host,
            zone,
            region: zones[zone],
            zones,
            bootstrap: true,
            internalPorts: [first + 2, first + 17],
            listen: { front: `${host}:${first}`, ready: `${host}:${first + 1}` },
            limits: { cpuShare: 0.54, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
            bounds: {
                stableWindow: "4000ms",
                drain: "2500ms",
                grace: "6s",
                lossSlack: "200ms",
                configApply: "2500ms",
                retryBudgetRatio: 0.2,
                budgetWindow: "10s",
                retryBudgetSlack: 56,
                holdMax: "10000ms",
                ...bounds,
            },
            platform: { address: `127.0.0.1:${store.port}`, form: "log", writesPerS: 400, readsPerS: 2000 },
        };
        fs.writeFileSync(settingsPath, JSON.stringify(settings));
        const [program, ...words] = run.split(" ");
        const log = fs.openSync(path.join(temporary, `${name}.log`), "a");
        const child = childProcess.spawn(program === "node" ? process.execPath : program, words, {
            env: { PATH: process.env.PATH, HOME: process.env.HOME, MULBERRYSEAM_SETTINGS: settingsPath },
            stdio: ["ignore", log, log],
        });
        fs.closeSync(log);
        const exited = new Promise(resolve => child.once("exit", (code, signal) => {
            record.write(`instance ${name} ended: ${signal ?? `exit ${code}`}`);
            resolve();
        }));
        dispose.push(async () => {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGKILL");
                await exited;
            }
        });
        started.push({ name, host, port: first, readyPort: first + 1, child, exited, logPath: path.join(temporary, `${name}.log`) });
    }
    const isReady = ({ host, readyPort }) =>
        new Promise(resolve => {
            const request = http.get({ host, port: readyPort, path: "/mulberryseam/readiness", agent: false }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("error", () => resolve(false));
        });
    for (let tries = 0; !(await Promise.all(started.map(isReady))).every(Boolean); tries += 1) {
        if (tries > 300) {
            throw new Error("the instances are not ready within 30 s");
        }
        await pause(100);
    }
    record.write("all instances are ready");
    return {
        record,
        store,
        publish,
        instances: started,
        isReady,
        dispose: async () => {
            for (const end of dispose.reverse()) {
                await end();
            }
            record.save();
        },
    };
};

/**
 * Runs a case: 1 if it returns false, which means that the rule was broken, 0 if it returns true, and 2 if it could not run.
 */
export const runCase = async main => {
    let code = 2;
    const limit = setTimeout(() => {
        console.log("the case did not end within 115 s");
        process.exit(2);
    }, 115_000);
    try {
        code = await main() ? 0 : 1;
    }
    catch (error) {
        console.log(`the case could not run: ${error.stack}`);
    }
    clearTimeout(limit);
    process.exit(code);
};
