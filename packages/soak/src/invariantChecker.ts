/** Checks the product's guarantees against the requests and executions that callers and upstreams recorded. */

import * as documents from "./documents";
import * as places from "./places";
import * as upstreamChecker from "./upstreamChecker";

/** A request as recorded by its caller. */
export interface CallerRecord {
    identifier: string;
    method: string;
    path: string;
    instance: string;
    sentAt: number;
    endedAt: number;
    /** Status of the response; 0 if the connection closed before the response was complete. */
    status: number;
    /** Whether the head of a response arrived. */
    hasResponse: boolean;
    /** Whether the caller left without waiting for the response, or did not send a proper request. */
    isUnusual: boolean;
    echoedIdentifier: string | undefined;
    isSigned: boolean;
    body: string;
}

/** The execution of a request as recorded by an upstream. */
export interface ExecutionRecord {
    identifier: string;
    method: string;
    upstream: string;
    service: documents.ServiceNameValue;
}

/** Everything recorded during a soak run. */
export interface Observations {
    callers: readonly CallerRecord[];
    executions: readonly ExecutionRecord[];
    /** Requests that reached upstreams without keys, in order. Keyed ones may have come through a second instance. */
    arrivals: readonly upstreamChecker.ArrivalRecord[];
    coldPeriods: readonly upstreamChecker.ColdPeriodRecord[];
    /** Requests that reached any upstream. */
    allArrivals: readonly upstreamChecker.ArrivalRecord[];
    evacuations: readonly upstreamChecker.EvacuationSpan[];
    /** Requests that found an upstream without room, in order. */
    fullArrivals: readonly upstreamChecker.ArrivalRecord[];
    /** Descriptions of keys that two upstreams held when one of them started to execute a request. */
    ownershipViolations: readonly string[];
    /** Descriptions of processes that ended although nothing had asked them to. */
    ownEnds: readonly string[];
    /** Largest resident memory of the processes of each instance, in bytes, by its name. */
    peakMemoryBytes: ReadonlyMap<string, number>;
    /** Whether the run contained planned operations only. */
    isPlanned: boolean;
    /** Time from which the site is required to serve requests again. */
    recoveredAt: number;
    /** Maximum timeout of a route, in milliseconds; undefined disables the timing checks. */
    timeoutMilliseconds: number | undefined;
    /** Whether the request's instance was paused, killed or stopped while the request was in flight. */
    wasDisrupted: (span: Pick<CallerRecord, "instance" | "sentAt" | "endedAt">) => boolean;
    /** Whether a new process of an instance was started between two times. */
    wasRestarted: (instance: string, from: number, until: number) => boolean;
    /** Whether an instance may have been without contact to the store or to the leader, or suspended. */
    wasOutOfContact: (from: number, until: number) => boolean;
    /** Whether responses of an upstream may have been lost or delayed. */
    wasLinkDisturbed: (upstream: string, from: number, until: number) => boolean;
}

/** Response statuses that guarantee that the request was not executed and never will be. */
const notExecutedStatuses = [408, 421, 429, 503];
/** Time after the route's timeout within which the response must arrive, in milliseconds. */
const timeoutToleranceMilliseconds = 500;
/** Memory that the settings of an instance allow it, in bytes: the platform ends a process with more. */
const memoryLimitBytes = 350 * 1024 * 1024;
/** Minimum fraction of requests that must succeed after recovery. */
const minServedRatio = 0.9;

const checkMemory = ({ peakMemoryBytes }: Observations): string[] =>
    [...peakMemoryBytes].filter(([, bytes]) => bytes > memoryLimitBytes).map(([name, bytes]) =>
        `${name} used ${Math.round(bytes / 1024 / 1024)} MB of memory`
    );

const isSuccess = ({ status }: CallerRecord): boolean => status >= 200 && status < 300;

const checkResponses = ({ callers }: Observations): string[] =>
    callers.filter(isSuccess).flatMap(record => {
        const matchesRequest = record.echoedIdentifier === record.identifier
            && record.body === `answer to ${record.identifier}`;
        return matchesRequest && record.isSigned
            ? []
            : [`${record.identifier}: the response is incomplete, unsigned or belongs to another request`];
    });

const checkExecutions = ({ callers, executions }: Observations): string[] => {
    const executionsByIdentifier = new Map<string, ExecutionRecord[]>();
    executions.forEach(execution =>
        executionsByIdentifier.set(execution.identifier, [
            ...executionsByIdentifier.get(execution.identifier) ?? [],
            execution,
        ])
    );
    const sentIdentifiers = new Set(callers.map(record => record.identifier));
    const unsentIdentifiers = [...executionsByIdentifier.keys()].filter(identifier => !sentIdentifiers.has(identifier));
    const paths = new Map(callers.map(({ identifier, path }) => [identifier, path]));
    const repeated = [...executionsByIdentifier].filter(([identifier, records]) =>
        records.length > 1 && !documents.isRepeatablePath(paths.get(identifier) ?? "")
    );
    const misreported = callers.filter(record =>
        record.method !== "GET" && notExecutedStatuses.includes(record.status)
        && executionsByIdentifier.has(record.identifier)
    );
    return [
        ...unsentIdentifiers.map(identifier => `${identifier}: executed although no caller sent it`),
        ...repeated.map(([identifier, records]) =>
            `${identifier}: executed ${records.length} times, ${records[0].method} ${paths.get(identifier)}`
        ),
        ...misreported.map(record =>
            `${record.identifier}: reported as not executed (${record.status}) but was executed`
        ),
    ];
};

/** Checks that each request ran only at services to which a version of the document sends it. */
const checkRouting = ({ callers, executions }: Observations): string[] => {
    const pathsByIdentifier = new Map(callers.map(record => [record.identifier, record.path]));
    return executions.filter(({ identifier, service }) => {
        const path = pathsByIdentifier.get(identifier);
        return path !== undefined && !documents.allowedServices(path).includes(service);
    }).map(({ identifier, service }) => `${identifier}: executed by ${service}, to which no version sends it`);
};

/** Checks that each request ran only in a region that its route allows. */
const checkRegions = ({ callers, executions }: Observations): string[] => {
    const pathsByIdentifier = new Map(callers.map(record => [record.identifier, record.path]));
    return executions.filter(({ identifier, upstream }) => {
        const region = documents.restrictedRegionOf(pathsByIdentifier.get(identifier) ?? "");
        return region !== undefined && places.regionOf(upstream) !== region;
    }).map(({ identifier, upstream }) =>
        `${identifier}: executed by ${upstream}, whose region its route does not allow`
    );
};

/** Checks that requests that every version allows are not rejected as if they were wrong. */
const checkRejections = ({ callers }: Observations): string[] =>
    callers.filter(({ status, path, isUnusual }) =>
        status >= 400 && status < 500 && !notExecutedStatuses.includes(status) && documents.isPermanentPath(path)
        && !isUnusual
    ).map(({ identifier, status }) => `${identifier}: rejected with ${status} although every version allows it`);

/** Checks that a request that was passed on gets a response, unless its instance was disturbed. */
const checkLostRequests = ({ callers, executions, wasDisrupted }: Observations): string[] => {
    const executedIdentifiers = new Set(executions.map(execution => execution.identifier));
    return callers.filter(record =>
        record.status === 0 && !record.hasResponse && !record.isUnusual && executedIdentifiers.has(record.identifier)
        && !wasDisrupted(record)
    ).map(({ identifier, instance }) => `${identifier}: ${instance} closed the connection without a response`);
};

const checkTiming = (observations: Observations): string[] => {
    const { timeoutMilliseconds } = observations;
    if (timeoutMilliseconds === undefined) {
        return [];
    }
    const overdue = observations.callers.filter(record =>
        record.endedAt - record.sentAt > timeoutMilliseconds + timeoutToleranceMilliseconds
        && !observations.wasDisrupted(record) && !record.isUnusual
    );
    const sentAfterRecovery = observations.callers.filter(record =>
        record.sentAt >= observations.recoveredAt && documents.isPermanentPath(record.path) && !record.isUnusual
    );
    const served = sentAfterRecovery.filter(isSuccess).length;
    return [
        ...overdue.map(({ identifier, sentAt, endedAt }) =>
            `${identifier}: the caller waited for ${Math.round(endedAt - sentAt)} ms`
        ),
        ...(served < sentAfterRecovery.length * minServedRatio
            ? [`after recovery only ${served} of ${sentAfterRecovery.length} requests succeeded`]
            : []),
    ];
};

const checkPlannedFaults = ({ isPlanned, callers, executions }: Observations): string[] => {
    if (!isPlanned) {
        return [];
    }
    const executedIdentifiers = new Set(executions.map(execution => execution.identifier));
    return callers.filter(record =>
        record.status === 0 && !record.isUnusual && executedIdentifiers.has(record.identifier)
    ).map(record => `${record.identifier}: interrupted by a planned operation`);
};

/**
 * Checks the guarantees of the product after a soak run.
 *
 * @param observations - everything recorded during the run
 * @returns one line for each violation; empty if every guarantee was kept
 */
export const checkInvariants = (observations: Observations): string[] => [
    ...observations.ownEnds,
    ...observations.ownershipViolations,
    ...checkMemory(observations),
    ...checkResponses(observations),
    ...checkExecutions(observations),
    ...checkRouting(observations),
    ...checkRegions(observations),
    ...checkRejections(observations),
    ...checkLostRequests(observations),
    ...checkPlannedFaults(observations),
    ...upstreamChecker.checkLeavingUpstreams(observations),
    ...upstreamChecker.checkBusyUpstreams(observations),
    ...upstreamChecker.checkColdUpstreams(observations),
    ...upstreamChecker.checkEvacuations(observations),
    ...upstreamChecker.checkFullUpstreams(observations),
    ...checkTiming(observations),
];
