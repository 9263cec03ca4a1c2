/** The upstreams that an instance sends to, with what it knows of each. */
import * as routing from "@mulberryseam/routing";
import * as choice from "./choice";
import * as upstreamConnections from "./upstreamConnections";
import * as upstreamHealth from "./upstreamHealth";

/** An upstream that can be sent to. */
export interface PooledUpstream {
    upstream: routing.Upstream;
    health: upstreamHealth.UpstreamHealth;
    connections: upstreamConnections.UpstreamConnections;
    region: string;
}

/** What the pool needs. */
export interface UpstreamPoolOptions {
    directory: routing.UpstreamDirectory;
    now: () => number;
    /** Failure domain of the instance. */
    failureDomain: string;
    /** Region of each failure domain. */
    regions: Record<string, string>;
    /** Connections that one upstream of a service takes from all instances. */
    connectionLimit: (service: string) => number;
    instances: () => number;
    /** Time in which an upstream that was seen leaving may get requests for its keys, in milliseconds. */
    leavingMilliseconds: number;
}

/** The upstreams of an instance. */
export interface UpstreamPool {
    /** The pool's time, in milliseconds. */
    now: () => number;
    /** Upstreams of a service that may get new requests, those that are avoided last. */
    usable: (service: string) => PooledUpstream[];
    /** Finds an upstream that may still be sent requests for its keys. */
    find: (identifier: string, startedAt: number) => PooledUpstream | undefined;
    /** Whether the way to an upstream leads to another region. */
    isRemote: (pooled: PooledUpstream) => boolean;
    /** Describes an upstream for the choice. */
    describe: (pooled: PooledUpstream, bytes: number) => choice.Option;
    /** Takes the time that a new connection took, in milliseconds. */
    onConnected: (pooled: PooledUpstream, milliseconds: number) => void;
    /** Time for a new connection, in milliseconds. */
    connectMilliseconds: (pooled: PooledUpstream) => number;
    /**
     * Whether no connection can be had: the instance uses its part of them, or none is idle and the upstream, whose queue
     * is long, would reset a new one.
     */
    isFull: (pooled: PooledUpstream) => boolean;
    /** Drops what belongs to upstreams that are gone. */
    prune: () => void;
    /** Takes the speeds of the services' upstreams that were measured since the last call, in milliseconds a request. */
    takeSpeeds: (services: readonly string[]) => [string, number][];
}

/** Time that a request is taken to need before any was answered, in milliseconds. */
export const assumedServiceMilliseconds = 120;
/** Times to another region and back, and within one, before any connection was made, in milliseconds. */
const assumedRegionRoundTripMilliseconds = 60;
const assumedNearRoundTripMilliseconds = 2;
/** What a kilobyte to another region, or another failure domain, is taken to cost, in milliseconds: they are paid for. */
const regionMillisecondsPerKilobyte = 5;
const domainMillisecondsPerKilobyte = 0.5;
/** What a new connection is taken to cost beyond the way there and back, in milliseconds: upstreams have few. */
const newConnectionMilliseconds = 12;
/** Requests at an upstream for each of its slots from which it takes fewer connections. */
const longQueueServices = 3;
/** Time after its start in which an upstream is slower, as a factor. */
const coldFactor = 2;
/** Time for a new connection beyond the way there and back, in milliseconds. */
const connectMarginMilliseconds = 250;
const roundTripSmoothing = 0.2;
/** Part of an upstream's connections that instances use, since their number is known with a delay. */
const connectionPart = 0.85;
const fewestConnections = 3;
/**
 * Part of an upstream's connections that instances keep without a request. It counts those of instances that lost power
 * until they time out, so as many must be left for the instances that follow.
 */
const idlePart = 0.4;

/**
 * Creates the pool.
 *
 * @param options - what it needs
 * @returns a pool without connections
 */
export const createUpstreamPool = (options: UpstreamPoolOptions): UpstreamPool => {
    const { directory, now, regions } = options;
    const pooled = new Map<string, PooledUpstream>();
    const roundTrips = new Map<string, number>();
    const ownRegion = regions[options.failureDomain];
    /** Connections to one upstream that this instance may hold. */
    const limitOf = (service: string): number =>
        Math.max(
            fewestConnections,
            Math.floor(options.connectionLimit(service) * connectionPart / Math.max(1, options.instances())),
        );
    const pool = (upstream: routing.Upstream): PooledUpstream => {
        const known = pooled.get(upstream.identifier);
        if (known !== undefined && known.upstream.startedAt === upstream.startedAt) {
            known.upstream = upstream;
            return known;
        }
        known?.connections.close();
        const created = {
            upstream,
            health: upstreamHealth.createUpstreamHealth(),
            connections: upstreamConnections.createUpstreamConnections(
                options.connectionLimit(upstream.service),
                Math.max(1, Math.floor(options.connectionLimit(upstream.service) * idlePart / options.instances())),
            ),
            region: regions[upstream.failureDomain] ?? "",
        };
        pooled.set(upstream.identifier, created);
        return created;
    };
    const distanceKey = (target: PooledUpstream): string =>
        target.region === ownRegion ? `domain ${target.upstream.failureDomain}` : `region ${target.region}`;
    const roundTripOf = (target: PooledUpstream): number =>
        roundTrips.get(distanceKey(target))
            ?? (target.region === ownRegion ? assumedNearRoundTripMilliseconds : assumedRegionRoundTripMilliseconds);
    /** Measured times hold the way there and back. */
    const serviceOf = (target: PooledUpstream): number => {
        const measured = target.health.serviceMilliseconds();
        return measured === undefined ? assumedServiceMilliseconds : Math.max(1, measured - roundTripOf(target));
    };
    const perKilobyte = (target: PooledUpstream): number => {
        if (target.region !== ownRegion) {
            return regionMillisecondsPerKilobyte;
        }
        return target.upstream.failureDomain === options.failureDomain ? 0 : domainMillisecondsPerKilobyte;
    };
    return {
        now,
        usable: service => {
            const ready = directory.findByService(service).filter(entry => entry.leavingSince === undefined);
            const all = ready.map(entry => pool(entry.upstream));
            const answering = all.filter(one => !one.health.isAvoided(now()));
            return answering.length > 0 ? answering : all;
        },
        find: (identifier, startedAt) => {
            const entry = directory.find(identifier);
            if (entry === undefined || entry.upstream.startedAt !== startedAt) {
                return undefined;
            }
            const isLeft = entry.leavingSince !== undefined && now() - entry.leavingSince > options.leavingMilliseconds;
            return isLeft ? undefined : pool(entry.upstream);
        },
        isRemote: target => target.region !== ownRegion,
        describe: (target, bytes) => {
            const { upstream, health } = target;
            const entry = directory.find(upstream.identifier);
            const age = now() - (entry?.firstSeenAt ?? -Infinity);
            const isConnected = target.connections.hasIdle();
            const factor = age < upstream.warmupMilliseconds ? coldFactor : 1;
            return {
                identifier: upstream.identifier,
                queueLength: health.queueLength(now()),
                reportAgeMilliseconds: health.reportAge(now()),
                slots: upstream.slots,
                serviceMilliseconds: serviceOf(target) * factor,
                isMeasured: health.serviceMilliseconds() !== undefined,
                roundTripMilliseconds: roundTripOf(target) * (isConnected ? 1 : 2),
                failureShare: health.failureShare(now()),
                detourMilliseconds: perKilobyte(target) * bytes / 1024
                    + (isConnected ? 0 : newConnectionMilliseconds),
            };
        },
        onConnected: (target, milliseconds) => {
            const key = distanceKey(target);
            const known = roundTrips.get(key) ?? milliseconds;
            // Connections that waited for a busy upstream say nothing of the way.
            const sample = Math.min(milliseconds, known * 2);
            roundTrips.set(key, known + (sample - known) * roundTripSmoothing);
        },
        connectMilliseconds: target => roundTripOf(target) + connectMarginMilliseconds,
        isFull: target => {
            const isQueueLong = target.health.queueLength(now()) >= target.upstream.slots * longQueueServices;
            return target.health.outstanding() >= limitOf(target.upstream.service)
                || (isQueueLong && !target.connections.hasIdle());
        },
        prune: () => {
            for (const [identifier, { connections, health }] of pooled) {
                if (directory.find(identifier) === undefined && health.outstanding() === 0) {
                    connections.close();
                    pooled.delete(identifier);
                }
            }
        },
        takeSpeeds: services => {
            const taken: [string, number][] = [];
            for (const [identifier, target] of pooled) {
                if (services.includes(target.upstream.service) && target.health.takeIsMeasured()) {
                    taken.push([identifier, Math.round(serviceOf(target))]);
                }
            }
            return taken;
        },
    };
};
