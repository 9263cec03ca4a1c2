/** Commands that print the timeline of a request or a key from the event logs of instances. */
import * as explain from "@mulberryseam/explain";
import * as fs from "node:fs";
import type * as commandOutput from "./commandOutput";
import * as exitCode from "./exitCode";

const readLogs = (files: readonly string[], output: commandOutput.Output): explain.LogLine[] | undefined => {
    const lines: explain.LogLine[] = [];
    for (const file of files) {
        try {
            lines.push(...explain.parseLines(fs.readFileSync(file, "utf8")));
        }
        catch (error) {
            output.error(`${file} cannot be read: ${(error as Error).message}`);
            return undefined;
        }
    }
    return lines;
};

const formatLine = ({ time, instance, event, ...fields }: explain.LogLine): string => {
    const printedFields = Object.entries(fields).filter(([, value]) => value !== "");
    return `${time} ${instance} ${event} ${printedFields.map(([name, value]) => `${name}=${String(value)}`).join(" ")}`;
};

const printTimeline = (timeline: explain.Timeline, output: commandOutput.Output): exitCode.ExitCodeValue => {
    output.result(timeline, [...timeline.lines.map(formatLine), ...timeline.conclusions].join("\n"));
    return timeline.lines.length > 0 ? exitCode.ExitCode.success : exitCode.ExitCode.failure;
};

/**
 * Prints the timeline of a request.
 *
 * @param identifier - identifier of the request
 * @param files - paths of event logs of instances
 * @param output - prints the timeline or an error
 * @returns the exit code; `failure` if no line has the identifier, `usage` if a file cannot be read
 */
export const explainRequest = (
    identifier: string,
    files: readonly string[],
    output: commandOutput.Output,
): exitCode.ExitCodeValue => {
    const lines = readLogs(files, output);
    return lines === undefined
        ? exitCode.ExitCode.usage
        : printTimeline(explain.createRequestTimeline(lines, identifier), output);
};

/**
 * Prints the timeline of a key.
 *
 * @param key - the key
 * @param service - service of the key; undefined for all services
 * @param files - paths of event logs of instances
 * @param output - prints the timeline or an error
 * @returns the exit code; `failure` if no line concerns the key, `usage` if a file cannot be read
 */
export const explainKey = (
    key: number,
    service: string | undefined,
    files: readonly string[],
    output: commandOutput.Output,
): exitCode.ExitCodeValue => {
    const lines = readLogs(files, output);
    return lines === undefined
        ? exitCode.ExitCode.usage
        : printTimeline(explain.createKeyTimeline(lines, key, service), output);
};
