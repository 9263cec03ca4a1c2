/** Instances as separate processes: started with settings of their own, signalled, and started again when they end. */
import * as foundation from "@mulberryseam/foundation";
import * as site from "@mulberryseam/site";
import * as standins from "@mulberryseam/standins";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/** How an instance is started. */
export interface InstanceOptions {
    name: string;
    host: string;
    peerPort: number;
    storePort: number;
    /** Words after the runtime's name: the program. */
    program: readonly string[];
    /** File that takes what the process writes. */
    logFile: string;
}

/** An instance. */
export interface SoakInstance {
    name: string;
    host: string;
    callers: number;
    readiness: number;
    /** Its link to the store. */
    storeLink: standins.LinkStandIn;
    isRunning: () => boolean;
    /** Sends a signal to the process, if it runs. */
    signal: (signal: NodeJS.Signals) => void;
    /** Lets the process start again after a time when it ends, in milliseconds. */
    setRestart: (milliseconds: number) => void;
    /** Ends the process for good. */
    end: () => Promise<void>;
}

const usualRestartMilliseconds = 300;

/**
 * Starts an instance.
 *
 * @param options - how to start it
 * @param owner - ends its links
 * @returns the instance
 */
export const startInstance = async (options: InstanceOptions, owner: foundation.Owner): Promise<SoakInstance> => {
    const { name, host } = options;
    const storeLink = await standins.createLinkStandIn({
        port: 0,
        targetHost: "127.0.0.1",
        targetPort: options.storePort,
        delayMilliseconds: 1,
    }, owner);
    const [callers, readiness] = await site.reservePorts(2, host);
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-soak-"));
    const settings = path.join(folder, "settings.json");
    fs.writeFileSync(
        settings,
        JSON.stringify({
            nodeName: name,
            ip: host,
            zone: "north-a",
            zones: { "north-a": "north" },
            internalPorts: [options.peerPort, options.peerPort + 10],
            listen: { front: `${host}:${callers}`, ready: `${host}:${readiness}` },
            bounds: {},
            platform: { address: `127.0.0.1:${storeLink.port}` },
        }),
    );
    let child: childProcess.ChildProcess | undefined;
    let restartMilliseconds = usualRestartMilliseconds;
    let hasEnded = false;
    const log = fs.openSync(options.logFile, "a");
    const start = (): void => {
        const started = childProcess.spawn(process.execPath, options.program, {
            env: { ...process.env, MULBERRYSEAM_SETTINGS: settings },
            stdio: ["ignore", log, log],
        });
        child = started;
        started.once("exit", () => {
            child = undefined;
            setTimeout(() => hasEnded || start(), restartMilliseconds);
            restartMilliseconds = usualRestartMilliseconds;
        });
    };
    start();
    owner.onCleanup(() => {
        fs.closeSync(log);
        fs.rmSync(folder, { recursive: true });
    });
    return {
        name,
        host,
        callers,
        readiness,
        storeLink,
        isRunning: () => child !== undefined,
        signal: signal => {
            child?.kill(signal);
        },
        setRestart: milliseconds => {
            restartMilliseconds = milliseconds;
        },
        end: async () => {
            hasEnded = true;
            const running = child;
            if (running !== undefined) {
                const exited = new Promise(resolve => running.once("exit", resolve));
                running.kill("SIGCONT");
                running.kill("SIGKILL");
                await exited;
            }
        },
    };
};
