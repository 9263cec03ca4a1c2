/** Validates YAML against a schema and reports the file, line and field of each problem. */
import * as tsResults from "ts-results";
import * as yaml from "yaml";
import type * as zod from "zod";

/** A problem in a document. */
export interface ConfigurationProblem {
    /** Name of the file or record that contains the document. */
    file: string;
    /** Line number, starting at 1. */
    line: number;
    /** Path of the field, such as `ranks.0.floorShare`; empty for the document itself. */
    field: string;
    /** Description of the expected value, without a final period. */
    expected: string;
}

/** Options of {@link readDocument}. */
export interface ReadOptions {
    /** File name reported in problems. */
    file: string;
    text: string;
    /** Maximum size of the text in bytes. */
    maxBytes: number;
}

/**
 * Formats a problem as one line of text.
 *
 * @param problem - the problem
 * @returns `FILE:LINE: FIELD: EXPECTED`
 */
export const describeProblem = (problem: ConfigurationProblem): string => {
    const field = problem.field === "" ? "" : ` ${problem.field}:`;
    return `${problem.file}:${problem.line}:${field} ${problem.expected}`;
};

// Returns the line of the field, or of its closest ancestor that is present in the document.
const findLine = (
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

// Rejects aliases: nested ones could expand a short text without bound.
const toPlainData = (document: yaml.Document.Parsed): tsResults.Result<unknown, string> => {
    try {
        return tsResults.Ok(document.toJS({ maxAliasCount: 0 }));
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};

// The path of an unknown field includes the field itself, so that its own line is reported.
const findPath = (issue: zod.core.$ZodIssue): PropertyKey[] =>
    issue.code === "unrecognized_keys" ? [...issue.path, issue.keys[0]] : issue.path;

/**
 * Parses YAML and validates it against a schema.
 *
 * @param options - the text, its file name and its maximum size
 * @param schema - the schema of the whole document
 * @returns the validated value, or all problems found
 */
export const readDocument = <T>(
    options: ReadOptions,
    schema: zod.ZodType<T>,
): tsResults.Result<T, ConfigurationProblem[]> => {
    const { file, text } = options;
    const bytes = Buffer.byteLength(text);
    if (bytes > options.maxBytes) {
        const expected = `expected at most ${options.maxBytes} bytes, got ${bytes}`;
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
        line: findLine(document, counter, findPath(issue)),
        field: issue.path.join("."),
        expected: describeIssue(issue),
    })));
};
