/** Processes that a site starts, each ended by its own identifier. */
import type * as foundation from "@mulberryseam/foundation";
import * as childProcess from "node:child_process";

/** A process of the site. */
export interface SiteProcess {
    /** Ends the process at once. */
    kill: () => Promise<void>;
    /** Stops its clockwork; it wakes believing that no time has passed. */
    freeze: () => void;
    resume: () => void;
    /** Asks it to stop as planned and waits until it has; gives its exit code. */
    stop: () => Promise<number>;
    isRunning: () => boolean;
    processIdentifier: () => number;
    /** What it wrote to its error stream, last part. */
    errorOutput: () => string;
}

/** How a process is started. */
export interface SiteProcessOptions {
    script: string;
    parameters: readonly string[];
    /** Waits for the line `ready` on the output. */
    waitsForReady: boolean;
}

const highestProcesses = 500;
const keptErrorCharacters = 20_000;

/**
 * Starts a process.
 *
 * @param options - how it is started
 * @param owner - kills it when disposed of
 * @returns the process
 */
export const startProcess = async (options: SiteProcessOptions, owner: foundation.Owner): Promise<SiteProcess> => {
    const child = childProcess.spawn(process.execPath, [options.script, ...options.parameters], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, NODE_OPTIONS: "" },
    });
    process.setMaxListeners(highestProcesses);
    let errors = "";
    child.stderr.on("data", bytes => {
        errors = (errors + String(bytes)).slice(-keptErrorCharacters);
    });
    const exited = new Promise<number>(resolve => child.once("exit", code => resolve(code ?? -1)));
    const isRunning = (): boolean => typeof child.exitCode !== "number" && typeof child.signalCode !== "string";
    const kill = async (): Promise<void> => {
        if (isRunning()) {
            child.kill("SIGKILL");
        }
        await exited;
    };
    // A process that ends without disposing of its owner still leaves nothing behind.
    const killAtExit = (): void => {
        child.kill("SIGKILL");
    };
    process.once("exit", killAtExit);
    owner.onCleanup(async () => {
        await kill();
        process.off("exit", killAtExit);
    });
    if (options.waitsForReady) {
        await new Promise<void>((resolve, reject) => {
            child.stdout.on("data", () => resolve());
            void exited.then(code => reject(new Error(`${options.parameters[0]} ended with ${code}: ${errors}`)));
        });
    }
    child.stdout.resume();
    return {
        kill,
        freeze: () => child.kill("SIGSTOP"),
        resume: () => child.kill("SIGCONT"),
        stop: () => {
            child.kill("SIGTERM");
            return exited;
        },
        isRunning,
        processIdentifier: () => child.pid ?? -1,
        errorOutput: () => errors,
    };
};
