/** Reads configuration files given on the command line. */
import * as configuration from "@mulberryseam/configuration";
import * as fs from "node:fs";
import * as tsResults from "ts-results";

/**
 * Reads a file and validates its content.
 *
 * @param file - path of the file
 * @param parse - parses and validates the text
 * @returns the parsed value with the text, or the problems found, one per line
 */
export const readAndParse = <T>(
    file: string,
    parse: (file: string, text: string) => tsResults.Result<T, configuration.ConfigurationProblem[]>,
): tsResults.Result<{ value: T; text: string; }, string> => {
    let text: string;
    try {
        text = fs.readFileSync(file, "utf8");
    }
    catch (error) {
        return tsResults.Err(`${file}: ${(error as Error).message}`);
    }
    const parsed = parse(file, text);
    return parsed.ok
        ? tsResults.Ok({ value: parsed.val, text })
        : tsResults.Err(parsed.val.map(configuration.describeProblem).join("\n"));
};
