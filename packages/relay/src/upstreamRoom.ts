/** Whether upstreams have room for further requests: how many they hold, and how many bytes. */
import * as scheduling from "@mulberryseam/scheduling";
import type * as upstreamPool from "./upstreamPool";

/** What an instance has learned of the upstreams of a service. */
export interface ServiceCapacity {
    service: string;
    /** Requests that an upstream is known to hold; undefined before any evidence. */
    requests: number | undefined;
    silentAttempts: number;
}

/** Room at the upstreams of an instance. */
export interface UpstreamRoom {
    /** What is known of how many requests the upstreams of a service hold. */
    queueCapacity: (service: string) => scheduling.QueueCapacity;
    /** Returns how many requests of all instances may be at an upstream; undefined if that is not limited. */
    capacityOf: (pooled: upstreamPool.PooledUpstream) => number | undefined;
    /** Whether an upstream holds a further request, as far as this instance knows. */
    hasCapacity: (pooled: upstreamPool.PooledUpstream) => boolean;
    /** Whether an upstream has memory for a further request whose body has a number of bytes, as far as this instance knows. */
    hasMemory: (pooled: upstreamPool.PooledUpstream, bytes: number) => boolean;
    /** Returns the bytes of requests that the instance has at the upstreams of each service; small requests are not counted. */
    outstandingBytes: () => ReadonlyMap<string, number>;
    /** Returns the known capacity of the upstreams of each service and the number of silent attempts. */
    capacities: () => readonly ServiceCapacity[];
    /**
     * Records an attempt that its upstream has not responded to, and until when the request may still run there. `queueLength` is
     * undefined if a response of the tail cannot be ruled out, so that the silence says nothing about the capacity.
     */
    onSilence: (pooled: upstreamPool.PooledUpstream, queueLength: number | undefined, until: number) => boolean;
}

/** Configures {@link createUpstreamRoom}. */
export interface UpstreamRoomOptions {
    now: () => number;
    /** Returns the slots of an upstream of a service. */
    slots: (service: string) => number;
    pooledUpstreams: () => Iterable<upstreamPool.PooledUpstream>;
    /** Whether upstreams of a service are known to refuse requests for which they have no room. */
    isRefusing: (service: string) => boolean;
}

/** Age up to which a load report says how much of an upstream's memory is free, in milliseconds. */
const maxReportAgeMilliseconds = 1000;

/**
 * Creates the record of the room at an instance's upstreams.
 *
 * @param options - clock and upstreams
 * @returns the record; the number of requests is not limited before there is evidence
 */
export const createUpstreamRoom = (options: UpstreamRoomOptions): UpstreamRoom => {
    const { now } = options;
    const queueCapacities = new Map<string, scheduling.QueueCapacity>();
    const silentAttempts = new Map<string, number>();
    const queueCapacity = (service: string): scheduling.QueueCapacity => {
        const capacity = queueCapacities.get(service) ?? scheduling.createQueueCapacity();
        queueCapacities.set(service, capacity);
        return capacity;
    };
    const capacityOf = ({ upstream }: upstreamPool.PooledUpstream): number | undefined =>
        queueCapacity(upstream.service).limit(upstream.slots, now());
    return {
        queueCapacity,
        capacityOf,
        hasCapacity: target => {
            const capacity = capacityOf(target);
            return capacity === undefined || target.health.queueLength(now()) + 1 <= capacity;
        },
        hasMemory: (target, bytes) => {
            const { upstream, health, memory } = target;
            const own = health.outstandingCount() + health.occupyingCount(now());
            const reportAge = health.reportAge(now()) ?? Infinity;
            return memory.hasRoom(bytes, {
                capacity: capacityOf(target) ?? scheduling.assumedCapacity(upstream.slots),
                otherRequests: Math.max(0, health.queueLength(now()) - own),
                isReportRecent: reportAge <= maxReportAgeMilliseconds,
            }, now());
        },
        outstandingBytes: () => {
            const bytes = new Map<string, number>();
            for (const { upstream: { service }, memory } of options.pooledUpstreams()) {
                bytes.set(service, (bytes.get(service) ?? 0) + memory.outstandingBytes(now()));
            }
            return bytes;
        },
        capacities: () =>
            [...queueCapacities].map(([service, capacity]) => ({
                service,
                requests: capacity.known(options.slots(service), now()),
                silentAttempts: silentAttempts.get(service) ?? 0,
            })),
        onSilence: ({ upstream, health }, queueLength, until) => {
            const { service, slots } = upstream;
            silentAttempts.set(service, (silentAttempts.get(service) ?? 0) + 1);
            if (options.isRefusing(service)) {
                return false;
            }
            health.occupyUntil(until);
            return queueLength !== undefined && queueCapacity(service).onSilence({ slots, queueLength }, now());
        },
    };
};
