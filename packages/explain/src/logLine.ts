/** Parses the event log of an instance, one JSON object per line. */
import * as zod from "zod";

const lineSchema = zod.looseObject({ time: zod.string(), instance: zod.string(), event: zod.string() });

/** One logged event with its fields. */
export type LogLine = zod.infer<typeof lineSchema>;

const parseLine = (text: string): LogLine | undefined => {
    const jsonStart = text.indexOf("{");
    try {
        const parsed = lineSchema.safeParse(JSON.parse(text.slice(jsonStart)));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // Lines that are not JSON come from other programs.
        return undefined;
    }
};

/**
 * Parses the events of a log. Text before the JSON of a line, such as a log collector's prefix, is ignored, and so are
 * lines without an event.
 *
 * @param text - content of the log
 * @returns the events, in the order of their lines
 */
export const parseLines = (text: string): LogLine[] =>
    text.split("\n").filter(line => line.includes("{")).flatMap(line => parseLine(line) ?? []);
