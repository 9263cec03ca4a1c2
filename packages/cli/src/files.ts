/** Reads files that operators name. */
import { type ConfigurationProblem, describeProblem } from "@mulberryseam/configuration";
import * as fs from "node:fs";
import { Err, Ok, type Result } from "ts-results";

/**
 * Reads a file and checks what it holds.
 *
 * @param file - path of the file
 * @param parse - checks the text
 * @returns the checked value and the text, or what is wrong, a line a problem
 */
export const readChecked = <T>(
    file: string,
    parse: (file: string, text: string) => Result<T, ConfigurationProblem[]>,
): Result<{ value: T; text: string; }, string> => {
    let text: string;
    try {
        text = fs.readFileSync(file, "utf8");
    }
    catch (error) {
        return Err(`${file}: ${(error as Error).message}`);
    }
    const parsed = parse(file, text);
    return parsed.ok ? Ok({ value: parsed.val, text }) : Err(parsed.val.map(describeProblem).join("\n"));
};
