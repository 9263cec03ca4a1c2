/** Starts instances with the command of the deploy file, each on a loopback address of its own, and sends them signals. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as path from "node:path";
import * as runCase from "./runCase.mjs";

const callerPort = 18_381;
const readinessPort = 18_388;
const peerPort = 17_200;

const canListen = (host, port) =>
    new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Finds a part of the loopback network on which the ports of the instances are free. */
const findNetwork = async count => {
    const ports = [callerPort, readinessPort, peerPort, peerPort + 1, 9464];
    for (let attempt = 0; attempt < 50; attempt += 1) {
        const network = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`;
        const results = [];
        for (let index = 1; index <= count; index += 1) {
            results.push(...await Promise.all(ports.map(port => canListen(`${network}.${index}`, port))));
        }
        if (results.every(isFree => isFree)) {
            return network;
        }
    }
    throw new Error("no free ports on the loopback network");
};

/** Returns the program and the arguments of the deploy file's `run` line. */
const readCommand = () => {
    const text = fs.readFileSync(path.join(runCase.repositoryRoot, "deploy/system.toml"), "utf8");
    const [program, ...programArguments] = /^run = "(.*)"$/m.exec(text)[1].split(" ");
    return { program: program === "node" ? process.execPath : program, programArguments };
};

/**
 * Starts instances.
 *
 * @param options - `zones` (the failure domain of each instance), `regions`, `storePort`, `folder` and further `bounds`
 * @param onCleanup - called with the function that ends the processes
 * @returns the instances, which may not be ready yet
 */
export const startInstances = async ({ zones, regions, storePort, folder, bounds = {} }, onCleanup) => {
    const network = await findNetwork(zones.length);
    const { program, programArguments } = readCommand();
    return zones.map((zone, index) => {
        const name = `front-${index + 1}`;
        const host = `${network}.${index + 1}`;
        const settingsPath = path.join(folder, `${name}.json`);
        fs.writeFileSync(
            settingsPath,
            JSON.stringify({
                nodeName: name,
                role: "entry",
                machineClass: "front",
                serves: ["front"],
                ip: host,
                zone,
                region: regions[zone],
                internalPorts: [peerPort, peerPort + 15],
                seeds: [],
                bootstrap: true,
                heartbeat: "870ms",
                zones: regions,
                listen: { front: `${host}:${callerPort}`, ready: `${host}:${readinessPort}` },
                limits: { cpuShare: 0.54, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
                bounds: {
                    seedLag: "3s",
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
                    ...bounds,
                },
                platform: { address: `127.0.0.1:${storePort}`, form: "log", writesPerS: 400, readsPerS: 2000 },
            }),
        );
        const logPath = path.join(folder, `${name}.log`);
        const log = fs.openSync(logPath, "a");
        const child = childProcess.spawn(program, programArguments, {
            cwd: runCase.repositoryRoot,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, MULBERRYSEAM_SETTINGS: settingsPath },
            stdio: ["ignore", log, log],
        });
        let end;
        child.once("exit", (status, signal) => {
            end = { status, signal, at: performance.now() };
        });
        onCleanup(() => end === undefined && child.kill("SIGKILL"));
        return {
            name,
            host,
            callerPort,
            readinessPort,
            signal: signal => child.kill(signal),
            end: () => end,
            events: () =>
                fs.readFileSync(logPath, "utf8").split("\n").filter(line => line.startsWith("{")).map(line => {
                    try {
                        return JSON.parse(line);
                    }
                    catch {
                        return {};
                    }
                }),
        };
    });
};

/**
 * Finds the instance that won the leadership last.
 *
 * @param fronts - the instances
 * @returns the instance and its term, as its log says; undefined if none has won
 */
export const findLeader = fronts =>
    fronts.flatMap(front =>
        front.events().filter(({ event }) => event === "leadership-won").map(({ term }) => ({ front, term }))
    ).sort((left, right) => right.term - left.term)[0];
