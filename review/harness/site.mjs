/** Starts instances as the deploy file says, waits for their readiness, and ends them. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

const restartDelayMilliseconds = 300;
const internalPortCount = 16;
const readinessTimeoutMilliseconds = 30_000;

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Waits until a condition holds; throws after the timeout. */
export const waitUntil = async (condition, timeoutMilliseconds, what) => {
    const deadline = performance.now() + timeoutMilliseconds;
    while (!await condition()) {
        if (performance.now() > deadline) {
            throw new Error(`${what} did not come within ${timeoutMilliseconds} ms`);
        }
        await pause(20);
    }
};

/** Reads the command of the role from the deploy file. */
const readCommand = () => /^run = "(.*)"$/m.exec(fs.readFileSync("deploy/system.toml", "utf8"))[1].split(" ");

/** Returns a free port of an address, other than `count` ports from `excluded` on. */
const freePort = async (host, excluded = 0, count = 0) => {
    const port = await new Promise(resolve => {
        const server = net.createServer().listen(0, host, () => {
            const found = server.address().port;
            server.close(() => resolve(found));
        });
    });
    return port >= excluded && port < excluded + count ? freePort(host, excluded, count) : port;
};

/** Asks an instance whether it is ready. */
const isReady = ({ host, readinessPort }) =>
    new Promise(resolve => {
        const request = http.request({ host, port: readinessPort, path: "/mulberryseam/readiness", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.setTimeout(500, () => request.destroy());
        request.on("error", () => resolve(false));
        request.end();
    });

/**
 * Starts `count` instances, each on a loopback address of its own, and restarts one that ends as the platform does. The settings
 * are those of a small deployment. `cpuShareOf` and `storePortOf` give an instance, numbered from 1, settings of its own.
 */
export const startInstances = async ({ count, storePort, record, storePortOf = () => storePort, cpuShareOf = () => 0.54 }) => {
    const [program, ...programArguments] = readCommand();
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-review-"));
    const prefix = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
    const peerPort = await freePort(`${prefix}.1`);
    const zones = { "lautoka-a": "viti-west", "nadi-b": "viti-west" };
    const instances = [];
    let isClosing = false;
    const spawn = instance => {
        const child = childProcess.spawn(program, programArguments, {
            env: { PATH: process.env.PATH, HOME: process.env.HOME, MULBERRYSEAM_SETTINGS: instance.settings },
            stdio: ["ignore", instance.output, instance.output],
        });
        instance.child = child;
        record(`${instance.name}: started`);
        child.once("exit", (code, signal) => {
            instance.child = undefined;
            instance.exits.push({ code, signal, at: performance.now(), isExpected: instance.isSignalled });
            record(`${instance.name}: ended (code ${code}, signal ${signal})`);
            instance.isSignalled = false;
            if (!isClosing) {
                setTimeout(() => isClosing || spawn(instance), restartDelayMilliseconds);
            }
        });
    };
    for (let index = 1; index <= count; index += 1) {
        const host = `${prefix}.${index}`;
        const name = `front-${index}`;
        const callerPort = await freePort(host, peerPort, internalPortCount);
        const readinessPort = await freePort(host, peerPort, internalPortCount);
        const settings = path.join(folder, `${name}.json`);
        const file = {
            nodeName: name,
            role: "entry",
            machineClass: "front",
            serves: ["front"],
            ip: host,
            zone: "lautoka-a",
            region: "viti-west",
            internalPorts: [peerPort, peerPort + internalPortCount - 1],
            heartbeat: "1500ms",
            zones,
            listen: { front: `${host}:${callerPort}`, ready: `${host}:${readinessPort}` },
            limits: { cpuShare: cpuShareOf(index), cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
            bounds: {
                reuseAfter: "2s",
                stableWindow: "4000ms",
                drain: "2500ms",
                grace: "6s",
                lossSlack: "200ms",
                configApply: "2500ms",
                retryBudgetRatio: 0.2,
                budgetWindow: "10s",
                retryBudgetSlack: 56,
                holdMax: "10000ms",
                thaw: "300ms",
            },
            platform: { address: `127.0.0.1:${storePortOf(index)}`, form: "log" },
        };
        fs.writeFileSync(settings, JSON.stringify(file));
        const logFile = path.join(folder, `${name}.log`);
        const instance = { name, host, callerPort, readinessPort, settings, logFile, exits: [], isSignalled: false };
        instance.output = fs.openSync(logFile, "a");
        instances.push(instance);
        spawn(instance);
    }
    const closeAll = () => {
        isClosing = true;
        instances.forEach(instance => instance.child?.kill("SIGKILL"));
    };
    process.on("exit", closeAll);
    return {
        instances,
        /** Waits until every instance is ready; otherwise records what the instances logged last. */
        waitUntilReady: async () => {
            const areReady = async () => (await Promise.all(instances.map(isReady))).every(Boolean);
            try {
                await waitUntil(areReady, readinessTimeoutMilliseconds, "readiness");
            }
            catch (error) {
                instances.forEach(({ name, logFile }) =>
                    fs.readFileSync(logFile, "utf8").split("\n").slice(-30).forEach(line => record(`log of ${name}: ${line.slice(0, 300)}`))
                );
                throw error;
            }
        },
        signal: (instance, name) => {
            instance.isSignalled = true;
            record(`${instance.name}: ${name} sent`);
            instance.child?.kill(name);
        },
        /** Ends of processes that nobody asked for. */
        ownEnds: () => instances.flatMap(({ name, exits }) => exits.filter(exit => !exit.isExpected).map(exit => ({ name, ...exit }))),
        /** Returns the lines of the instances' logs that a pattern matches. */
        logLines: pattern =>
            instances.flatMap(({ name, logFile }) =>
                fs.readFileSync(logFile, "utf8").split("\n").filter(line => pattern.test(line)).map(line => `${name}: ${line}`)
            ),
        close: async () => {
            closeAll();
            await waitUntil(() => instances.every(instance => instance.child === undefined), 5000, "the end of the instances");
            instances.forEach(instance => fs.closeSync(instance.output));
            fs.rmSync(folder, { recursive: true });
        },
    };
};
