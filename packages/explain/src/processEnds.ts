/** Finds processes of instances that ended without having been stopped. */
import type * as logLine from "./logLine";

/** The end of a process that was not stopped, as its instance's log shows it. */
export interface ProcessEnd {
    instance: string;
    /** The last line of the process. */
    last: logLine.LogLine;
    /** The last internal error that the process logged, if any. */
    lastError: logLine.LogLine | undefined;
    /** The first line of the next process. */
    started: logLine.LogLine;
}

const timeOf = (line: logLine.LogLine): number => Date.parse(line.time);

const findEndsOfInstance = (instance: string, lines: readonly logLine.LogLine[]): ProcessEnd[] => {
    const ends: ProcessEnd[] = [];
    let last: logLine.LogLine | undefined;
    let lastError: logLine.LogLine | undefined;
    for (const line of lines) {
        if (line.event === "started") {
            if (last !== undefined && last.event !== "stopped") {
                ends.push({ instance, last, lastError, started: line });
            }
            lastError = undefined;
        }
        if (line.event === "internal-error") {
            lastError = line;
        }
        last = line;
    }
    return ends;
};

/**
 * Finds the processes that ended without a `stopped` line although their instance started again.
 *
 * @param lines - events of all instances
 * @returns the ends, by time
 */
export const findProcessEnds = (lines: readonly logLine.LogLine[]): ProcessEnd[] => {
    const sorted = [...lines].sort((left, right) => timeOf(left) - timeOf(right));
    const instances = [...new Set(sorted.map(line => line.instance))];
    return instances
        .flatMap(instance => findEndsOfInstance(instance, sorted.filter(line => line.instance === instance)))
        .sort((left, right) => timeOf(left.started) - timeOf(right.started));
};

/**
 * Returns whether a process may have ended in a span of time.
 *
 * @param end - the end of the process
 * @param from - start of the span, in milliseconds since the epoch
 * @param until - end of the span
 * @returns whether the process wrote its last line before the end of the span, and the next one started after its start
 */
export const mayHaveEndedIn = (end: ProcessEnd, from: number, until: number): boolean =>
    timeOf(end.last) <= until && timeOf(end.started) >= from;

/**
 * Describes the end of a process.
 *
 * @param end - the end of the process
 * @returns one sentence
 */
export const describeProcessEnd = ({ instance, last, lastError, started }: ProcessEnd): string =>
    `${instance} started again at ${started.time} without a stop before: its process ended by itself or was killed after `
    + `its last line (${last.event}) at ${last.time}`
    + (lastError === undefined
        ? ""
        : `; its last internal error, at ${lastError.time}, was: ${String(lastError.message ?? lastError.error)}`)
    + ". Requests that were open then have no further line.";
