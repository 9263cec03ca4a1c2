/** Runs each instance as a separate process with its own settings file and restarts the process when it exits. */
import * as foundation from "@mulberryseam/foundation";
import * as site from "@mulberryseam/site";
import * as standins from "@mulberryseam/standins";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as places from "./places";
import * as processMemory from "./processMemory";

/** Configures an instance. */
export interface InstanceOptions {
    name: string;
    host: string;
    peerPort: number;
    storePort: number;
    /** Arguments of the Node.js executable: its flags and the program to run. */
    programArguments: readonly string[];
    /** File to which the output of the process is appended. */
    logFile: string;
}

/** What a settings file holds. */
export const SettingsContent = {
    original: "original",
    /** Settings that differ in what a running process applies and in what needs a restart. */
    changed: "changed",
    invalid: "invalid",
    truncated: "truncated",
    missing: "missing",
} as const;

/** A value of {@link SettingsContent}. */
export type SettingsContentValue = typeof SettingsContent[keyof typeof SettingsContent];

/** An instance under test; its process restarts whenever it exits. */
export interface SoakInstance {
    name: string;
    host: string;
    callerPort: number;
    readinessPort: number;
    /** Network link from the instance to the store, subject to fault injection. */
    storeLink: standins.LinkStandIn;
    isRunning: () => boolean;
    /** Sends a signal to the process if it is running and, in the case of SIGHUP, handles the signal already. */
    signal: (signal: NodeJS.Signals) => void;
    /** Replaces the settings file of the running process and sends it SIGHUP; a process that starts has its original file. */
    changeSettings: (content: SettingsContentValue) => void;
    /** Sets the delay before the next restart, in milliseconds; later restarts use the default delay. */
    setRestartDelay: (milliseconds: number) => void;
    /** Returns the times at which its processes were started, of `performance.now()`. */
    startTimes: () => readonly number[];
    /** Returns one line for each process that ended although the soak had sent no signal that ends it. */
    ownEnds: () => readonly string[];
    /** Largest resident memory of its processes so far, in bytes. */
    peakMemoryBytes: () => number;
    /** Kills the process, prevents restarts and waits for the process to exit. */
    terminate: () => Promise<void>;
}

/** Settings that bound the requests to cold upstreams. */
export const warmupBounds = { warmupOvershoot: 1.5, warmupSlack: 8 };
const defaultRestartDelayMilliseconds = 300;
const memorySampleMilliseconds = 200;
/** Length of the error output kept for the description of an end, in characters. */
const maxErrorOutputLength = 2000;
const terminatingSignals: readonly NodeJS.Signals[] = ["SIGTERM", "SIGKILL"];

/**
 * Returns whether a process handles a signal: until the program has registered its listeners, SIGHUP ends the process, as it does
 * every program.
 */
const handlesSignal = (processIdentifier: number, signal: NodeJS.Signals): boolean => {
    try {
        const status = fs.readFileSync(`/proc/${processIdentifier}/status`, "utf8");
        const handledSignals = BigInt(`0x${/^SigCgt:\s*(\w+)$/m.exec(status)?.[1] ?? "0"}`);
        return (handledSignals >> BigInt(os.constants.signals[signal] - 1) & 1n) === 1n;
    }
    catch {
        // The process has ended.
        return false;
    }
};

/** Kill the processes that are left when the soak ends. */
const killProcesses = new Set<() => void>();
process.on("exit", () => killProcesses.forEach(killProcess => killProcess()));

/** The end of a process. */
interface ProcessEnd {
    /** Exit status; undefined if a signal ended the process. */
    status: number | undefined;
    /** The first signal that the soak sent to end the process. */
    requestedBy: NodeJS.Signals | undefined;
}

const toOneLine = (text: string): string =>
    text.split("\n").map(line => line.trim()).filter(line => line !== "").join(" | ");

const endedByItself = ({ status, requestedBy }: ProcessEnd): boolean =>
    requestedBy === undefined || (status !== undefined && status !== 0);

/**
 * Starts an instance.
 *
 * @param options - name, address, ports and program
 * @param owner - closes the store link and the log file on cleanup
 * @returns the instance, whose process may not be ready yet
 */
export const startInstance = async (options: InstanceOptions, owner: foundation.Owner): Promise<SoakInstance> => {
    const { name, host } = options;
    const storeLink = await standins.createLinkStandIn({
        port: 0,
        targetHost: "127.0.0.1",
        targetPort: options.storePort,
        delayMilliseconds: 1,
    }, owner);
    const [callerPort, readinessPort] = await site.reservePorts(2, host);
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-soak-"));
    const settingsPath = path.join(folder, "settings.json");
    const settings = {
        nodeName: name,
        ip: host,
        zone: "north-a",
        zones: places.regions,
        internalPorts: [options.peerPort, options.peerPort + 10],
        listen: { front: `${host}:${callerPort}`, ready: `${host}:${readinessPort}` },
        bounds: warmupBounds,
        platform: { address: `127.0.0.1:${storeLink.port}` },
    };
    const startTimes: number[] = [];
    let child: childProcess.ChildProcess | undefined;
    const writeSettings = (content: SettingsContentValue): void => {
        // Only the first process of an instance starts together with the site.
        const bootstrap = startTimes.length <= (child === undefined ? 0 : 1);
        const text = JSON.stringify({ ...settings, bootstrap });
        const writers: Record<SettingsContentValue, () => void> = {
            original: () => fs.writeFileSync(settingsPath, text),
            changed: () =>
                fs.writeFileSync(
                    settingsPath,
                    JSON.stringify({
                        ...settings,
                        bootstrap,
                        zone: "south-a",
                        bounds: { ...warmupBounds, drain: "3s", retryBudgetSlack: 40 },
                    }),
                ),
            invalid: () => fs.writeFileSync(settingsPath, JSON.stringify({ ...settings, internalPorts: "none" })),
            truncated: () => fs.writeFileSync(settingsPath, text.slice(0, text.length / 2)),
            missing: () => fs.rmSync(settingsPath, { force: true }),
        };
        writers[content]();
    };
    let restartDelayMilliseconds = defaultRestartDelayMilliseconds;
    let isTerminated = false;
    let requestedBy: NodeJS.Signals | undefined;
    let lastProcessClosed = Promise.resolve();
    let restartTimer: NodeJS.Timeout | undefined;
    const ownEnds: string[] = [];
    const logDescriptor = fs.openSync(options.logFile, "a");
    let peakMemoryBytes = 0;
    const memorySamples = setInterval(() => {
        peakMemoryBytes = Math.max(peakMemoryBytes, processMemory.readPeakMemory(child?.pid));
    }, memorySampleMilliseconds);
    const spawnProcess = (): void => {
        writeSettings(SettingsContent.original);
        const spawned = childProcess.spawn(process.execPath, options.programArguments, {
            env: { ...process.env, MULBERRYSEAM_SETTINGS: settingsPath },
            stdio: ["ignore", logDescriptor, "pipe"],
        });
        child = spawned;
        startTimes.push(performance.now());
        requestedBy = undefined;
        let errorOutput = "";
        spawned.stderr?.on("data", chunk => {
            errorOutput = (errorOutput + String(chunk)).slice(-maxErrorOutputLength);
            fs.writeSync(logDescriptor, chunk as Buffer);
        });
        spawned.once("exit", (status, signal) => {
            child = undefined;
            const end = { status: status ?? undefined, requestedBy };
            restartTimer = setTimeout(() => isTerminated || spawnProcess(), restartDelayMilliseconds);
            restartDelayMilliseconds = defaultRestartDelayMilliseconds;
            if (endedByItself(end)) {
                void lastProcessClosed.then(() => {
                    ownEnds.push(
                        `${name} ended by itself: ${signal ?? `exit status ${status}`}, ${toOneLine(errorOutput)}`,
                    );
                });
            }
        });
        // The error output is complete only when the process has closed it.
        lastProcessClosed = new Promise(resolve => spawned.once("close", () => resolve()));
    };
    spawnProcess();
    const sendSignal = (signal: NodeJS.Signals): void => {
        const isIgnored = signal === "SIGHUP" && !(child?.pid !== undefined && handlesSignal(child.pid, signal));
        if (isIgnored) {
            return;
        }
        const isSent = child?.kill(signal) ?? false;
        if (isSent && terminatingSignals.includes(signal)) {
            requestedBy ??= signal;
        }
    };
    const killProcess = (): void => sendSignal("SIGKILL");
    killProcesses.add(killProcess);
    owner.onCleanup(() => {
        clearInterval(memorySamples);
        killProcesses.delete(killProcess);
        fs.closeSync(logDescriptor);
        fs.rmSync(folder, { recursive: true });
    });
    return {
        name,
        host,
        callerPort,
        readinessPort,
        storeLink,
        isRunning: () => child !== undefined,
        signal: sendSignal,
        changeSettings: content => {
            const running = child;
            // A process that listens has read its settings; one that starts writes the file again.
            const socket = net.connect({ host, port: readinessPort }, () => {
                socket.destroy();
                if (child === running && running !== undefined) {
                    writeSettings(content);
                    sendSignal("SIGHUP");
                }
            });
            socket.on("error", () => undefined);
        },
        setRestartDelay: milliseconds => {
            restartDelayMilliseconds = milliseconds;
        },
        startTimes: () => startTimes,
        ownEnds: () => ownEnds,
        peakMemoryBytes: () => peakMemoryBytes,
        terminate: async () => {
            isTerminated = true;
            clearTimeout(restartTimer);
            sendSignal("SIGCONT");
            sendSignal("SIGKILL");
            await lastProcessClosed;
        },
    };
};
