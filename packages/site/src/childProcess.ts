/** Starts the processes of a site and controls each by its own process identifier. */
import type * as foundation from "@mulberryseam/foundation";
import * as childProcess from "node:child_process";

/** A process of the site. */
export interface SiteProcess {
    /** Kills the process and waits until it has exited. */
    kill: () => Promise<void>;
    /** Suspends the process (SIGSTOP). After `resume` it continues where it stopped, unaware of the pause. */
    suspend: () => void;
    resume: () => void;
    /** Requests a graceful shutdown, waits for the exit and returns the exit code, -1 if killed by a signal. */
    stop: () => Promise<number>;
    isRunning: () => boolean;
    processIdentifier: () => number;
    /** Returns the end of the process's standard error output. */
    errorOutput: () => string;
}

/** Configures a process. */
export interface SiteProcessOptions {
    script: string;
    parameters: readonly string[];
    /** Whether to wait until the process prints `ready` to its standard output. */
    waitsForReady: boolean;
}

const maxExitListeners = 500;
const maxErrorOutputCharacters = 20_000;

/**
 * Starts a process.
 *
 * @param options - the script and its parameters
 * @param owner - kills the process when disposed of
 * @returns the process; rejects if it exits before it is ready
 */
export const startProcess = async (options: SiteProcessOptions, owner: foundation.Owner): Promise<SiteProcess> => {
    const child = childProcess.spawn(process.execPath, [options.script, ...options.parameters], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, NODE_OPTIONS: "" },
    });
    process.setMaxListeners(maxExitListeners);
    let errorOutput = "";
    child.stderr.on("data", bytes => {
        errorOutput = (errorOutput + String(bytes)).slice(-maxErrorOutputCharacters);
    });
    const exited = new Promise<number>(resolve => child.once("exit", code => resolve(code ?? -1)));
    const isRunning = (): boolean => typeof child.exitCode !== "number" && typeof child.signalCode !== "string";
    const kill = async (): Promise<void> => {
        if (isRunning()) {
            child.kill("SIGKILL");
        }
        await exited;
    };
    // Kills the child even if this process exits without disposing of the owner.
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
            void exited.then(code => reject(new Error(`${options.parameters[0]} exited with ${code}: ${errorOutput}`)));
        });
    }
    child.stdout.resume();
    return {
        kill,
        suspend: () => child.kill("SIGSTOP"),
        resume: () => child.kill("SIGCONT"),
        stop: () => {
            child.kill("SIGTERM");
            return exited;
        },
        isRunning,
        processIdentifier: () => child.pid ?? -1,
        errorOutput: () => errorOutput,
    };
};
