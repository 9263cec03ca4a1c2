/** The serve command, which runs an instance. */
import * as configuration from "@mulberryseam/configuration";
import * as routerInstance from "@mulberryseam/instance";
import type * as commandOutput from "./commandOutput";
import * as configurationFiles from "./configurationFiles";
import * as exitCode from "./exitCode";

const waitForSignal = (): Promise<void> =>
    new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });

const startInstance = async (
    settingsFile: string,
    output: commandOutput.Output,
): Promise<routerInstance.Instance | exitCode.ExitCodeValue> => {
    const settings = configurationFiles.readAndParse(settingsFile, configuration.parseSettings);
    if (settings.err) {
        output.error(settings.val);
        return exitCode.ExitCode.usage;
    }
    try {
        return await routerInstance.createInstance(settings.val.value);
    }
    catch (error) {
        output.error(`the instance cannot start: ${(error as Error).message}`);
        return exitCode.ExitCode.failure;
    }
};

/**
 * Runs an instance until SIGTERM or SIGINT, then stops it.
 *
 * @param settingsFile - path of the settings file of the instance
 * @param output - prints errors
 * @returns the exit code
 */
export const serve = async (settingsFile: string, output: commandOutput.Output): Promise<exitCode.ExitCodeValue> => {
    const instance = await startInstance(settingsFile, output);
    if (typeof instance === "number") {
        return instance;
    }
    await waitForSignal();
    await instance.stop();
    return exitCode.ExitCode.success;
};
