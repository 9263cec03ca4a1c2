/** Diagnostic log: short messages, each tagged with the component that wrote it. */
// eslint-disable-next-line no-restricted-syntax -- the namespace type of consola lacks createConsola
import { type ConsolaReporter, createConsola } from "consola";

/** Log levels, by the numbers consola uses; a logger drops messages above its level. */
export const LogLevel = { error: 0, warning: 1, information: 3, debug: 4 } as const;

/** Writes messages with optional structured fields. */
export interface Logger {
    error: (message: string, fields?: object) => void;
    warning: (message: string, fields?: object) => void;
    information: (message: string, fields?: object) => void;
    debug: (message: string, fields?: object) => void;
    /** Creates a logger that adds the tag of a component to its messages. */
    withTag: (tag: string) => Logger;
}

const createJsonReporter = (): ConsolaReporter => ({
    log: entry => {
        const [text, fields] = entry.args as [string, object | undefined];
        const line = {
            time: entry.date.toISOString(),
            level: entry.type,
            part: entry.tag,
            message: text,
            ...fields,
        };
        process.stderr.write(`${JSON.stringify(line)}\n`);
    },
});

/**
 * Creates the logger of a process. It writes to standard error: readable text on a terminal, JSON lines otherwise.
 *
 * @param level - most verbose level written, one of {@link LogLevel}
 * @returns a logger without a tag
 */
export const createLogger = (level: number = LogLevel.information): Logger => {
    const isTerminal = process.stderr.isTTY === true;
    const consola = createConsola({
        level,
        stdout: process.stderr,
        stderr: process.stderr,
        ...(isTerminal ? {} : { reporters: [createJsonReporter()] }),
    });
    const wrap = (target: typeof consola): Logger => ({
        error: (message, fields) => target.error(message, ...(fields ? [fields] : [])),
        warning: (message, fields) => target.warn(message, ...(fields ? [fields] : [])),
        information: (message, fields) => target.info(message, ...(fields ? [fields] : [])),
        debug: (message, fields) => target.debug(message, ...(fields ? [fields] : [])),
        withTag: tag => wrap(target.withTag(tag)),
    });
    return wrap(consola);
};

/**
 * Creates a logger that discards all messages.
 *
 * @returns a logger without output
 */
export const createSilentLogger = (): Logger => {
    const noop = (): void => undefined;
    const logger: Logger = {
        error: noop,
        warning: noop,
        information: noop,
        debug: noop,
        withTag: () => logger,
    };
    return logger;
};
