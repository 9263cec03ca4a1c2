/** Commands that change an environment: publish and promote. */
import * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import type * as commandOutput from "./commandOutput";
import * as configurationFiles from "./configurationFiles";
import * as exitCode from "./exitCode";
import * as logSession from "./logSession";

/** Options that locate the log service: its URL and stream, or a settings file that contains them. */
export interface LogServiceOptions {
    settings?: string;
    logService?: string;
    logStream: string;
}

/** Options of the publish command. */
export interface PublishOptions extends LogServiceOptions {
    environment: string;
    basedOn?: number;
}

/** Options of the promote command. */
export interface PromoteOptions extends LogServiceOptions {
    from: string;
    to: string;
    basedOn?: number;
}

const openSession = (options: LogServiceOptions, output: commandOutput.Output): logSession.LogSession | undefined => {
    if (options.logService !== undefined) {
        return logSession.createLogSession({ url: options.logService, stream: options.logStream });
    }
    if (options.settings === undefined) {
        output.error("expected --log-service URL or --settings FILE");
        return undefined;
    }
    const settings = configurationFiles.readAndParse(options.settings, configuration.parseSettings);
    if (settings.err) {
        output.error(settings.val);
        return undefined;
    }
    const { logService, logStream } = settings.val.value.platform;
    return logSession.createLogSession({ url: logService, stream: logStream });
};

interface OpenedLog {
    session: logSession.LogSession;
    state: ledger.LogState;
}

const openCurrentLog = async (
    options: LogServiceOptions,
    output: commandOutput.Output,
): Promise<OpenedLog | exitCode.ExitCodeValue> => {
    const session = openSession(options, output);
    if (session === undefined) {
        return exitCode.ExitCode.usage;
    }
    const state = await session.readToEnd();
    if (state.err) {
        output.error(state.val);
        return exitCode.ExitCode.failure;
    }
    return { session, state: state.val };
};

const writeRecord = async (
    session: logSession.LogSession,
    body: ledger.RecordBody,
    environment: string,
    output: commandOutput.Output,
): Promise<exitCode.ExitCodeValue> => {
    const result = await session.write(body);
    if (result.ok) {
        output.result({ environment, version: result.val }, `${environment} is at version ${result.val}`);
        return exitCode.ExitCode.success;
    }
    if (result.val.kind === "refused") {
        output.error(`not accepted: ${result.val.message}`);
        return exitCode.ExitCode.conflict;
    }
    output.error(`not known whether accepted: ${result.val.message}; run the command again with the same --based-on`);
    return exitCode.ExitCode.unknown;
};

/**
 * Publishes an environment document.
 *
 * @param file - path of the document
 * @param options - target environment, base version and log service
 * @param output - prints the result or an error
 * @returns the exit code
 */
export const publish = async (
    file: string,
    options: PublishOptions,
    output: commandOutput.Output,
): Promise<exitCode.ExitCodeValue> => {
    const document = configurationFiles.readAndParse(file, configuration.parseEnvironment);
    if (document.err) {
        output.error(document.val);
        return exitCode.ExitCode.usage;
    }
    const openedLog = await openCurrentLog(options, output);
    if (typeof openedLog === "number") {
        return openedLog;
    }
    const body: ledger.RecordBody = {
        kind: ledger.RecordKind.publish,
        environment: options.environment,
        basedOn: options.basedOn ?? -1,
        document: document.val.text,
    };
    return writeRecord(openedLog.session, body, options.environment, output);
};

/**
 * Promotes the document of one environment to another.
 *
 * @param options - source and target environment, base version and log service
 * @param output - prints the result or an error
 * @returns the exit code
 */
export const promote = async (
    options: PromoteOptions,
    output: commandOutput.Output,
): Promise<exitCode.ExitCodeValue> => {
    const openedLog = await openCurrentLog(options, output);
    if (typeof openedLog === "number") {
        return openedLog;
    }
    const body: ledger.RecordBody = {
        kind: ledger.RecordKind.promote,
        from: options.from,
        to: options.to,
        basedOnFrom: options.basedOn ?? logSession.versionOf(openedLog.state, options.from),
        basedOnTo: logSession.versionOf(openedLog.state, options.to),
    };
    return writeRecord(openedLog.session, body, options.to, output);
};
