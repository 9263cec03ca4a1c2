/** Orders the events that concern one request or one key. */
import * as cause from "./cause";
import type * as logLine from "./logLine";

/** What is told. */
export interface Story {
    /** Events in the order of their time; the clocks of instances may differ. */
    lines: logLine.LogLine[];
    /** What came of it, a sentence each. */
    conclusions: string[];
}

/** Time around a request in which events of what it touched are told too, in milliseconds. */
const contextMilliseconds = 3000;

/** Events that change what an instance believes of everything. */
const siteEvents: ReadonlySet<string> = new Set([
    "started",
    "stopping",
    "stopped",
    "document-in-force",
    "store-lost",
    "store-regained",
    "leadership-won",
    "leadership-lost",
    "leadership-resigned",
]);

const timeOf = (line: logLine.LogLine): number => Date.parse(line.time);

const inOrder = (lines: readonly logLine.LogLine[]): logLine.LogLine[] =>
    [...lines].sort((left, right) => timeOf(left) - timeOf(right));

const isEnd = ({ event }: logLine.LogLine): boolean => event === "request-failed" || event === "request-answered";

const coversKey = (line: logLine.LogLine, service: unknown, key: number): boolean =>
    line.event === "order" && (service === undefined || line.service === service)
    && Number(line.first) <= key && key <= Number(line.last);

/**
 * Tells of one request.
 *
 * @param lines - events of all instances
 * @param identifier - the request's
 * @returns its events, with those around it about its key, its upstreams, and the instance that took it
 */
export const tellRequest = (lines: readonly logLine.LogLine[], identifier: string): Story => {
    const own = inOrder(lines.filter(line => line.request === identifier));
    const ends = own.filter(isEnd);
    if (own.length === 0) {
        const conclusion = "No line names it: it never arrived, or it was answered and left out of the sample.";
        return { lines: [], conclusions: [conclusion] };
    }
    const from = timeOf(own[0]) - contextMilliseconds;
    const until = timeOf(own[own.length - 1]) + contextMilliseconds;
    const instances = new Set(own.map(line => line.instance));
    const upstreams = new Set(own.flatMap(line => [line.upstream, ...String(line.tried ?? "").split(",")]));
    const key = ends.find(line => line.key !== undefined);
    const concerns = (line: logLine.LogLine): boolean => {
        const isOfUpstream = line.event.startsWith("upstream-") && upstreams.has(line.upstream);
        const isOfOwner = line.event === "owner-ended" && upstreams.has(String(line.owner).split("@")[0]);
        const isOfKey = key !== undefined && coversKey(line, key.service, Number(key.key));
        const isOfLeader = line.event.startsWith("leadership-");
        return isOfUpstream || isOfOwner || isOfKey || isOfLeader
            || (instances.has(line.instance) && siteEvents.has(line.event));
    };
    const around = lines.filter(line =>
        line.request === undefined && timeOf(line) >= from && timeOf(line) <= until && concerns(line)
    );
    return { lines: inOrder([...own, ...around]), conclusions: ends.map(cause.causeOf) };
};

/**
 * Tells of one key.
 *
 * @param lines - events of all instances
 * @param key - the key
 * @param service - its service; undefined for every one
 * @returns orders about it, ends of their owners, changes of the leader, and its requests that failed
 */
export const tellKey = (lines: readonly logLine.LogLine[], key: number, service: string | undefined): Story => {
    const orders = lines.filter(line => coversKey(line, service, key));
    const owners = new Set(orders.map(line => line.owner));
    const told = lines.filter(line =>
        (line.event === "owner-ended" && owners.has(line.owner)) || line.event.startsWith("leadership-")
        || (line.event === "request-failed" && line.key === key && (service === undefined || line.service === service))
    );
    const failures = told.filter(line => line.event === "request-failed");
    const reasons = new Map<string, number>();
    failures.forEach(line => reasons.set(String(line.reason), (reasons.get(String(line.reason)) ?? 0) + 1));
    const conclusions = [
        `${orders.length} releases and grants that were not done, ${failures.length} requests that failed.`,
        ...[...reasons].map(([reason, count]) => `${count} times: ${reason}.`),
    ];
    return { lines: inOrder([...orders, ...told]), conclusions };
};
