/** Checks that instances respect what upstreams ask for: no requests after they have left, or while they are busy. */
import * as documents from "./documents";
import * as instances from "./instances";
import type * as invariantChecker from "./invariantChecker";
import * as places from "./places";

/** A request as an upstream received it, with its response. */
export interface ArrivalRecord {
    identifier: string;
    /** Name and start of the upstream. */
    upstream: string;
    arrivedAt: number;
    /** Undefined if it was not answered. */
    answeredAt: number | undefined;
    status: number;
    /** Whether the response announced that the upstream is leaving. */
    isLeaving: boolean;
    /** Time for which the response asked for no further requests, in milliseconds; 0 if it did not. */
    retryAfterMilliseconds: number;
}

/** A cold period of an upstream. */
export interface ColdPeriodRecord {
    upstream: string;
    from: number;
    until: number;
    /** Returns the most requests that reached it within one second of the period. */
    maxInOneSecond: () => number;
}

/** Time for which a failure domain was evacuated. */
export interface EvacuationSpan {
    failureDomain: string;
    from: number;
    until: number;
}

/** An arrival with the record of its caller. */
interface AttributedArrival extends ArrivalRecord {
    caller: invariantChecker.CallerRecord;
}

/** Time after an announcement in which requests may still reach an upstream that leaves, in milliseconds. */
export const drainMilliseconds = 2500;
/** Time after which no request may reach an evacuated failure domain, in milliseconds. */
export const evacuationMilliseconds = 5000;
/** Status by which an upstream says that it has not run a request, as it is not the one that was meant or does not hold the key. */
const misdirectedStatus = 421;
/** Time that an instance has to act on the response of a busy upstream, in milliseconds. */
const busyToleranceMilliseconds = 500;
/** Requests that may reach a busy upstream from one instance after that time. */
const maxBusyArrivals = 2;

/** Returns the name of an upstream without its start. */
const nameOf = (upstream: string): string => upstream.split("@")[0];

/**
 * Time that an instance needs to learn how many requests an upstream holds, in milliseconds: the first silences are only known at the
 * deadlines of their requests.
 */
const learningMilliseconds = 10_000;
/** Requests of one instance that may reach a full upstream after that time: the limit is raised from time to time. */
const maxFullArrivals = 3;

/** Groups the arrivals by instance and upstream. Requests that were not sent by a known instance are left out. */
const groupArrivals = (
    { arrivals, callers }: Pick<invariantChecker.Observations, "arrivals" | "callers">,
): AttributedArrival[][] => {
    const callersByIdentifier = new Map(callers.map(record => [record.identifier, record]));
    const groups = new Map<string, AttributedArrival[]>();
    for (const arrival of arrivals) {
        const caller = callersByIdentifier.get(arrival.identifier);
        if (caller !== undefined) {
            const name = `${caller.instance} ${arrival.upstream}`;
            groups.set(name, [...groups.get(name) ?? [], { ...arrival, caller }]);
        }
    }
    return [...groups.values()];
};

/**
 * Checks that an instance that has passed on the announcement of an upstream that leaves sends it no request that a caller sent later
 * than the drain time after it. A new process of the instance does not know of it.
 */
export const checkLeavingUpstreams = (observations: invariantChecker.Observations): string[] =>
    groupArrivals(observations).flatMap(group => {
        const announcedAt = group
            .filter(({ isLeaving, caller, status }) => isLeaving && caller.hasResponse && caller.status === status)
            .reduce((earliest, { caller }) => Math.min(earliest, caller.endedAt), Infinity);
        return group.filter(({ caller }) =>
            caller.sentAt > announcedAt + drainMilliseconds
            && !observations.wasDisrupted({ ...caller, sentAt: announcedAt })
            && !observations.wasRestarted(caller.instance, announcedAt, caller.sentAt)
        ).map(({ identifier, upstream, caller }) =>
            `${identifier}: ${caller.instance} sent it to ${upstream} ${
                Math.round(caller.sentAt - announcedAt)
            } ms after passing on that it leaves`
        );
    });

/**
 * Checks that nothing reaches an evacuated failure domain after the time that instances have for an evacuation, unless instances were out
 * of contact or the link to the upstream held the request back.
 */
export const checkEvacuations = (observations: invariantChecker.Observations): string[] =>
    observations.evacuations.flatMap(({ failureDomain, from, until }) =>
        observations.allArrivals.filter(({ upstream, arrivedAt, status }) =>
            places.failureDomainOf(nameOf(upstream)) === failureDomain && status !== misdirectedStatus
            && arrivedAt > from + evacuationMilliseconds && arrivedAt < until
            && !observations.wasOutOfContact(from, arrivedAt)
            && !observations.wasLinkDisturbed(upstream, from, arrivedAt)
        ).map(({ identifier, upstream, arrivedAt }) =>
            `${identifier}: reached ${upstream} ${Math.round(arrivedAt - from)} ms after ${failureDomain} was evacuated`
        )
    );

/** Checks that an instance that was refused with a time to wait sends at most two requests in the rest of that time. */
export const checkBusyUpstreams = (observations: invariantChecker.Observations): string[] => {
    if (observations.timeoutMilliseconds === undefined) {
        return [];
    }
    return groupArrivals(observations).flatMap(group =>
        group.flatMap(({ answeredAt = Infinity, retryAfterMilliseconds, upstream, caller }) => {
            const endsAt = answeredAt + retryAfterMilliseconds;
            const isExcused = retryAfterMilliseconds === 0
                || observations.wasLinkDisturbed(upstream, answeredAt, endsAt)
                || observations.wasDisrupted({ ...caller, sentAt: answeredAt, endedAt: endsAt });
            const late = group.filter(({ arrivedAt }) =>
                arrivedAt > answeredAt + busyToleranceMilliseconds && arrivedAt < endsAt
            );
            return isExcused || late.length <= maxBusyArrivals
                ? []
                : [`${late.length} requests of ${caller.instance} reached ${upstream}, which had asked for none`];
        })
    );
};

/** Requests that a cold upstream may get in one second from all instances. */
const maxColdRequestsPerSecond = documents.warmupRequestsPerSecond * instances.warmupBounds.warmupOvershoot
    + instances.warmupBounds.warmupSlack;

/** Checks that cold upstreams got no more requests than they tolerate; a disturbed link may have held requests back. */
export const checkColdUpstreams = ({ coldPeriods, wasLinkDisturbed }: invariantChecker.Observations): string[] =>
    coldPeriods.filter(({ upstream, from, until, maxInOneSecond }) =>
        maxInOneSecond() > maxColdRequestsPerSecond && !wasLinkDisturbed(`${upstream}@`, from, until)
    ).map(({ upstream, maxInOneSecond }) =>
        `${maxInOneSecond()} requests reached ${upstream} in one second while it was cold`
    );

/** Checks that an instance whose requests have found an upstream without room soon sends it no more than it holds. */
export const checkFullUpstreams = (observations: invariantChecker.Observations): string[] =>
    groupArrivals({ callers: observations.callers, arrivals: observations.fullArrivals }).flatMap(group => {
        const [{ arrivedAt: firstAt, caller, upstream }] = group;
        const late = group.filter(({ arrivedAt }) =>
            arrivedAt > firstAt + learningMilliseconds
            && !observations.wasRestarted(caller.instance, firstAt, arrivedAt)
        );
        return late.length <= maxFullArrivals
            ? []
            : [`${late.length} requests of ${caller.instance} reached ${upstream} long after it was first full`];
    });
