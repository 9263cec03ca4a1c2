/** Parses the command line and runs the selected command. */
import * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as cac from "cac";
import * as commandOutput from "./commandOutput";
import * as configurationFiles from "./configurationFiles";
import * as environmentCommands from "./environmentCommands";
import * as exitCode from "./exitCode";
import * as instanceCommands from "./instanceCommands";
import * as serveCommand from "./serveCommand";
import * as timelineCommands from "./timelineCommands";

interface CommonOptions {
    json?: boolean;
}

type Action = () => Promise<exitCode.ExitCodeValue>;

const checkFile = (file: string, isSettings: boolean, output: commandOutput.Output): exitCode.ExitCodeValue => {
    const parsed = isSettings
        ? configurationFiles.readAndParse(file, configuration.parseSettings)
        : configurationFiles.readAndParse(file, configuration.parseEnvironment);
    if (parsed.err) {
        output.error(parsed.val);
        return exitCode.ExitCode.usage;
    }
    output.result({ file, valid: true }, `${file} is valid`);
    return exitCode.ExitCode.success;
};

const parseVersion = (value: unknown): number | undefined => {
    const version = Number(value);
    return value !== undefined && Number.isInteger(version) && version >= -1 ? version : undefined;
};

/**
 * Runs the command given by the arguments.
 *
 * @param commandArguments - arguments after the program's name
 * @returns the exit code
 */
export const runCommandLine = async (commandArguments: readonly string[]): Promise<exitCode.ExitCodeValue> => {
    const program = cac.cac("mulberryseam");
    let action: Action | undefined;
    const setAction = (
        options: CommonOptions,
        run: (output: commandOutput.Output) => Promise<exitCode.ExitCodeValue>,
    ): void => {
        action = () => run(commandOutput.createOutput(options.json === true));
    };

    program.command("serve", "Run an instance until SIGTERM; requests in flight finish first")
        .option("--settings <file>", "Settings file of the instance (YAML)")
        .action((options: CommonOptions & { settings?: string; }) =>
            setAction(options, async output => {
                if (options.settings === undefined) {
                    output.error("expected --settings FILE");
                    return exitCode.ExitCode.usage;
                }
                return serveCommand.serve(options.settings, output);
            })
        );
    program.command("check <file>", "Check an environment document, or a settings file with --settings")
        .option("--settings", "Treat the file as settings of an instance")
        .option("--json", "Print JSON")
        .action((file: string, options: CommonOptions & { settings?: boolean; }) =>
            setAction(options, async output => checkFile(file, options.settings === true, output))
        );
    program.command("publish <file>", "Publish an environment document")
        .option("--environment <name>", "Target environment", { default: "trial" })
        .option("--based-on <version>", "Version the change is based on; omit for the first version")
        .option("--log-service <url>", "URL of the platform's log service")
        .option("--log-stream <name>", "Stream in the log service", { default: "mulberryseam" })
        .option("--settings <file>", "Read the log service from this settings file")
        .option("--json", "Print JSON")
        .action((file: string, options: CommonOptions & environmentCommands.PublishOptions) =>
            setAction(
                options,
                output =>
                    environmentCommands.publish(file, { ...options, basedOn: parseVersion(options.basedOn) }, output),
            )
        );
    program.command("promote", "Promote the document of one environment to another")
        .option("--from <name>", "Source environment", { default: "trial" })
        .option("--to <name>", "Target environment", { default: "production" })
        .option(
            "--based-on <version>",
            "Version of the source environment that was tested (default: the current version)",
        )
        .option("--log-service <url>", "URL of the platform's log service")
        .option("--log-stream <name>", "Stream in the log service", { default: "mulberryseam" })
        .option("--settings <file>", "Read the log service from this settings file")
        .option("--json", "Print JSON")
        .action((options: CommonOptions & environmentCommands.PromoteOptions) =>
            setAction(
                options,
                output => environmentCommands.promote({ ...options, basedOn: parseVersion(options.basedOn) }, output),
            )
        );
    program.command("status", "Show the status of an instance")
        .option("--instance <address>", "Operator address of the instance (IP:PORT)", { default: "127.0.0.1:8200" })
        .option("--json", "Print JSON")
        .action((options: CommonOptions & { instance: string; }) =>
            setAction(options, output => instanceCommands.showStatus(options.instance, output))
        );
    program.command("explain <key>", "Show the owner of a key and the state of its lease")
        .option("--instance <address>", "Operator address of the instance (IP:PORT)", { default: "127.0.0.1:8200" })
        .option("--service <name>", "Restrict to one keyed service")
        .option("--json", "Print JSON")
        .action((key: string, options: CommonOptions & { instance: string; service?: string; }) =>
            setAction(
                options,
                output => instanceCommands.explain(String(key), options.instance, options.service, output),
            )
        );
    program.command("explain-request <identifier> [...files]", "Print the timeline of a request from logs of instances")
        .option("--json", "Print JSON")
        .action((identifier: string, files: string[], options: CommonOptions) =>
            setAction(options, async output => timelineCommands.explainRequest(String(identifier), files, output))
        );
    program.command("explain-key <key> [...files]", "Print the timeline of a key from logs of instances")
        .option("--service <name>", "Restrict to one keyed service")
        .option("--json", "Print JSON")
        .action((key: string, files: string[], options: CommonOptions & { service?: string; }) =>
            setAction(options, async output => timelineCommands.explainKey(Number(key), options.service, files, output))
        );
    program.command("version", "Print the version")
        .option("--json", "Print JSON")
        .action((options: CommonOptions) =>
            setAction(options, async output => {
                output.result({ version: foundation.programVersion }, foundation.programVersion);
                return exitCode.ExitCode.success;
            })
        );
    program.help();

    try {
        const parsed = program.parse(["node", "mulberryseam", ...commandArguments], { run: false });
        program.runMatchedCommand();
        if (action === undefined && parsed.options.help !== true) {
            process.stderr.write(
                `error: ${
                    commandArguments.length === 0 ? "expected a command" : `unknown command "${commandArguments[0]}"`
                }\n`,
            );
            program.outputHelp();
            return exitCode.ExitCode.usage;
        }
    }
    catch (error) {
        process.stderr.write(`error: ${(error as Error).message}\n`);
        return exitCode.ExitCode.usage;
    }
    return action === undefined ? exitCode.ExitCode.success : action();
};
