/** One entry instance: everything between callers and upstreams, in one process without a disk. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as http from "node:http";
import * as metrics from "./metrics";
import * as ownershipTask from "./ownershipTask";
import * as topicTask from "./topicTask";

/** A running instance. */
export interface Entry {
    /** Stops after every request under way is answered. */
    stop: () => Promise<void>;
}

/** Longest time that a read for news of the document waits, in milliseconds: a lost connection is seen soon after. */
const documentWaitMilliseconds = 2500;
/** Pause between two reads of the registry, in milliseconds: a part of the time in which leaving has to be known. */
const registryPauseMilliseconds = 600;
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
    const store = platform.createStoreClient(settings.store.host, settings.store.port);
    owner.onCleanup(() => store.close());
    const directory = routing.createUpstreamDirectory();
    let inForce: relay.InForce | undefined;
    let isStopping = false;
    let isRegistryKnown = false;
    let registryReadAt = timers.now();
    let storeFailure: string | undefined;

    const ownership = await ownershipTask.startOwnershipTask({
        settings,
        store,
        directory,
        timers,
        log,
        keyedServices: () =>
            inForce === undefined
                ? []
                : [...inForce.document.services.values()].filter(one => one.isKeyed).map(one => one.name),
        speeds: () => pool.speeds(),
    }, owner);
    const pool: relay.UpstreamPool = relay.createUpstreamPool({
        directory,
        now: timers.now,
        failureDomain: settings.failureDomain,
        regions: settings.regions,
        connectionLimit: service => inForce?.document.services.get(service)?.maximumConnections ?? 16,
        instances: ownership.instances,
        leavingMilliseconds: settings.drainMilliseconds - registryPauseMilliseconds - drainMarginMilliseconds,
    });
    const passing = relay.createRelay({
        timers,
        random: foundation.createRandom(process.pid ^ Date.now()),
        log,
        pool,
        inForce: () => inForce,
        findOwner: ownership.find,
        onKeyRequested: ownership.onRequest,
        allowance: {
            windowMilliseconds: settings.retryWindowMilliseconds,
            ratio: settings.retryRatio,
            slack: settings.retrySlack,
            instances: ownership.instances,
        },
        isStopping: () => isStopping,
        onFinished: result => counters.onFinished(result),
    });
    const counters = await metrics.startMetrics(
        settings.host,
        {
            openRequests: passing.open,
            documentVersion: () => inForce?.document.version ?? 0,
            isLeading: ownership.isLeading,
            upstreams: () => [...directory.all()].length,
            registryAge: () => timers.now() - registryReadAt,
        },
        log,
        owner,
    );
    const callers = await relay.startCallerServer({
        host: settings.callers.host,
        port: settings.callers.port,
        log,
        handle: passing.handle,
    }, owner);

    const onDocument = (record: platform.KeyedRecord): void => {
        if (record.key !== platform.documentKey || record.value === undefined) {
            return;
        }
        const parsed = platform.parseDocument(record.value);
        if (parsed.err) {
            log.write("document-unreadable", { reason: parsed.val });
            return;
        }
        const document = parsed.val;
        if (inForce !== undefined && document.version <= inForce.document.version) {
            return;
        }
        inForce = { document, table: routing.createRouteTable(document.routes) };
        callers.setLimits(document.limits);
        log.write("document-in-force", { version: document.version, routes: document.routes.length });
    };
    const onUpstream = (record: platform.KeyedRecord): void => {
        const now = timers.now();
        if (record.value === undefined) {
            directory.onRemoval(record.key, now);
            return;
        }
        const parsed = platform.parseUpstream(record.key, record.value);
        if (parsed.err) {
            log.write("upstream-unreadable", { upstream: record.key, reason: parsed.val });
            return;
        }
        const before = directory.find(record.key)?.leavingSince;
        directory.onEntry(parsed.val, now);
        if (before === undefined && parsed.val.isDraining) {
            log.write("upstream-draining", { upstream: record.key });
        }
    };
    const onContact = (): void => {
        registryReadAt = timers.now();
        directory.onContact(registryReadAt);
        if (storeFailure !== undefined) {
            log.write("store-regained", {});
            documents.refresh();
            storeFailure = undefined;
        }
    };
    const onFailure = (reason: string): void => {
        directory.onContactLost(timers.now());
        if (storeFailure === undefined) {
            log.write("store-lost", { reason });
        }
        storeFailure = reason;
    };
    const documents = topicTask.startTopicTask({
        store,
        topic: platform.Topic.documents,
        timers,
        waitMilliseconds: documentWaitMilliseconds,
        pauseMilliseconds: 0,
        onSnapshot: records => records.forEach(onDocument),
        onRecord: onDocument,
        onContact: () => undefined,
        onFailure: reason => log.write("document-read-failed", { reason }),
    }, owner);
    topicTask.startTopicTask({
        store,
        topic: platform.Topic.upstreams,
        timers,
        waitMilliseconds: 0,
        pauseMilliseconds: registryPauseMilliseconds,
        onSnapshot: records => {
            const present = new Set(records.filter(one => one.value !== undefined).map(one => one.key));
            const absent = [...directory.all()].filter(entry => !present.has(entry.upstream.identifier));
            absent.forEach(entry => directory.onRemoval(entry.upstream.identifier, timers.now()));
            records.forEach(onUpstream);
            isRegistryKnown = true;
        },
        onRecord: onUpstream,
        onContact,
        onFailure,
    }, owner);

    const readiness = http.createServer((request, response) => {
        const isReady = !isStopping && inForce !== undefined && isRegistryKnown && ownership.isReady();
        const status = request.url === platform.readinessPath && isReady ? 200 : 503;
        response.writeHead(status, { "content-length": 0 });
        response.end();
    });
    owner.onCleanup(() => {
        readiness.close();
        readiness.closeAllConnections();
    });
    await foundation.listenOn(readiness, settings.readiness.host, settings.readiness.port);

    const housekeeping = timers.onInterval(housekeepingMilliseconds, () => {
        directory.expire(timers.now());
        pool.prune();
    });
    owner.onCleanup(() => housekeeping.cancel());
    log.write("started", { callers: settings.callers.port, readiness: settings.readiness.port });

    const stop = async (): Promise<void> => {
        const startedAt = timers.now();
        isStopping = true;
        log.write("stopping", { open: passing.open() });
        await ownership.resign();
        const lastAt = startedAt + settings.stopMilliseconds - stopMarginMilliseconds;
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
