/** Commands that change an environment: publish and promote. */
import { parseEnvironment, parseSettings } from "@mulberryseam/configuration";
import { type LogState, type RecordBody, RecordKind } from "@mulberryseam/ledger";
import { ExitCode, type ExitCodeValue } from "./exitCode";
import { readChecked } from "./files";
import { createLogSession, type LogSession, versionOf } from "./logSession";
import type { Output } from "./output";

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

const openSession = (options: ChangeOptions, output: Output): LogSession | undefined => {
    if (options.logService !== undefined) {
        return createLogSession({ url: options.logService, stream: options.logStream });
    }
    if (options.settings === undefined) {
        output.error("expected --log-service URL or --settings FILE");
        return undefined;
    }
    const settings = readChecked(options.settings, parseSettings);
    if (settings.err) {
        output.error(settings.val);
        return undefined;
    }
    const { logService, logStream } = settings.val.value.platform;
    return createLogSession({ url: logService, stream: logStream });
};

interface OpenedLog {
    session: LogSession;
    state: LogState;
}

const openAtEnd = async (options: ChangeOptions, output: Output): Promise<OpenedLog | ExitCodeValue> => {
    const session = openSession(options, output);
    if (session === undefined) {
        return ExitCode.usage;
    }
    const state = await session.readToEnd();
    if (state.err) {
        output.error(state.val);
        return ExitCode.failure;
    }
    return { session, state: state.val };
};

const writeChange = async (
    session: LogSession,
    body: RecordBody,
    environment: string,
    output: Output,
): Promise<ExitCodeValue> => {
    const written = await session.write(body);
    if (written.ok) {
        output.result({ environment, version: written.val }, `${environment} is at version ${written.val}`);
        return ExitCode.success;
    }
    if (written.val.kind === "refused") {
        output.error(`not accepted: ${written.val.message}`);
        return ExitCode.conflict;
    }
    output.error(`not known whether accepted: ${written.val.message}; run the command again with the same --based-on`);
    return ExitCode.unknown;
};

/**
 * Publishes a document.
 *
 * @param file - path of the document
 * @param options - where to, and on which version it is based
 * @param output - where to print
 * @returns the exit code
 */
export const publish = async (file: string, options: PublishOptions, output: Output): Promise<ExitCodeValue> => {
    const document = readChecked(file, parseEnvironment);
    if (document.err) {
        output.error(document.val);
        return ExitCode.usage;
    }
    const opened = await openAtEnd(options, output);
    if (typeof opened === "number") {
        return opened;
    }
    const body: RecordBody = {
        kind: RecordKind.publish,
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
export const promote = async (options: PromoteOptions, output: Output): Promise<ExitCodeValue> => {
    const opened = await openAtEnd(options, output);
    if (typeof opened === "number") {
        return opened;
    }
    const body: RecordBody = {
        kind: RecordKind.promote,
        from: options.from,
        to: options.to,
        basedOnFrom: options.basedOn ?? versionOf(opened.state, options.from),
        basedOnTo: versionOf(opened.state, options.to),
    };
    return writeChange(opened.session, body, options.to, output);
};
