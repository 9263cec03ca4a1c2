/** One entry instance: everything between callers and upstreams, in one process that stores nothing on disk. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as http from "node:http";
import * as coldUpstreams from "./coldUpstreams";
import * as instanceStop from "./instanceStop";
import * as isolations from "./isolation";
import * as leavingUpstreams from "./leavingUpstreams";
import * as metrics from "./metrics";
import * as ownershipTask from "./ownershipTask";
import type * as inForce from "./settingsInForce";
import * as sitePlaces from "./sitePlaces";
import * as siteView from "./siteView";
import * as storeReturns from "./storeReturns";

/** A running instance. */
export interface Entry {
    /**
     * Stops the instance; requests in flight may finish until shortly before the platform terminates the process.
     *
     * @param signal - the signal that asks for the stop
     */
    stop: (signal: NodeJS.Signals) => Promise<void>;
}

const housekeepingIntervalMilliseconds = 200;
/** Interval between log lines with the bytes exchanged so far, in milliseconds. */
const trafficReportIntervalMilliseconds = 10_000;
/** Ratio of the process's memory that buffered bodies may use: sockets and streams hold copies of them for a time. */
const maxBufferedRatio = 1 / 8;
/** Portion of the drain time reserved for calls to the registry and the upstream, in milliseconds. */
const drainMarginMilliseconds = 350;

/** Answers the platform's readiness checks until the owner is disposed. */
const startReadinessServer = async (
    address: platform.Address,
    isReady: () => boolean,
    failures: foundation.FailureBoundary,
    owner: foundation.Owner,
): Promise<void> => {
    const server = http.createServer((request, response) => {
        const status = request.url === platform.readinessPath && isReady() ? 200 : 503;
        response.writeHead(status, { "content-length": 0 });
        response.end();
    });
    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });
    await foundation.listenOn(server, address.host, address.port, error => failures.report("readiness server", error));
};

/** Creates the client of the store, and a function that returns the latest era that the store has stated. */
const createStore = (
    { storeAddress }: platform.InstanceSettings,
    timers: foundation.TimerService,
    traffic: foundation.TrafficAccount,
    owner: foundation.Owner,
): { store: platform.StoreClient; storeEra: () => number; } => {
    let latestEra = 0;
    const store = platform.createStoreClient(
        storeAddress.host,
        storeAddress.port,
        timers,
        transfer => traffic.add(foundation.TrafficPurpose.store, foundation.TrafficReach.unknown, transfer),
        era => {
            latestEra = era;
        },
    );
    owner.onCleanup(() => store.close());
    return { store, storeEra: () => latestEra };
};

/** Creates the function that applies what upstreams say of themselves. */
const createNoticeHandler = (
    leaving: leavingUpstreams.LeavingUpstreams,
    cold: coldUpstreams.ColdUpstreams,
    pool: relay.UpstreamPool,
    log: foundation.EventLog,
): relay.NoticeHandler =>
(incarnation, notice) => {
    if (notice.isLeaving) {
        leaving.learn(incarnation, leavingUpstreams.LeavingSource.answer);
    }
    if (notice.warmupMilliseconds !== undefined) {
        cold.onReported(incarnation, notice.warmupMilliseconds);
    }
    if (notice.holdOffMilliseconds > 0 && pool.holdOff(incarnation, notice.holdOffMilliseconds)) {
        const milliseconds = Math.round(notice.holdOffMilliseconds);
        log.write("upstream-held-off", { upstream: incarnation.identifier, milliseconds });
    }
};

/** What the pool of upstreams of an instance depends on. */
interface PoolOptions {
    settings: platform.InstanceSettings;
    settingsInForce: inForce.SettingsInForce;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    view: siteView.SiteView;
    cold: coldUpstreams.ColdUpstreams;
    ownership: ownershipTask.OwnershipTask;
    /** Whether the requests of a service are delegated. */
    isDelegating: (service: string) => boolean;
}

const createPool = (
    { settings, settingsInForce, directory, timers, view, cold, ownership, isDelegating }: PoolOptions,
): relay.UpstreamPool => {
    const { failureDomain, regions } = settings;
    const domainCount = Object.keys(regions).length;
    return relay.createUpstreamPool({
        directory,
        now: timers.now,
        failureDomain,
        regions,
        connectionLimit: service => view.documentInForce()?.document.services.get(service)?.maxConnections ?? 16,
        sharerCount: service => {
            const instanceCount = ownership.instanceCount();
            // One instance of each failure domain sends the requests of the others; another may step in for it.
            return isDelegating(service) ? Math.min(instanceCount, domainCount * 2) : instanceCount;
        },
        leavingGraceMilliseconds: () =>
            settingsInForce.current().drainMilliseconds - siteView.maxRegistryAgeMilliseconds - drainMarginMilliseconds,
        limitsWarmupRate: cold.limitsRate,
        warmupRates: cold.rates,
    });
};

/** Logs the bytes exchanged so far at intervals, until the owner is disposed. */
const startTrafficReports = (
    timers: foundation.TimerService,
    traffic: foundation.TrafficAccount,
    log: foundation.EventLog,
    owner: foundation.Owner,
): void => {
    const trafficReports = timers.onInterval(trafficReportIntervalMilliseconds, () => {
        for (const { purpose, reach, sentBytes, receivedBytes } of traffic.totals()) {
            log.write("traffic", { purpose, reach, sentBytes, receivedBytes });
        }
    });
    owner.onCleanup(() => trafficReports.cancel());
};

const listKeyedServices = (document: routing.RoutingDocument | undefined): string[] =>
    [...document?.services.values() ?? []].filter(service => service.isKeyed).map(service => service.name);

const writeStart = (log: foundation.EventLog, settings: platform.InstanceSettings): void =>
    log.write("started", {
        callers: settings.callerAddress.port,
        readiness: settings.readinessAddress.port,
        process: process.pid,
        program: foundation.programVersion,
        node: process.version,
    });

/**
 * Starts an instance.
 *
 * @param settingsInForce - settings of the instance
 * @param log - receives the events of the instance
 * @param failures - records exceptions, which do not end the instance
 * @returns the instance, once it listens for callers and readiness checks
 */
export const startEntry = async (
    settingsInForce: inForce.SettingsInForce,
    log: foundation.EventLog,
    failures: foundation.FailureBoundary,
): Promise<Entry> => {
    const settings = settingsInForce.current();
    const timers = foundation.createTimerService(error => failures.report("timer", error));
    const owner = foundation.createOwner();
    const traffic = foundation.createTrafficAccount();
    const returns = storeReturns.createStoreReturns(log);
    const { store, storeEra } = createStore(settings, timers, traffic, owner);
    const directory = routing.createUpstreamDirectory();
    const leaving = leavingUpstreams.createLeavingUpstreams({ directory, timers, log });
    const random = foundation.createRandom(process.pid ^ Date.now());
    let isStopping = false;
    const isolation = isolations.createIsolation(log, () => ownership.contactAge());
    const { regions } = settings;
    const view = siteView.createSiteView({
        store,
        directory,
        regions,
        timers,
        random,
        log,
        failures,
        isLeading: () => ownership.isLeading(),
        relayRecords: (topic, records, end) => ownership.relayRecords(topic, records, end),
        isEraEstablished: era => ownership.isEraEstablished(era),
        storeReturns: returns,
        onDocument: document => callerServer.setLimits(document.limits),
        onUpstreamEntry: (upstream, isInitial, now) => cold.rates.onEntry(upstream, isInitial, now),
        onEvacuationRecord: (...record) => places.onEvacuationRecord(...record),
    }, owner);

    const cold = coldUpstreams.createColdUpstreams({
        settings: settingsInForce,
        directory,
        timers,
        random,
        log,
        view,
        ownership: () => ownership,
        evacuationEndedAt: failureDomain => places.evacuations.endedAt(failureDomain),
    });
    const places = sitePlaces.createSitePlaces({
        settings,
        directory,
        timers,
        log,
        documentInForce: view.documentInForce,
        warmupRates: cold.rates,
    });

    const keyedServices = (): string[] => listKeyedServices(view.documentInForce()?.document);
    const ownership = await ownershipTask.startOwnershipTask({
        settings,
        store,
        directory,
        timers,
        random,
        log,
        failures,
        keyedServices,
        mayOwnKeys: places.mayOwnKeys,
        areEvacuationsRecent: view.isDocumentTopicRecent,
        areTopicsSettled: view.isSettled,
        storeReturns: returns,
        leaving,
        collectServiceTimes: () => pool.collectServiceTimes(keyedServices()),
        toleratedPerSecond: upstream => cold.rates.toleratedPerSecond(upstream, timers.now()),
        topics: view.topics,
        traffic,
    }, owner);
    places.eligibility.onChange(ownership.planNow);
    const pool: relay.UpstreamPool = createPool({
        settings,
        settingsInForce,
        directory,
        timers,
        view,
        cold,
        ownership,
        isDelegating: service => delegator.isDelegating(service),
    });
    const onNotice = createNoticeHandler(leaving, cold, pool, log);
    const eventLoopDelay = relay.createEventLoopDelay(timers, owner);
    const delegator = relay.createDelegator({
        timers,
        log,
        traffic,
        failures,
        delegates: relay.createDelegatePool({
            ownIdentifier: ownership.identifier,
            delegates: ownership.delegates,
            now: timers.now,
        }),
        findOwner: ownership.findOwner,
        mayReceive: pool.mayReceive,
        ownRegion: regions[settings.failureDomain],
        ...places,
        isLeftToOthers: cold.isLeftToOthers,
        onNotice,
        upstreamCount: service => directory.findByService(service).length,
    });
    const requestRelay = relay.createRelay({
        timers,
        random,
        log,
        pool,
        eligibility: places.eligibility,
        traffic,
        failures,
        documentInForce: view.documentInForce,
        findOwner: ownership.findOwner,
        onKeyRequested: ownership.onKeyRequest,
        onNotice,
        delegator,
        acceptsDelegated: () => !isolation.isIsolated(),
        retryBudget: {
            windowMilliseconds: settings.retryBudgetWindowMilliseconds,
            ratio: () => settingsInForce.current().retryBudgetRatio,
            slack: () => settingsInForce.current().retryBudgetSlack,
            instanceCount: ownership.instanceCount,
        },
        eventLoopDelay,
        maxBufferedBytes: settings.memoryBytes * maxBufferedRatio,
        shouldCloseConnections: () => isStopping || isolation.isIsolated(),
        onFinished: result => requestMetrics.onRequestFinished(result),
    });
    const requestMetrics = await metrics.startMetrics(
        settings.host,
        {
            openRequests: requestRelay.openRequestCount,
            waitingRequests: requestRelay.waitingCounts,
            callerConnections: () => callerServer.connectionCount(),
            documentVersion: () => view.documentInForce()?.document.version ?? 0,
            isLeading: ownership.isLeading,
            upstreams: () => [...directory.all()].length,
            coldUpstreams: cold.count,
            registryAge: view.registryAge,
            eventLoopDelay: eventLoopDelay.milliseconds,
            averageSlowness: pool.observations.averageSlowness,
            tailFactors: pool.observations.tailFactors,
            traffic: traffic.totals,
            storeEra,
            storeReturns: returns.counts,
            evacuationRemains: () => places.listRemains({ ...pool, ...ownership }),
            capacities: pool.capacities,
            outstandingBytes: pool.outstandingBytes,
        },
        log,
        failures,
        owner,
    );
    const callerServer = await relay.startCallerServer({
        host: settings.callerAddress.host,
        port: settings.callerAddress.port,
        log,
        failures,
        handle: requestRelay.handle,
    }, owner);

    await relay.startDelegateServer({
        host: settings.host,
        port: settings.delegatePort,
        failures,
        handle: requestRelay.handleDelegated,
    }, owner);

    view.start();

    const isReady = (): boolean =>
        !isStopping && !isolation.isIsolated() && view.documentInForce() !== undefined && view.isRegistryKnown()
        && !view.mayBeOutdated() && ownership.isReady();
    await startReadinessServer(settings.readinessAddress, isReady, failures, owner);

    const housekeeping = timers.onInterval(housekeepingIntervalMilliseconds, () => {
        isolation.update();
        directory.expire(timers.now());
        pool.prune();
        cold.update();
    });
    owner.onCleanup(() => housekeeping.cancel());
    startTrafficReports(timers, traffic, log, owner);
    writeStart(log, settings);

    return {
        stop: signal => {
            isStopping = true;
            const { gracePeriodMilliseconds } = settingsInForce.current();
            return instanceStop.stopInstance({
                signal,
                gracePeriodMilliseconds,
                timers,
                log,
                failures,
                requestRelay,
                callerServer,
                ownership,
                owner,
            });
        },
    };
};
