/** The upstreams that an instance sends requests to, with the health of each and the connections to it. */
import type * as eligibility from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as scheduling from "@mulberryseam/scheduling";
import type * as attemptResult from "./attemptResult";
import * as roundTripTimes from "./roundTrips";
import * as upstreamConnections from "./upstreamConnections";
import * as upstreamRoom from "./upstreamRoom";

/** An upstream with its health and connections. */
export interface PooledUpstream {
    upstream: routing.Upstream;
    health: scheduling.UpstreamHealth;
    connections: upstreamConnections.UpstreamConnections;
    window: scheduling.ConcurrencyWindow;
    memory: scheduling.UpstreamMemory;
    /** Attempts without a result. */
    openAttempts: Set<attemptResult.Attempt>;
    region: string;
    /** Time of the newest log line about a malformed load report of the upstream; -Infinity before the first one. */
    malformedLoadLoggedAt: number;
}

/** Configures an upstream pool. */
export interface UpstreamPoolOptions {
    directory: routing.UpstreamDirectory;
    now: () => number;
    /** Failure domain of this instance. */
    failureDomain: string;
    /** Region of each failure domain. */
    regions: Record<string, string>;
    /** Connections that one upstream of a service accepts from all instances together. */
    connectionLimit: (service: string) => number;
    /** Returns the number of instances that send requests to one upstream of a service. */
    sharerCount: (service: string) => number;
    /** Time for which an upstream still gets requests for its keys after it was seen leaving, in milliseconds. */
    leavingGraceMilliseconds: () => number;
    /** Whether a service limits the rate of requests to its cold upstreams; by default, none does. */
    limitsWarmupRate?: (service: string) => boolean;
    /** Which upstreams are cold; none by default. */
    warmupRates?: eligibility.LearningWarmupRates;
}

/** Pool of the upstreams of an instance. */
export interface UpstreamPool extends upstreamRoom.UpstreamRoom {
    /** Current time of the pool's clock, in milliseconds. */
    now: () => number;
    /** Returns the upstreams of a service that are not leaving. */
    ready: (service: string) => PooledUpstream[];
    /**
     * Returns the eligible upstreams of a service that can get new requests: avoided ones only if there are no others, and none that
     * is leaving or holds requests off. Without a condition, all are eligible.
     */
    usable: (service: string, isEligible?: (pooled: PooledUpstream) => boolean) => PooledUpstream[];
    /** Holds off the requests to an upstream for a time, also those that wait for a connection. Returns whether it is longer than known. */
    holdOff: (incarnation: routing.Incarnation, milliseconds: number) => boolean;
    /** Returns the time until an upstream takes requests again, in milliseconds; 0 if it does so now. */
    holdOffMilliseconds: (incarnation: routing.Incarnation) => number;
    /** Returns the upstream that takes requests first if every eligible one of a service holds them off; undefined otherwise. */
    firstHeldOff: (service: string, isEligible?: (pooled: PooledUpstream) => boolean) => PooledUpstream | undefined;
    /** Finds an upstream that can still get requests for its keys. */
    find: (identifier: string, startedAt: number) => PooledUpstream | undefined;
    /** Whether an upstream may get requests, as far as this instance knows. */
    mayReceive: (incarnation: routing.Incarnation) => boolean;
    /** Whether an upstream is leaving, gets no more requests for its keys, and keeps them while the store is unreachable. */
    keepsKeysAfterLeaving: (incarnation: routing.Incarnation) => boolean;
    /** Whether the upstream is cold and its service limits the rate of requests to it. */
    isCold: (pooled: PooledUpstream) => boolean;
    /** Whether an upstream is in another region. */
    isRemote: (pooled: PooledUpstream) => boolean;
    /** Returns how far it is to an upstream. */
    reachOf: (pooled: PooledUpstream) => foundation.TrafficReachValue;
    /** Returns an upstream as a candidate for a request; `bytes` is the size of the request and its response. */
    toCandidate: (pooled: PooledUpstream, bytes: number) => scheduling.Candidate;
    /** Updates the round-trip time from the time that a new connection took, in milliseconds. */
    onConnected: (pooled: PooledUpstream, milliseconds: number) => void;
    /** Timeout for a new connection, in milliseconds. */
    connectTimeoutMilliseconds: (pooled: PooledUpstream) => number;
    /**
     * Whether no connection is available: the instance uses its whole portion of the connections, or none is idle and
     * the upstream has a long queue and would reset a new connection.
     */
    isConnectionUnavailable: (pooled: PooledUpstream) => boolean;
    /** Number of attempts without a result at the upstreams of a failure domain. */
    openAttemptCount: (failureDomain: string) => number;
    /** Removes upstreams that are no longer in the directory; responses in progress go on. */
    prune: () => void;
    /** Records that an upstream of a service refused a request for which it had no room. */
    onRefusal: (service: string) => void;
    /** Whether upstreams of a service are known to refuse such requests, and do not leave them without a response. */
    isRefusing: (service: string) => boolean;
    /** What this instance observes of the upstreams of each service together. */
    observations: scheduling.ServiceObservations;
    /** Returns the identifier and service time, in milliseconds, of the upstreams measured since the last call. */
    collectServiceTimes: (services: readonly string[]) => [string, number][];
}

/** Why attempts without a connection end when their upstream wants no requests. */
export const holdOffReason = "the upstream wants no requests";
/** Why attempts end whose upstream has started again. */
const restartedReason = "the upstream has started again";
/** Service time assumed before the first response of any upstream of a service, in milliseconds. */
export const assumedServiceMilliseconds = 120;
/** Cost of a kilobyte to another region or failure domain, in milliseconds of response time: this traffic is billed. */
const regionCostMillisecondsPerKilobyte = 5;
const domainCostMillisecondsPerKilobyte = 0.5;
/** Cost of a new connection beyond its round trip, in milliseconds: upstreams accept only a few. */
const newConnectionCostMilliseconds = 12;
/** Requests per slot at which an upstream starts to accept fewer connections. */
const longQueueFactor = 3;
/** Factor on the service time of an upstream that is warming up after its start. */
const warmupFactor = 2;
/** Timeout for a new connection beyond the round-trip time, in milliseconds. */
const connectTimeoutMarginMilliseconds = 250;
const typicalSmoothing = 0.05;
/** Ratio of an upstream's connections that instances use; not all, as the number of instances is known with a delay. */
const usedConnectionRatio = 0.85;
const minConnections = 3;
/**
 * Ratio of an upstream's connections that instances keep idle. The upstream counts the connections of instances that
 * lost power until they time out, so as many must be left for the instances that replace them.
 */
const idleConnectionRatio = 0.4;

/**
 * Creates an upstream pool.
 *
 * @param options - the instance's failure domain, the directory of upstreams and the limits
 * @returns a pool without connections
 */
export const createUpstreamPool = (options: UpstreamPoolOptions): UpstreamPool => {
    const { directory, now, regions } = options;
    const pooledUpstreams = new Map<string, PooledUpstream>();
    const ownRegion = regions[options.failureDomain];
    const roundTrips = roundTripTimes.createRoundTrips(ownRegion);
    /** Service time of the measured upstreams of each service, for those that are not measured. */
    const typicalServiceTimes = new Map<string, number>();
    const refusingServices = new Set<string>();
    const observations = scheduling.createServiceObservations();
    const holdOffs = scheduling.createHoldOffs();
    /** Returns this instance's portion of a ratio of the connections that one upstream of a service accepts. */
    const connectionPortion = (service: string, ratio: number): number =>
        Math.floor(options.connectionLimit(service) * ratio / Math.max(1, options.sharerCount(service)));
    /** Returns the number of connections to one upstream that this instance can use. */
    const instanceConnectionLimit = (service: string): number =>
        Math.max(minConnections, connectionPortion(service, usedConnectionRatio));
    const getOrCreate = (upstream: routing.Upstream): PooledUpstream => {
        const existing = pooledUpstreams.get(upstream.identifier);
        if (existing !== undefined && existing.upstream.startedAt === upstream.startedAt) {
            existing.upstream = upstream;
            return existing;
        }
        if (existing !== undefined) {
            existing.connections.close();
            existing.openAttempts.forEach(attempt => attempt.cancel(restartedReason));
        }
        const created = {
            upstream,
            health: scheduling.createUpstreamHealth(
                () => typicalServiceTimes.get(upstream.service),
                observations.slownessAverage(upstream.service),
                observations.tail(upstream.service),
            ),
            connections: upstreamConnections.createUpstreamConnections(
                options.connectionLimit(upstream.service),
                Math.max(1, connectionPortion(upstream.service, idleConnectionRatio)),
            ),
            window: scheduling.createConcurrencyWindow(
                upstream.slots,
                () => options.sharerCount(upstream.service),
            ),
            memory: scheduling.createUpstreamMemory(() => options.sharerCount(upstream.service)),
            openAttempts: new Set<attemptResult.Attempt>(),
            region: regions[upstream.failureDomain] ?? "",
            malformedLoadLoggedAt: -Infinity,
        };
        pooledUpstreams.set(upstream.identifier, created);
        return created;
    };
    /** Returns the service time without the round trip, which measured times include. */
    const serviceTimeOf = (target: PooledUpstream): number => {
        const { service } = target.upstream;
        const measured = target.health.serviceMilliseconds();
        const typical = typicalServiceTimes.get(service);
        if (measured === undefined) {
            return typical ?? assumedServiceMilliseconds;
        }
        const serviceTime = Math.max(1, measured - roundTrips.milliseconds(target));
        typicalServiceTimes.set(
            service,
            (typical ?? serviceTime) * (1 - typicalSmoothing) + serviceTime * typicalSmoothing,
        );
        return serviceTime;
    };
    const costPerKilobyte = (target: PooledUpstream): number => {
        if (target.region !== ownRegion) {
            return regionCostMillisecondsPerKilobyte;
        }
        return target.upstream.failureDomain === options.failureDomain ? 0 : domainCostMillisecondsPerKilobyte;
    };
    const hasLeft = ({ identifier, startedAt }: routing.Incarnation): boolean => {
        const entry = directory.find(identifier);
        return entry?.upstream.startedAt === startedAt && entry.leavingSince !== undefined
            && now() - entry.leavingSince > options.leavingGraceMilliseconds();
    };
    const holdOffMilliseconds = (incarnation: routing.Incarnation): number =>
        holdOffs.remainingMilliseconds(incarnation, now());
    const listReady = (service: string): PooledUpstream[] =>
        directory.findByService(service)
            .filter(entry => entry.leavingSince === undefined)
            .map(entry => getOrCreate(entry.upstream));
    return {
        now,
        mayReceive: incarnation => !hasLeft(incarnation) && holdOffMilliseconds(incarnation) === 0,
        keepsKeysAfterLeaving: incarnation => hasLeft(incarnation) && !directory.isStoreReachable(),
        ready: listReady,
        usable: (service, isEligible = () => true) => {
            const all = listReady(service).filter(pooled =>
                isEligible(pooled) && holdOffMilliseconds(pooled.upstream) === 0
            );
            const responsive = all.filter(pooled => !pooled.health.isAvoided(now()));
            return responsive.length > 0 ? responsive : all;
        },
        holdOff: (incarnation, milliseconds) => {
            const isLonger = holdOffs.onRefusal(incarnation, milliseconds, now());
            const pooled = pooledUpstreams.get(incarnation.identifier);
            if (pooled?.upstream.startedAt === incarnation.startedAt) {
                [...pooled.openAttempts].filter(attempt => !attempt.mayHaveBeenSent()).forEach(attempt =>
                    attempt.cancel(holdOffReason)
                );
            }
            return isLonger;
        },
        holdOffMilliseconds,
        firstHeldOff: (service, isEligible = () => true) => {
            const ready = listReady(service).filter(isEligible).map(pooled => ({
                pooled,
                milliseconds: holdOffMilliseconds(pooled.upstream),
            }));
            const [first] = ready.sort((left, right) => left.milliseconds - right.milliseconds);
            return first === undefined || first.milliseconds === 0 ? undefined : first.pooled;
        },
        find: (identifier, startedAt) => {
            const entry = directory.find(identifier);
            if (entry === undefined || entry.upstream.startedAt !== startedAt) {
                return undefined;
            }
            return hasLeft(entry.upstream) ? undefined : getOrCreate(entry.upstream);
        },
        isCold: ({ upstream }) => options.warmupRates?.isCold(upstream, now()) === true,
        isRemote: target => target.region !== ownRegion,
        reachOf: ({ upstream }) => foundation.reachBetween(regions, options.failureDomain, upstream.failureDomain),
        toCandidate: (target, bytes) => {
            const { upstream, health } = target;
            const entry = directory.find(upstream.identifier);
            const age = now() - (entry?.firstSeenAt ?? -Infinity);
            const isConnected = target.connections.hasIdle();
            // A limited rate alone protects a cold upstream.
            const isRateLimited = options.limitsWarmupRate?.(upstream.service) === true;
            const factor = age < upstream.warmupMilliseconds && !isRateLimited ? warmupFactor : 1;
            const serviceMilliseconds = serviceTimeOf(target) * factor
                * observations.tail(upstream.service).meanFactor();
            const queueLength = health.queueLength(now());
            const waitMilliseconds = scheduling.estimateWait({
                queueLength,
                slots: upstream.slots,
                serviceMilliseconds,
            });
            // The work begins after the wait, when what was reported of the machine is older.
            const slowness = health.slowness(now() + waitMilliseconds);
            return {
                identifier: upstream.identifier,
                queueLength,
                reportAgeMilliseconds: health.reportAge(now()),
                slots: upstream.slots,
                serviceMilliseconds: serviceMilliseconds * (slowness?.factor ?? 1),
                slowness,
                isMeasured: health.serviceMilliseconds() !== undefined,
                roundTripMilliseconds: roundTrips.milliseconds(target) * (isConnected ? 1 : 2),
                failureRatio: health.failureRatio(now()),
                pathCostMilliseconds: costPerKilobyte(target) * bytes / 1024
                    + (isConnected ? 0 : newConnectionCostMilliseconds),
            };
        },
        onConnected: roundTrips.onConnected,
        connectTimeoutMilliseconds: target => roundTrips.milliseconds(target) + connectTimeoutMarginMilliseconds,
        isConnectionUnavailable: target => {
            const isQueueLong = target.health.queueLength(now()) >= target.upstream.slots * longQueueFactor;
            return target.health.outstandingCount() >= instanceConnectionLimit(target.upstream.service)
                || (isQueueLong && !target.connections.hasIdle());
        },
        openAttemptCount: failureDomain =>
            [...pooledUpstreams.values()]
                .filter(({ upstream }) => upstream.failureDomain === failureDomain)
                .reduce((sum, { openAttempts }) => sum + openAttempts.size, 0),
        prune: () => {
            holdOffs.prune(now());
            for (const [identifier, { connections, health }] of pooledUpstreams) {
                if (directory.find(identifier) === undefined && health.outstandingCount() === 0) {
                    connections.close();
                    pooledUpstreams.delete(identifier);
                }
            }
        },
        ...upstreamRoom.createUpstreamRoom({
            now,
            slots: service => Math.max(0, ...directory.findByService(service).map(({ upstream }) => upstream.slots)),
            pooledUpstreams: () => pooledUpstreams.values(),
            isRefusing: service => refusingServices.has(service),
        }),
        onRefusal: service => refusingServices.add(service),
        isRefusing: service => refusingServices.has(service),
        observations,
        collectServiceTimes: services => {
            const serviceTimes: [string, number][] = [];
            for (const [identifier, target] of pooledUpstreams) {
                if (services.includes(target.upstream.service) && target.health.consumeNewMeasurement()) {
                    const meanFactor = observations.tail(target.upstream.service).meanFactor();
                    serviceTimes.push([identifier, Math.round(serviceTimeOf(target) * meanFactor)]);
                }
            }
            return serviceTimes;
        },
    };
};
