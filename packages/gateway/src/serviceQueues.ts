/** Admission queues of a service: one for the whole pool and one for each server of a keyed service. */
import type * as configuration from "@mulberryseam/configuration";
import type * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as admissionQueues from "./admissionQueue";
import * as upstreamState from "./upstreamState";

/** Admission queues of a service and the state of its upstreams. */
export interface ServiceQueues {
    service: configuration.Service;
    /** Section of the document that the queues were created from, serialized to detect changes. */
    configurationText: string;
    upstreamStates: ReadonlyMap<string, upstreamState.UpstreamState>;
    ejection: traffic.Ejection;
    /** Queue of the whole pool. */
    poolQueue: admissionQueues.AdmissionQueue<upstreamState.UpstreamState>;
    /** Returns the queue of one server of a keyed service. */
    serverQueue: (name: string) => admissionQueues.AdmissionQueue<upstreamState.UpstreamState> | undefined;
    /** Reduces the pool's window after an upstream sheds load. */
    onShed: (now: number) => void;
    /** Lets the pool's window grow after a response. */
    onResponse: () => void;
    setInstanceCount: (instanceCount: number) => void;
    allQueues: () => admissionQueues.AdmissionQueue<upstreamState.UpstreamState>[];
    close: () => Promise<void>;
}

/** Configures the admission queues of a service. */
export interface ServiceQueuesOptions {
    service: configuration.Service;
    configurationText: string;
    environment: configuration.Environment;
    region: string;
    instanceCount: number;
    timers: foundation.TimerService;
    random: foundation.Random;
    /** Returns the budget of the link to another region, or undefined if there is no link. */
    linkBudgetFor: (region: string) => traffic.LinkBudget | undefined;
}

/**
 * Returns the region of a failure domain.
 *
 * @param environment - the document in force
 * @param failureDomain - name of the failure domain
 * @returns name of the region, or an empty string if no region lists the failure domain
 */
export const regionOf = (environment: configuration.Environment, failureDomain: string): string =>
    environment.regions.find(region => region.failureDomains.includes(failureDomain))?.name ?? "";

/**
 * Creates the admission queues of a service.
 *
 * @param options - the service, its environment and dependencies
 * @returns empty queues, with no upstream ejected
 */
export const createServiceQueues = (options: ServiceQueuesOptions): ServiceQueues => {
    const { service, environment, timers } = options;
    const ejection = traffic.createEjection();
    const totalConcurrency = service.concurrency * service.upstreams.length;
    const poolWindow = traffic.createAdaptiveWindow({
        fairShare: totalConcurrency / options.instanceCount,
        maxLimit: totalConcurrency,
    });
    const limits = {
        concurrency: service.concurrency,
        connections: service.connections,
        instanceCount: options.instanceCount,
    };
    const states = new Map(service.upstreams.map(upstream => {
        const region = regionOf(environment, upstream.failureDomain);
        return [upstream.name, upstreamState.createUpstreamState(upstream, region, limits)];
    }));
    const bulkRanks = environment.ranks.filter(rank => rank.maximumShare < 1);
    const bulkFraction = Math.max(0, ...bulkRanks.map(rank => rank.maximumShare));
    const bulkUpstreams = traffic.selectBulkUpstreams(
        [...states.values()].map(state => ({ name: state.upstream.name, region: state.region })),
        bulkFraction,
    );
    ejection.setUpstreams([...states.keys()]);

    const listCandidates = () => {
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

    const onSlotAcquired = (state: upstreamState.UpstreamState): void => {
        state.outstanding += 1;
    };
    const onSlotReleased = (state: upstreamState.UpstreamState): void => {
        state.outstanding -= 1;
    };

    const poolQueue = admissionQueues.createAdmissionQueue<upstreamState.UpstreamState>({
        onSlotAcquired,
        onSlotReleased,
        ranks: environment.ranks,
        timers,
        capacity: () => poolWindow.limit(),
        chooseTarget: request => {
            const chosen = traffic.selectUpstream(listCandidates(), {
                region: options.region,
                canCrossTo: region => options.linkBudgetFor(region)?.canTransfer(request.rank, timers.now()) ?? false,
                excluded: request.excludedUpstreams,
                isBulk: bulkRanks.some(rank => rank.name === request.rank),
                random: options.random,
            });
            return chosen === undefined ? undefined : states.get(chosen.name);
        },
    });

    const serverQueues = new Map([...states].map(([name, state]) => {
        const queue = admissionQueues.createAdmissionQueue<upstreamState.UpstreamState>({
            onSlotAcquired,
            onSlotReleased,
            ranks: environment.ranks,
            timers,
            capacity: () => state.window.limit(),
            chooseTarget: () => state,
        });
        return [name, queue];
    }));

    return {
        service,
        configurationText: options.configurationText,
        upstreamStates: states,
        ejection,
        poolQueue,
        serverQueue: name => serverQueues.get(name),
        onShed: now => poolWindow.onShed(now),
        onResponse: () => poolWindow.onResponse(poolQueue.heldCount()),
        setInstanceCount: instanceCount => {
            poolWindow.setFairShare(totalConcurrency / instanceCount);
            states.forEach(state => state.window.setFairShare(service.concurrency / instanceCount));
        },
        allQueues: () => [poolQueue, ...serverQueues.values()],
        close: async () => {
            for (const state of states.values()) {
                await state.client.close();
            }
        },
    };
};
