/** What commands print: text for people, or one JSON value for scripts. */

/** Prints results and errors. */
export interface Output {
    /** Prints a result. */
    result: (value: object, text: string) => void;
    /** Prints an error. */
    error: (message: string) => void;
}

/**
 * Creates the output of a command.
 *
 * @param isJson - whether to print JSON
 * @returns the output
 */
export const createOutput = (isJson: boolean): Output => ({
    result: (value, text) => process.stdout.write(isJson ? `${JSON.stringify(value)}\n` : `${text}\n`),
    error: message => process.stderr.write(isJson ? `${JSON.stringify({ error: message })}\n` : `error: ${message}\n`),
});
