/** One entry instance: everything between callers and upstreams, in one process without a disk. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as http from "node:http";
import * as metrics from "./metrics";
import * as ownershipTask from "./ownershipTask";
import * as siteView from "./siteView";

/** A running instance. */
export interface Entry {
    /** Stops after every request under way is answered. */
    stop: () => Promise<void>;
}

const housekeepingMilliseconds = 200;
/** Time before the platform ends a stopping process at which it closes what is still open, in milliseconds. */
const stopMarginMilliseconds = 500;
/** Time after SIGTERM in which callers still come, in milliseconds: the platform asks each second, and twice. */
const leavingMilliseconds = 3000;
const stopCheckMilliseconds = 50;
/** Part of the drain time that calls to the registry and to the upstream may take, in milliseconds. */
const drainMarginMilliseconds = 350;

/**
 * Starts an instance.
 *
 * @param settings - its settings
 * @param log - where its events go
 * @returns once it listens
 */
export const startEntry = async (
    settings: platform.InstanceSettings,
    log: foundation.EventLog,
): Promise<Entry> => {
    const timers = foundation.createTimerService();
    const owner = foundation.createOwner();
    const store = platform.createStoreClient(settings.storeAddress.host, settings.storeAddress.port);
    owner.onCleanup(() => store.close());
    const directory = routing.createUpstreamDirectory();
    const random = foundation.createRandom(process.pid ^ Date.now());
    let isStopping = false;
    const view = siteView.createSiteView({
        store,
        directory,
        timers,
        random,
        log,
        isLeading: () => ownership.isLeading(),
        passOn: (topic, records, end) => ownership.passOn(topic, records, end),
        onDocument: document => callers.setLimits(document.limits),
    }, owner);

    const keyedServices = (): string[] => {
        const services = [...view.inForce()?.document.services.values() ?? []];
        return services.filter(one => one.isKeyed).map(one => one.name);
    };

    const ownership = await ownershipTask.startOwnershipTask({
        settings,
        store,
        directory,
        timers,
        random,
        log,
        keyedServices,
        takeSpeeds: () => pool.takeSpeeds(keyedServices()),
        topics: view.positions,
        onRelayed: view.onRelayed,
    }, owner);
    const pool: relay.UpstreamPool = relay.createUpstreamPool({
        directory,
        now: timers.now,
        failureDomain: settings.failureDomain,
        regions: settings.regions,
        connectionLimit: service => view.inForce()?.document.services.get(service)?.maximumConnections ?? 16,
        instances: ownership.instances,
        leavingMilliseconds: settings.drainMilliseconds - siteView.highestRegistryAgeMilliseconds
            - drainMarginMilliseconds,
    });
    const loopDelay = relay.createLoopDelay(timers, owner);
    const passing = relay.createRelay({
        timers,
        random,
        log,
        pool,
        inForce: view.inForce,
        findOwner: ownership.find,
        onKeyRequested: ownership.onRequest,
        allowance: {
            windowMilliseconds: settings.retryBudgetWindowMilliseconds,
            ratio: settings.retryBudgetRatio,
            slack: settings.retryBudgetSlack,
            instances: ownership.instances,
        },
        loopDelay,
        isStopping: () => isStopping,
        onFinished: result => counters.onFinished(result),
    });
    const counters = await metrics.startMetrics(
        settings.host,
        {
            openRequests: passing.open,
            documentVersion: () => view.inForce()?.document.version ?? 0,
            isLeading: ownership.isLeading,
            upstreams: () => [...directory.all()].length,
            registryAge: view.registryAge,
            loopDelay: loopDelay.milliseconds,
        },
        log,
        owner,
    );
    const callers = await relay.startCallerServer({
        host: settings.callerAddress.host,
        port: settings.callerAddress.port,
        log,
        handle: passing.handle,
    }, owner);

    view.start();

    const readiness = http.createServer((request, response) => {
        const isReady = !isStopping && view.inForce() !== undefined && view.isRegistryKnown()
            && ownership.isReady();
        const status = request.url === platform.readinessPath && isReady ? 200 : 503;
        response.writeHead(status, { "content-length": 0 });
        response.end();
    });
    owner.onCleanup(() => {
        readiness.close();
        readiness.closeAllConnections();
    });
    await foundation.listenOn(readiness, settings.readinessAddress.host, settings.readinessAddress.port);

    const housekeeping = timers.onInterval(housekeepingMilliseconds, () => {
        directory.expire(timers.now());
        pool.prune();
    });
    owner.onCleanup(() => housekeeping.cancel());
    log.write("started", { callers: settings.callerAddress.port, readiness: settings.readinessAddress.port });

    const stop = async (): Promise<void> => {
        const startedAt = timers.now();
        isStopping = true;
        log.write("stopping", { open: passing.open() });
        await ownership.resign();
        const lastAt = startedAt + settings.gracePeriodMilliseconds - stopMarginMilliseconds;
        await foundation.pause(timers, leavingMilliseconds);
        callers.stopListening();
        while (passing.open() > 0 && timers.now() < lastAt) {
            callers.closeIdle();
            await foundation.pause(timers, stopCheckMilliseconds);
        }
        log.write("stopped", { open: passing.open() });
        await owner.dispose();
    };
    return { stop };
};
