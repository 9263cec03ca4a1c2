/** Checks the promises of the product against what callers and upstreams saw. */

/** A request as its caller saw it. */
export interface CallerRecord {
    identifier: string;
    method: string;
    instance: string;
    sentAt: number;
    endedAt: number;
    /** 0 when the connection ended without a whole answer. */
    status: number;
    echoedIdentifier: string | undefined;
    isSigned: boolean;
    body: string;
}

/** A run as an upstream saw it. */
export interface RunRecord {
    identifier: string;
    method: string;
    upstream: string;
}

/** What was seen in a run. */
export interface Evidence {
    callers: readonly CallerRecord[];
    runs: readonly RunRecord[];
    /** Keys that two upstreams held when one of them began a request. */
    sharedKeys: readonly string[];
    /** Whether all that happened was planned work. */
    isPlanned: boolean;
    /** Time from which the site had to serve again. */
    recoveredAt: number;
    /** Longest time that the route keeps a caller waiting, in milliseconds; undefined leaves times unchecked. */
    timeoutMilliseconds: number | undefined;
    /** Whether an instance was paused or killed while the request was under way. */
    wasDisturbed: (record: CallerRecord) => boolean;
}

/** Statuses by which a caller is told that its request has not run and never will. */
const notRunStatuses = [408, 421, 429, 503];
/** Time beyond the route's timeout in which its answer has to be there, in milliseconds. */
const graceMilliseconds = 500;
/** Part of the requests that must be served once the site has recovered. */
const servedPart = 0.9;

const isSuccess = ({ status }: CallerRecord): boolean => status >= 200 && status < 300;

const judgeAnswers = ({ callers }: Evidence): string[] =>
    callers.filter(isSuccess).flatMap(record => {
        const isOwn = record.echoedIdentifier === record.identifier && record.body === `answer to ${record.identifier}`;
        return isOwn && record.isSigned ? [] : [`${record.identifier}: not the whole answer to its own request`];
    });

const judgeRuns = ({ callers, runs }: Evidence): string[] => {
    const byIdentifier = new Map<string, RunRecord[]>();
    runs.forEach(run => byIdentifier.set(run.identifier, [...byIdentifier.get(run.identifier) ?? [], run]));
    const sent = new Set(callers.map(record => record.identifier));
    const unasked = [...byIdentifier.keys()].filter(identifier => !sent.has(identifier));
    const twice = [...byIdentifier].filter(([, list]) => list.length > 1 && list[0].method !== "GET");
    const untrue = callers.filter(record =>
        record.method !== "GET" && notRunStatuses.includes(record.status) && byIdentifier.has(record.identifier)
    );
    return [
        ...unasked.map(identifier => `${identifier}: run, though nobody sent it`),
        ...twice.map(([identifier, list]) => `${identifier}: ran ${list.length} times`),
        ...untrue.map(record => `${record.identifier}: said not to have run (${record.status}), though it had`),
    ];
};

const judgeTimes = (evidence: Evidence): string[] => {
    const { timeoutMilliseconds } = evidence;
    if (timeoutMilliseconds === undefined) {
        return [];
    }
    const held = evidence.callers.filter(record =>
        record.endedAt - record.sentAt > timeoutMilliseconds + graceMilliseconds && !evidence.wasDisturbed(record)
    );
    const late = evidence.callers.filter(record => record.sentAt >= evidence.recoveredAt);
    const served = late.filter(isSuccess).length;
    return [
        ...held.map(({ identifier, sentAt, endedAt }) => `${identifier}: held for ${Math.round(endedAt - sentAt)} ms`),
        ...(served < late.length * servedPart ? [`after recovery ${served} of ${late.length} were served`] : []),
    ];
};

const judgePlanned = ({ isPlanned, callers, runs }: Evidence): string[] => {
    if (!isPlanned) {
        return [];
    }
    const ran = new Set(runs.map(run => run.identifier));
    return callers.filter(record => record.status === 0 && ran.has(record.identifier))
        .map(record => `${record.identifier}: cut by planned work`);
};

/**
 * Judges a run.
 *
 * @param evidence - what was seen
 * @returns every promise that was broken, a line each
 */
export const judge = (evidence: Evidence): string[] => [
    ...evidence.sharedKeys,
    ...judgeAnswers(evidence),
    ...judgeRuns(evidence),
    ...judgePlanned(evidence),
    ...judgeTimes(evidence),
];
