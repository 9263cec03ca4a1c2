/** Selects the logged events that concern one request or one key, and orders them by time. */
import type * as logLine from "./logLine";
import * as outcome from "./outcome";
import * as processEnds from "./processEnds";

/** Events about one request or key, with a summary. */
export interface Timeline {
    /** Events ordered by timestamp; clocks of instances may differ. */
    lines: logLine.LogLine[];
    /** Summary of the outcome, one sentence per entry. */
    conclusions: string[];
}

/** Time before and after a request in which related events are included, in milliseconds. */
const contextMilliseconds = 3000;

/** Ends of processes that are listed when no line has the identifier of a request. */
const maxProcessEnds = 20;

/** Events that affect all requests of an instance. */
const instanceEvents: ReadonlySet<string> = new Set([
    "started",
    "stopping",
    "stopped",
    "document-in-force",
    "internal-error",
    "settings-reread",
    "isolated",
    "isolation-ended",
    "store-lost",
    "store-regained",
    "leadership-won",
    "leadership-lost",
    "leadership-resigned",
]);

const timeOf = (line: logLine.LogLine): number => Date.parse(line.time);

const sortByTime = (lines: readonly logLine.LogLine[]): logLine.LogLine[] =>
    [...lines].sort((left, right) => timeOf(left) - timeOf(right));

const isOutcome = ({ event }: logLine.LogLine): boolean => event === "request-failed" || event === "request-answered";

const isCommandForKey = (line: logLine.LogLine, service: unknown, key: number): boolean =>
    line.event === "order" && (service === undefined || line.service === service)
    && Number(line.first) <= key && key <= Number(line.last);

/** Results of lease commands that did not reach the upstream they were meant for. */
const undeliveredResults: ReadonlySet<unknown> = new Set(["misdirected", "notListening"]);

const isUndeliveredCommand = ({ event, result }: logLine.LogLine): boolean =>
    event === "order" && undeliveredResults.has(result);

/**
 * Creates the timeline of one request.
 *
 * @param lines - events of all instances
 * @param identifier - identifier of the request
 * @returns the events of the request, and events close in time that concern its key, its upstreams, the instances that
 * logged it, or the leader
 */
export const createRequestTimeline = (lines: readonly logLine.LogLine[], identifier: string): Timeline => {
    const requestLines = sortByTime(lines.filter(line => line.request === identifier));
    const outcomes = requestLines.filter(isOutcome);
    if (requestLines.length === 0) {
        const conclusion =
            "No line has this identifier: the request never arrived, it got a response and was not sampled, or its process ended before it.";
        const ends = processEnds.findProcessEnds(lines).slice(0, maxProcessEnds);
        return {
            lines: [],
            conclusions: [conclusion, ...ends.map(processEnds.describeProcessEnd)],
        };
    }
    const startTime = timeOf(requestLines[0]) - contextMilliseconds;
    const endTime = timeOf(requestLines[requestLines.length - 1]) + contextMilliseconds;
    const instances = new Set(requestLines.map(line => line.instance));
    const upstreams = new Set(
        requestLines.flatMap(line => [line.upstream, ...String(line.tried ?? "").split(",")])
            .filter(upstream => upstream !== undefined && upstream !== ""),
    );
    const keyedOutcome = outcomes.find(line => line.key !== undefined);
    const isRelated = (line: logLine.LogLine): boolean => {
        const isAboutUpstream = line.event.startsWith("upstream-") && upstreams.has(line.upstream);
        const isAboutOwner = isUndeliveredCommand(line) && upstreams.has(String(line.owner).split("@")[0]);
        const isAboutKey = keyedOutcome !== undefined
            && isCommandForKey(line, keyedOutcome.service, Number(keyedOutcome.key));
        const isAboutLeader = line.event.startsWith("leadership-");
        return isAboutUpstream || isAboutOwner || isAboutKey || isAboutLeader
            || (instances.has(line.instance) && instanceEvents.has(line.event));
    };
    const ends = processEnds.findProcessEnds(lines).filter(end =>
        instances.has(end.instance) && processEnds.mayHaveEndedIn(end, startTime, endTime)
    );
    const endLines = ends.flatMap(({ last, lastError, started }) => [last, started, ...(lastError ? [lastError] : [])]);
    const relatedLines = lines.filter(line =>
        line.request === undefined && timeOf(line) >= startTime && timeOf(line) <= endTime && isRelated(line)
    );
    return {
        lines: sortByTime([...new Set([...requestLines, ...relatedLines, ...endLines])]),
        conclusions: [...outcomes.map(outcome.describeOutcome), ...ends.map(processEnds.describeProcessEnd)],
    };
};

/**
 * Creates the timeline of one key.
 *
 * @param lines - events of all instances
 * @param key - the key
 * @param service - service of the key; undefined for all services
 * @returns lease commands for the key, leader changes, and failed requests for the key
 */
export const createKeyTimeline = (
    lines: readonly logLine.LogLine[],
    key: number,
    service: string | undefined,
): Timeline => {
    const leaseCommands = lines.filter(line => isCommandForKey(line, service, key));
    const relatedLines = lines.filter(line =>
        line.event.startsWith("leadership-")
        || (line.event === "request-failed" && line.key === key && (service === undefined || line.service === service))
    );
    const failures = relatedLines.filter(line => line.event === "request-failed");
    const failureCounts = new Map<string, number>();
    failures.forEach(line => failureCounts.set(String(line.reason), (failureCounts.get(String(line.reason)) ?? 0) + 1));
    const conclusions = [
        `${leaseCommands.length} releases and unsuccessful grants, ${failures.length} failed requests.`,
        ...[...failureCounts].map(([reason, count]) => `${count} failed with: ${reason}.`),
    ];
    return { lines: sortByTime([...leaseCommands, ...relatedLines]), conclusions };
};
