/** The command that runs an instance. */
import { parseSettings } from "@mulberryseam/configuration";
import { createInstance, type Instance } from "@mulberryseam/instance";
import { ExitCode, type ExitCodeValue } from "./exitCode";
import { readChecked } from "./files";
import type { Output } from "./output";

const waitForSignal = (): Promise<void> =>
    new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });

const start = async (settingsFile: string, output: Output): Promise<Instance | ExitCodeValue> => {
    const settings = readChecked(settingsFile, parseSettings);
    if (settings.err) {
        output.error(settings.val);
        return ExitCode.usage;
    }
    try {
        return await createInstance(settings.val.value);
    }
    catch (error) {
        output.error(`the instance cannot start: ${(error as Error).message}`);
        return ExitCode.failure;
    }
};

/**
 * Runs an instance until it is told to stop.
 *
 * @param settingsFile - path of its settings
 * @param output - where to print errors
 * @returns the exit code
 */
export const serve = async (settingsFile: string, output: Output): Promise<ExitCodeValue> => {
    const instance = await start(settingsFile, output);
    if (typeof instance === "number") {
        return instance;
    }
    await waitForSignal();
    await instance.stop();
    return ExitCode.success;
};
