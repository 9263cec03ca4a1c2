/** Output of commands: text for people, or one JSON value for scripts. */

/** Prints the results and errors of a command. */
export interface Output {
    /** Prints `value` as JSON, or `text`, to standard output. */
    result: (value: object, text: string) => void;
    /** Prints an error to standard error. */
    error: (message: string) => void;
}

/**
 * Creates the output of a command.
 *
 * @param isJson - whether to print JSON instead of text
 * @returns the output
 */
export const createOutput = (isJson: boolean): Output => ({
    result: (value, text) => process.stdout.write(isJson ? `${JSON.stringify(value)}\n` : `${text}\n`),
    error: message => process.stderr.write(isJson ? `${JSON.stringify({ error: message })}\n` : `error: ${message}\n`),
});
