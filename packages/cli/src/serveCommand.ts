/** The command that runs an instance. */
import * as configuration from "@mulberryseam/configuration";
import * as running from "@mulberryseam/instance";
import * as exitCode from "./exitCode";
import * as files from "./files";
import type * as printing from "./output";

const waitForSignal = (): Promise<void> =>
    new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });

const start = async (
    settingsFile: string,
    output: printing.Output,
): Promise<running.Instance | exitCode.ExitCodeValue> => {
    const settings = files.readChecked(settingsFile, configuration.parseSettings);
    if (settings.err) {
        output.error(settings.val);
        return exitCode.ExitCode.usage;
    }
    try {
        return await running.createInstance(settings.val.value);
    }
    catch (error) {
        output.error(`the instance cannot start: ${(error as Error).message}`);
        return exitCode.ExitCode.failure;
    }
};

/**
 * Runs an instance until it is told to stop.
 *
 * @param settingsFile - path of its settings
 * @param output - where to print errors
 * @returns the exit code
 */
export const serve = async (settingsFile: string, output: printing.Output): Promise<exitCode.ExitCodeValue> => {
    const instance = await start(settingsFile, output);
    if (typeof instance === "number") {
        return instance;
    }
    await waitForSignal();
    await instance.stop();
    return exitCode.ExitCode.success;
};
