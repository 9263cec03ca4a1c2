/** Commands that change an environment: publish and promote. */
import * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import * as exitCode from "./exitCode";
import * as files from "./files";
import * as logSession from "./logSession";
import type * as printing from "./output";

/** Options that both commands take. */
export interface ChangeOptions {
    settings?: string;
    logService?: string;
    logStream: string;
}

/** Options of publish. */
export interface PublishOptions extends ChangeOptions {
    environment: string;
    basedOn?: number;
}

/** Options of promote. */
export interface PromoteOptions extends ChangeOptions {
    from: string;
    to: string;
    basedOn?: number;
}

const openSession = (options: ChangeOptions, output: printing.Output): logSession.LogSession | undefined => {
    if (options.logService !== undefined) {
        return logSession.createLogSession({ url: options.logService, stream: options.logStream });
    }
    if (options.settings === undefined) {
        output.error("expected --log-service URL or --settings FILE");
        return undefined;
    }
    const settings = files.readChecked(options.settings, configuration.parseSettings);
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

const openAtEnd = async (
    options: ChangeOptions,
    output: printing.Output,
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

const writeChange = async (
    session: logSession.LogSession,
    body: ledger.RecordBody,
    environment: string,
    output: printing.Output,
): Promise<exitCode.ExitCodeValue> => {
    const written = await session.write(body);
    if (written.ok) {
        output.result({ environment, version: written.val }, `${environment} is at version ${written.val}`);
        return exitCode.ExitCode.success;
    }
    if (written.val.kind === "refused") {
        output.error(`not accepted: ${written.val.message}`);
        return exitCode.ExitCode.conflict;
    }
    output.error(`not known whether accepted: ${written.val.message}; run the command again with the same --based-on`);
    return exitCode.ExitCode.unknown;
};

/**
 * Publishes a document.
 *
 * @param file - path of the document
 * @param options - where to, and on which version it is based
 * @param output - where to print
 * @returns the exit code
 */
export const publish = async (
    file: string,
    options: PublishOptions,
    output: printing.Output,
): Promise<exitCode.ExitCodeValue> => {
    const document = files.readChecked(file, configuration.parseEnvironment);
    if (document.err) {
        output.error(document.val);
        return exitCode.ExitCode.usage;
    }
    const opened = await openAtEnd(options, output);
    if (typeof opened === "number") {
        return opened;
    }
    const body: ledger.RecordBody = {
        kind: ledger.RecordKind.publish,
        environment: options.environment,
        basedOn: options.basedOn ?? -1,
        document: document.val.text,
    };
    return writeChange(opened.session, body, options.environment, output);
};

/**
 * Promotes the document of one environment to another.
 *
 * @param options - from where to where
 * @param output - where to print
 * @returns the exit code
 */
export const promote = async (options: PromoteOptions, output: printing.Output): Promise<exitCode.ExitCodeValue> => {
    const opened = await openAtEnd(options, output);
    if (typeof opened === "number") {
        return opened;
    }
    const body: ledger.RecordBody = {
        kind: ledger.RecordKind.promote,
        from: options.from,
        to: options.to,
        basedOnFrom: options.basedOn ?? logSession.versionOf(opened.state, options.from),
        basedOnTo: logSession.versionOf(opened.state, options.to),
    };
    return writeChange(opened.session, body, options.to, output);
};
