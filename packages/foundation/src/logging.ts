/** Logs: short sentences, each with the prefix of the part that wrote it. */
// eslint-disable-next-line no-restricted-syntax -- the types of its namespace do not have createConsola
import { type ConsolaReporter, createConsola } from "consola";

/** Levels a log can be cut at. */
export const LogLevel = { error: 0, warning: 1, information: 3, debug: 4 } as const;

/** Writes short sentences with optional fields. */
export interface Logger {
    error: (sentence: string, fields?: object) => void;
    warning: (sentence: string, fields?: object) => void;
    information: (sentence: string, fields?: object) => void;
    debug: (sentence: string, fields?: object) => void;
    /** Creates a logger for a part, with its own prefix. */
    part: (prefix: string) => Logger;
}

const createJsonReporter = (): ConsolaReporter => ({
    log: entry => {
        const [sentence, fields] = entry.args as [string, object | undefined];
        const line = {
            time: entry.date.toISOString(),
            level: entry.type,
            part: entry.tag,
            message: sentence,
            ...fields,
        };
        process.stderr.write(`${JSON.stringify(line)}\n`);
    },
});

/**
 * Creates the logger of a process: for people in a terminal, JSON lines elsewhere, always on the error stream.
 *
 * @param level - one of {@link LogLevel}
 * @returns a logger without a prefix; parts take their own from it
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
        error: (sentence, fields) => target.error(sentence, ...(fields ? [fields] : [])),
        warning: (sentence, fields) => target.warn(sentence, ...(fields ? [fields] : [])),
        information: (sentence, fields) => target.info(sentence, ...(fields ? [fields] : [])),
        debug: (sentence, fields) => target.debug(sentence, ...(fields ? [fields] : [])),
        part: prefix => wrap(target.withTag(prefix)),
    });
    return wrap(consola);
};

/**
 * Creates a logger that writes nothing.
 *
 * @returns the logger
 */
export const createSilentLogger = (): Logger => {
    const ignore = (): void => undefined;
    const logger: Logger = {
        error: ignore,
        warning: ignore,
        information: ignore,
        debug: ignore,
        part: () => logger,
    };
    return logger;
};
