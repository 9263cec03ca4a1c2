/** Runs each instance as a separate process with its own settings file and restarts the process when it exits. */
import * as foundation from "@mulberryseam/foundation";
import * as site from "@mulberryseam/site";
import * as standins from "@mulberryseam/standins";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

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

/** An instance under test; its process restarts whenever it exits. */
export interface SoakInstance {
    name: string;
    host: string;
    callerPort: number;
    readinessPort: number;
    /** Network link from the instance to the store, subject to fault injection. */
    storeLink: standins.LinkStandIn;
    isRunning: () => boolean;
    /** Sends a signal to the process if it is running. */
    signal: (signal: NodeJS.Signals) => void;
    /** Sets the delay before the next restart, in milliseconds; later restarts use the default delay. */
    setRestartDelay: (milliseconds: number) => void;
    /** Returns one line for each process that ended although the soak had sent no signal that ends it. */
    ownEnds: () => readonly string[];
    /** Kills the process, prevents restarts and waits for the process to exit. */
    terminate: () => Promise<void>;
}

const defaultRestartDelayMilliseconds = 300;
/** Length of the error output kept for the description of an end, in characters. */
const maxErrorOutputLength = 2000;
const terminatingSignals: readonly NodeJS.Signals[] = ["SIGTERM", "SIGKILL"];

/** The end of a process. */
interface ProcessEnd {
    /** Exit status; undefined if a signal ended the process. */
    status: number | undefined;
    /** The first signal that the soak sent to end the process. */
    requestedBy: NodeJS.Signals | undefined;
}

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
    fs.writeFileSync(
        settingsPath,
        JSON.stringify({
            nodeName: name,
            ip: host,
            zone: "north-a",
            zones: { "north-a": "north" },
            internalPorts: [options.peerPort, options.peerPort + 10],
            listen: { front: `${host}:${callerPort}`, ready: `${host}:${readinessPort}` },
            bounds: {},
            platform: { address: `127.0.0.1:${storeLink.port}` },
        }),
    );
    let child: childProcess.ChildProcess | undefined;
    let restartDelayMilliseconds = defaultRestartDelayMilliseconds;
    let isTerminated = false;
    let requestedBy: NodeJS.Signals | undefined;
    let lastProcessClosed = Promise.resolve();
    let restartTimer: NodeJS.Timeout | undefined;
    const ownEnds: string[] = [];
    const logDescriptor = fs.openSync(options.logFile, "a");
    const spawnProcess = (): void => {
        const spawned = childProcess.spawn(process.execPath, options.programArguments, {
            env: { ...process.env, MULBERRYSEAM_SETTINGS: settingsPath },
            stdio: ["ignore", logDescriptor, "pipe"],
        });
        child = spawned;
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
                        `${name} ended by itself: ${signal ?? `exit status ${status}`}, ${errorOutput.trim()}`,
                    );
                });
            }
        });
        // The error output is complete only when the process has closed it.
        lastProcessClosed = new Promise(resolve => spawned.once("close", () => resolve()));
    };
    spawnProcess();
    const sendSignal = (signal: NodeJS.Signals): void => {
        const isSent = child?.kill(signal) ?? false;
        if (isSent && terminatingSignals.includes(signal)) {
            requestedBy ??= signal;
        }
    };
    const killProcess = (): void => sendSignal("SIGKILL");
    process.on("exit", killProcess);
    owner.onCleanup(() => {
        process.off("exit", killProcess);
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
        setRestartDelay: milliseconds => {
            restartDelayMilliseconds = milliseconds;
        },
        ownEnds: () => ownEnds,
        terminate: async () => {
            isTerminated = true;
            clearTimeout(restartTimer);
            sendSignal("SIGCONT");
            sendSignal("SIGKILL");
            await lastProcessClosed;
        },
    };
};
