/** Reads the command line and runs the command. */
import * as configuration from "@mulberryseam/configuration";
import * as cac from "cac";
import * as askCommands from "./askCommands";
import * as changeCommands from "./changeCommands";
import * as exitCode from "./exitCode";
import * as commandFiles from "./files";
import * as logCommands from "./logCommands";
import * as printing from "./output";
import * as serveCommand from "./serveCommand";

/** Version of the program. */
export const programVersion = "0.1.0";

interface CommonOptions {
    json?: boolean;
}

type Action = () => Promise<exitCode.ExitCodeValue>;

const check = (file: string, isSettings: boolean, output: printing.Output): exitCode.ExitCodeValue => {
    const checked = isSettings
        ? commandFiles.readChecked(file, configuration.parseSettings)
        : commandFiles.readChecked(file, configuration.parseEnvironment);
    if (checked.err) {
        output.error(checked.val);
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
 * Runs the command that the arguments name.
 *
 * @param parameters - arguments after the program's name
 * @returns the exit code
 */
export const runCommandLine = async (parameters: readonly string[]): Promise<exitCode.ExitCodeValue> => {
    const program = cac.cac("mulberryseam");
    let action: Action | undefined;
    const select = (
        options: CommonOptions,
        run: (output: printing.Output) => Promise<exitCode.ExitCodeValue>,
    ): void => {
        action = () => run(printing.createOutput(options.json === true));
    };

    program.command("serve", "Run an instance until SIGTERM; requests in flight finish first")
        .option("--settings <file>", "Settings of the instance, YAML")
        .action((options: CommonOptions & { settings?: string; }) =>
            select(options, async output => {
                if (options.settings === undefined) {
                    output.error("expected --settings FILE");
                    return exitCode.ExitCode.usage;
                }
                return serveCommand.serve(options.settings, output);
            })
        );
    program.command("check <file>", "Check an environment document, or settings with --settings")
        .option("--settings", "The file holds settings of an instance")
        .option("--json", "Print JSON")
        .action((file: string, options: CommonOptions & { settings?: boolean; }) =>
            select(options, async output => check(file, options.settings === true, output))
        );
    program.command("publish <file>", "Publish an environment document")
        .option("--environment <name>", "Environment to publish to", { default: "trial" })
        .option("--based-on <version>", "Version that the change is based on; leave out for the first")
        .option("--log-service <url>", "URL of the platform's log service")
        .option("--log-stream <name>", "Stream in the log service", { default: "mulberryseam" })
        .option("--settings <file>", "Take the log service from these settings")
        .option("--json", "Print JSON")
        .action((file: string, options: CommonOptions & changeCommands.PublishOptions) =>
            select(
                options,
                output => changeCommands.publish(file, { ...options, basedOn: parseVersion(options.basedOn) }, output),
            )
        );
    program.command("promote", "Promote the document of one environment to another")
        .option("--from <name>", "Environment to take the document from", { default: "trial" })
        .option("--to <name>", "Environment to put it in force in", { default: "production" })
        .option("--based-on <version>", "Version that was tried; by default the current one")
        .option("--log-service <url>", "URL of the platform's log service")
        .option("--log-stream <name>", "Stream in the log service", { default: "mulberryseam" })
        .option("--settings <file>", "Take the log service from these settings")
        .option("--json", "Print JSON")
        .action((options: CommonOptions & changeCommands.PromoteOptions) =>
            select(
                options,
                output => changeCommands.promote({ ...options, basedOn: parseVersion(options.basedOn) }, output),
            )
        );
    program.command("status", "Show the status of an instance")
        .option("--instance <address>", "Address for operators, IP:PORT", { default: "127.0.0.1:8200" })
        .option("--json", "Print JSON")
        .action((options: CommonOptions & { instance: string; }) =>
            select(options, output => askCommands.showStatus(options.instance, output))
        );
    program.command("explain <key>", "Show who owns a key, and why")
        .option("--instance <address>", "Address for operators, IP:PORT", { default: "127.0.0.1:8200" })
        .option("--service <name>", "One keyed service")
        .option("--json", "Print JSON")
        .action((key: string, options: CommonOptions & { instance: string; service?: string; }) =>
            select(options, output => askCommands.explain(String(key), options.instance, options.service, output))
        );
    program.command("explain-request <identifier> [...files]", "Tell the story of a request out of logs of instances")
        .option("--json", "Print JSON")
        .action((identifier: string, files: string[], options: CommonOptions) =>
            select(options, async output => logCommands.explainRequest(String(identifier), files, output))
        );
    program.command("explain-key <key> [...files]", "Tell the story of a key out of logs of instances")
        .option("--service <name>", "One keyed service")
        .option("--json", "Print JSON")
        .action((key: string, files: string[], options: CommonOptions & { service?: string; }) =>
            select(options, async output => logCommands.explainKey(Number(key), options.service, files, output))
        );
    program.command("version", "Print the version")
        .option("--json", "Print JSON")
        .action((options: CommonOptions) =>
            select(options, async output => {
                output.result({ version: programVersion }, programVersion);
                return exitCode.ExitCode.success;
            })
        );
    program.help();

    try {
        const parsed = program.parse(["node", "mulberryseam", ...parameters], { run: false });
        program.runMatchedCommand();
        if (action === undefined && parsed.options.help !== true) {
            process.stderr.write(
                `error: ${parameters.length === 0 ? "expected a command" : `unknown command "${parameters[0]}"`}\n`,
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
