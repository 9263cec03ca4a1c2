/** The lanes of a service: one for a pool, one for each server of a keyed service. */
import type * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as laneQueue from "./lane";
import * as upstreamState from "./upstreamState";

/** The lanes of a service and what is known of its upstreams. */
export interface ServiceLanes {
    service: configuration.Service;
    /** The part of the document that the lanes were made from, as text. */
    basis: string;
    states: ReadonlyMap<string, upstreamState.UpstreamState>;
    ejection: traffic.Ejection;
    /** The lane of a pool. */
    pool: laneQueue.Lane<upstreamState.UpstreamState>;
    /** The lane of one server of a keyed service. */
    server: (name: string) => laneQueue.Lane<upstreamState.UpstreamState> | undefined;
    /** Refusals for want of capacity, for the pool's window. */
    onShed: (now: number) => void;
    onAnswered: () => void;
    setInstances: (instances: number) => void;
    lanes: () => laneQueue.Lane<upstreamState.UpstreamState>[];
    close: () => Promise<void>;
}

/** What the lanes of a service depend on. */
export interface ServiceLanesOptions {
    service: configuration.Service;
    basis: string;
    environment: configuration.Environment;
    region: string;
    instances: number;
    timers: foundation.TimerService;
    random: foundation.Random;
    /** The budget of the link to another region; undefined when there is no link. */
    linkTo: (region: string) => traffic.LinkBudget | undefined;
}

/**
 * Gives the region of a failure domain.
 *
 * @param environment - the document in force
 * @param failureDomain - name of the failure domain
 * @returns name of the region
 */
export const regionOf = (environment: configuration.Environment, failureDomain: string): string =>
    environment.regions.find(region => region.failureDomains.includes(failureDomain))?.name ?? "";

/**
 * Creates the lanes of a service.
 *
 * @param options - what they depend on
 * @returns the lanes
 */
export const createServiceLanes = (options: ServiceLanesOptions): ServiceLanes => {
    const { service, environment, timers } = options;
    const ejection = traffic.createEjection();
    const totalConcurrency = service.concurrency * service.upstreams.length;
    const window = traffic.createAdaptiveWindow({
        fairShare: totalConcurrency / options.instances,
        maxLimit: totalConcurrency,
    });
    const limits = {
        concurrency: service.concurrency,
        connections: service.connections,
        instances: options.instances,
    };
    const states = new Map(service.upstreams.map(upstream => {
        const region = regionOf(environment, upstream.failureDomain);
        return [upstream.name, upstreamState.createUpstreamState(upstream, region, limits)];
    }));
    const bulkRanks = environment.ranks.filter(rank => rank.maximumShare < 1);
    const bulkShare = Math.max(0, ...bulkRanks.map(rank => rank.maximumShare));
    const bulkUpstreams = traffic.selectBulkUpstreams(
        [...states.values()].map(state => ({ name: state.upstream.name, region: state.region })),
        bulkShare,
    );
    ejection.setUpstreams([...states.keys()]);

    const candidates = () => {
        const now = timers.now();
        return [...states.values()].map(state => ({
            name: state.upstream.name,
            region: state.region,
            outstanding: state.outstanding,
            limit: state.window.limit(),
            latencyMilliseconds: state.latencyMilliseconds,
            isEjected: ejection.isEjected(state.upstream.name, now),
            isDraining: state.drainingUntil > now,
            acceptsBulk: bulkUpstreams.has(state.upstream.name),
        }));
    };

    const onHeld = (state: upstreamState.UpstreamState): void => {
        state.outstanding += 1;
    };
    const onReleased = (state: upstreamState.UpstreamState): void => {
        state.outstanding -= 1;
    };

    const pool = laneQueue.createLane<upstreamState.UpstreamState>({
        onHeld,
        onReleased,
        ranks: environment.ranks,
        timers,
        capacity: () => window.limit(),
        choose: request => {
            const chosen = traffic.selectUpstream(candidates(), {
                region: options.region,
                canCrossTo: region => options.linkTo(region)?.canTransfer(request.rank, timers.now()) ?? false,
                excluded: request.excluded,
                isBulk: bulkRanks.some(rank => rank.name === request.rank),
                random: options.random,
            });
            return chosen === undefined ? undefined : states.get(chosen.name);
        },
    });

    const servers = new Map([...states].map(([name, state]) => {
        const lane = laneQueue.createLane<upstreamState.UpstreamState>({
            onHeld,
            onReleased,
            ranks: environment.ranks,
            timers,
            capacity: () => state.window.limit(),
            choose: () => state,
        });
        return [name, lane];
    }));

    return {
        service,
        basis: options.basis,
        states,
        ejection,
        pool,
        server: name => servers.get(name),
        onShed: now => window.onShed(now),
        onAnswered: () => window.onResponse(pool.held()),
        setInstances: instances => {
            window.setFairShare(totalConcurrency / instances);
            states.forEach(state => state.window.setFairShare(service.concurrency / instances));
        },
        lanes: () => [pool, ...servers.values()],
        close: async () => {
            for (const state of states.values()) {
                await state.client.close();
            }
        },
    };
};
