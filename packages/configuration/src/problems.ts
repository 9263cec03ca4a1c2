/** Reads YAML against a schema and names the file, line and field of each problem. */
import * as tsResults from "ts-results";
import * as yaml from "yaml";
import type * as zod from "zod";

/** One problem of a document. */
export interface ConfigurationProblem {
    /** Name of the file or record the document came from. */
    file: string;
    /** Line number, counted from 1. */
    line: number;
    /** Path of the field, such as `ranks.0.floor`; empty for the document itself. */
    field: string;
    /** What was expected, as a sentence without a full stop. */
    expected: string;
}

/** What to read and how. */
export interface ReadOptions {
    file: string;
    text: string;
    /** The longest text accepted, in bytes. */
    maximumBytes: number;
}

/**
 * Formats a problem as a line for people.
 *
 * @param problem - the problem
 * @returns `FILE:LINE: FIELD: what was expected`
 */
export const describeProblem = (problem: ConfigurationProblem): string => {
    const field = problem.field === "" ? "" : ` ${problem.field}:`;
    return `${problem.file}:${problem.line}:${field} ${problem.expected}`;
};

const lineOf = (
    document: yaml.Document.Parsed,
    counter: yaml.LineCounter,
    path: readonly PropertyKey[],
): number => {
    for (let length = path.length; length >= 0; length--) {
        const node = document.getIn(path.slice(0, length), true) as yaml.Node | undefined;
        const offset = node?.range?.[0];
        if (offset !== undefined) {
            return counter.linePos(offset).line;
        }
    }
    return 1;
};

const describeIssue = (issue: zod.core.$ZodIssue): string => {
    if (issue.code === "unrecognized_keys") {
        return `unknown field ${issue.keys.map(key => `"${key}"`).join(", ")}`;
    }
    return issue.message;
};

// Aliases could make a short text grow without bound.
const toPlainData = (document: yaml.Document.Parsed): tsResults.Result<unknown, string> => {
    try {
        return tsResults.Ok(document.toJS({ maxAliasCount: 0 }));
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};

const pathOf = (issue: zod.core.$ZodIssue): PropertyKey[] =>
    issue.code === "unrecognized_keys" ? [...issue.path, issue.keys[0]] : issue.path;

/**
 * Parses YAML and checks it against a schema.
 *
 * @param options - the text and its limits
 * @param schema - the schema of the whole document
 * @returns the value, or every problem found
 */
export const readDocument = <T>(
    options: ReadOptions,
    schema: zod.ZodType<T>,
): tsResults.Result<T, ConfigurationProblem[]> => {
    const { file, text } = options;
    const bytes = Buffer.byteLength(text);
    if (bytes > options.maximumBytes) {
        const expected = `expected at most ${options.maximumBytes} bytes, got ${bytes}`;
        return tsResults.Err([{ file, line: 1, field: "", expected }]);
    }
    const counter = new yaml.LineCounter();
    const document = yaml.parseDocument(text, { lineCounter: counter });
    if (document.errors.length > 0) {
        return tsResults.Err(document.errors.map(error => ({
            file,
            line: counter.linePos(error.pos[0]).line,
            field: "",
            expected: error.message.split("\n")[0],
        })));
    }
    const value = toPlainData(document);
    if (value.err) {
        return tsResults.Err([{ file, line: 1, field: "", expected: value.val }]);
    }
    const parsed = schema.safeParse(value.val);
    if (parsed.success) {
        return tsResults.Ok(parsed.data);
    }
    return tsResults.Err(parsed.error.issues.map(issue => ({
        file,
        line: lineOf(document, counter, pathOf(issue)),
        field: issue.path.join("."),
        expected: describeIssue(issue),
    })));
};
