/** One entry instance: everything between callers and upstreams, in one process that stores nothing on disk. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as http from "node:http";
import * as leavingUpstreams from "./leavingUpstreams";
import * as metrics from "./metrics";
import * as ownershipTask from "./ownershipTask";
import type * as inForce from "./settingsInForce";
import * as siteView from "./siteView";

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
/** Time between the responses to requests that are still open and the end of their connections, in milliseconds. */
const stopResponseMarginMilliseconds = 250;
/** Time left when a stopping process closes all open connections before the platform terminates it, in milliseconds. */
const stopMarginMilliseconds = 250;
/**
 * Time after SIGTERM in which callers still connect, in milliseconds: the platform checks readiness once a second and
 * needs two failed checks.
 */
const deregistrationMilliseconds = 3000;
const stopPollMilliseconds = 50;
/** Ratio of the process's memory that buffered bodies may use: sockets and streams hold copies of them for a time. */
const maxBufferedRatio = 1 / 8;
/**
 * Time without contact to the store, its own or the leader's, after which an instance counts as isolated, in milliseconds:
 * longer than a change of leader takes.
 */
const maxContactAgeMilliseconds = 3000;
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
    const { host: storeHost, port: storePort } = settings.storeAddress;
    const store = platform.createStoreClient(
        storeHost,
        storePort,
        timers,
        transfer => traffic.add(foundation.TrafficPurpose.store, foundation.TrafficReach.unknown, transfer),
    );
    owner.onCleanup(() => store.close());
    const directory = routing.createUpstreamDirectory();
    const leaving = leavingUpstreams.createLeavingUpstreams({ directory, timers, log });
    const random = foundation.createRandom(process.pid ^ Date.now());
    let isStopping = false;
    let isIsolated = false;
    const view = siteView.createSiteView({
        store,
        directory,
        timers,
        random,
        log,
        failures,
        isLeading: () => ownership.isLeading(),
        relayRecords: (topic, records, end) => ownership.relayRecords(topic, records, end),
        onDocument: document => callerServer.setLimits(document.limits),
    }, owner);

    const keyedServices = (): string[] => {
        const services = [...view.documentInForce()?.document.services.values() ?? []];
        return services.filter(service => service.isKeyed).map(service => service.name);
    };

    const ownership = await ownershipTask.startOwnershipTask({
        settings,
        store,
        directory,
        timers,
        random,
        log,
        failures,
        keyedServices,
        leaving,
        collectServiceTimes: () => pool.collectServiceTimes(keyedServices()),
        topics: view.topics,
        traffic,
    }, owner);
    const domainCount = Object.keys(settings.regions).length;
    const pool: relay.UpstreamPool = relay.createUpstreamPool({
        directory,
        now: timers.now,
        failureDomain: settings.failureDomain,
        regions: settings.regions,
        connectionLimit: service => view.documentInForce()?.document.services.get(service)?.maxConnections ?? 16,
        sharerCount: service => {
            const instanceCount = ownership.instanceCount();
            // One instance of each failure domain sends the requests of the others; another may step in for it.
            return delegator.isDelegating(service) ? Math.min(instanceCount, domainCount * 2) : instanceCount;
        },
        leavingGraceMilliseconds: () =>
            settingsInForce.current().drainMilliseconds - siteView.maxRegistryAgeMilliseconds - drainMarginMilliseconds,
    });
    const onNotice: relay.NoticeHandler = (incarnation, notice) => {
        if (notice.isLeaving) {
            leaving.learn(incarnation, leavingUpstreams.LeavingSource.answer);
        }
        if (notice.holdOffMilliseconds > 0 && pool.holdOff(incarnation, notice.holdOffMilliseconds)) {
            const milliseconds = Math.round(notice.holdOffMilliseconds);
            log.write("upstream-held-off", { upstream: incarnation.identifier, milliseconds });
        }
    };
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
        onNotice,
        upstreamCount: service => directory.findByService(service).length,
    });
    const requestRelay = relay.createRelay({
        timers,
        random,
        log,
        pool,
        traffic,
        failures,
        documentInForce: view.documentInForce,
        findOwner: ownership.findOwner,
        onKeyRequested: ownership.onKeyRequest,
        onNotice,
        delegator,
        acceptsDelegated: () => !isIsolated,
        retryBudget: {
            windowMilliseconds: settings.retryBudgetWindowMilliseconds,
            ratio: () => settingsInForce.current().retryBudgetRatio,
            slack: () => settingsInForce.current().retryBudgetSlack,
            instanceCount: ownership.instanceCount,
        },
        eventLoopDelay,
        maxBufferedBytes: settings.memoryBytes * maxBufferedRatio,
        shouldCloseConnections: () => isStopping || isIsolated,
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
            registryAge: view.registryAge,
            eventLoopDelay: eventLoopDelay.milliseconds,
            traffic: traffic.totals,
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

    // An isolated instance sends requests to former owners of moved keys, so callers are better served by others.
    const updateIsolation = (): void => {
        const contactAge = ownership.contactAge();
        const wasIsolated = isIsolated;
        isIsolated = contactAge > maxContactAgeMilliseconds;
        if (isIsolated !== wasIsolated) {
            log.write(isIsolated ? "isolated" : "isolation-ended", { contactAge: Math.round(contactAge) });
        }
    };

    const isReady = (): boolean =>
        !isStopping && !isIsolated && view.documentInForce() !== undefined && view.isRegistryKnown()
        && ownership.isReady();
    await startReadinessServer(settings.readinessAddress, isReady, failures, owner);

    const housekeeping = timers.onInterval(housekeepingIntervalMilliseconds, () => {
        updateIsolation();
        directory.expire(timers.now());
        pool.prune();
    });
    owner.onCleanup(() => housekeeping.cancel());
    const trafficReports = timers.onInterval(trafficReportIntervalMilliseconds, () => {
        for (const { purpose, reach, sentBytes, receivedBytes } of traffic.totals()) {
            log.write("traffic", { purpose, reach, sentBytes, receivedBytes });
        }
    });
    owner.onCleanup(() => trafficReports.cancel());
    log.write("started", {
        callers: settings.callerAddress.port,
        readiness: settings.readinessAddress.port,
        process: process.pid,
        program: foundation.programVersion,
        node: process.version,
    });

    const stop = async (signal: NodeJS.Signals): Promise<void> => {
        const startedAt = timers.now();
        isStopping = true;
        log.write("stopping", { signal, open: requestRelay.openRequestCount() });
        const closeAt = startedAt + settingsInForce.current().gracePeriodMilliseconds - stopMarginMilliseconds;
        requestRelay.stopAt(closeAt - stopResponseMarginMilliseconds);
        // The store may not respond, which must not keep the process beyond its grace time.
        failures.watch("stop", ownership.resign());
        await foundation.pause(timers, deregistrationMilliseconds);
        callerServer.stopListening();
        while (requestRelay.openRequestCount() > 0 && timers.now() < closeAt) {
            callerServer.closeIdleConnections();
            await foundation.pause(timers, stopPollMilliseconds);
        }
        log.write("stopped", { open: requestRelay.openRequestCount() });
        await owner.dispose();
    };
    return { stop };
};
