/** Lines of an instance's log. */
import * as zod from "zod";

const lineSchema = zod.looseObject({ time: zod.string(), instance: zod.string(), event: zod.string() });

/** One event with its fields. */
export type LogLine = zod.infer<typeof lineSchema>;

const parseLine = (text: string): LogLine | undefined => {
    const start = text.indexOf("{");
    try {
        const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // What is no JSON was written by something else.
        return undefined;
    }
};

/**
 * Reads the events of a log. Text before a line's JSON, such as a collector's prefix, is passed over.
 *
 * @param text - the log
 * @returns its events in the order of the text
 */
export const parseLines = (text: string): LogLine[] =>
    text.split("\n").filter(line => line.includes("{")).flatMap(line => parseLine(line) ?? []);
