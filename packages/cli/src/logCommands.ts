/** Commands that read logs: the story of a request or of a key. */
import * as explain from "@mulberryseam/explain";
import * as fs from "node:fs";
import * as exitCode from "./exitCode";
import type * as output from "./output";

const readLogs = (files: readonly string[], print: output.Output): explain.LogLine[] | undefined => {
    const lines: explain.LogLine[] = [];
    for (const file of files) {
        try {
            lines.push(...explain.parseLines(fs.readFileSync(file, "utf8")));
        }
        catch (error) {
            print.error(`${file} cannot be read: ${(error as Error).message}`);
            return undefined;
        }
    }
    return lines;
};

const describeLine = ({ time, instance, event, ...fields }: explain.LogLine): string => {
    const shown = Object.entries(fields).filter(([, value]) => value !== "");
    return `${time} ${instance} ${event} ${shown.map(([name, value]) => `${name}=${String(value)}`).join(" ")}`;
};

const print = (story: explain.Story, to: output.Output): exitCode.ExitCodeValue => {
    to.result(story, [...story.lines.map(describeLine), ...story.conclusions].join("\n"));
    return story.lines.length > 0 ? exitCode.ExitCode.success : exitCode.ExitCode.failure;
};

/**
 * Tells the story of a request.
 *
 * @param identifier - the request's
 * @param files - logs of instances
 * @param to - where to print
 * @returns the exit code: failed when no line names the request
 */
export const explainRequest = (
    identifier: string,
    files: readonly string[],
    to: output.Output,
): exitCode.ExitCodeValue => {
    const lines = readLogs(files, to);
    return lines === undefined ? exitCode.ExitCode.usage : print(explain.tellRequest(lines, identifier), to);
};

/**
 * Tells the story of a key.
 *
 * @param key - the key
 * @param service - its service; undefined for every one
 * @param files - logs of instances
 * @param to - where to print
 * @returns the exit code: failed when no line concerns the key
 */
export const explainKey = (
    key: number,
    service: string | undefined,
    files: readonly string[],
    to: output.Output,
): exitCode.ExitCodeValue => {
    const lines = readLogs(files, to);
    return lines === undefined ? exitCode.ExitCode.usage : print(explain.tellKey(lines, key, service), to);
};
