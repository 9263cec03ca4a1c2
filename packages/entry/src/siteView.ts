/** An instance's view of its site: the document in force and the registered upstreams. */
import * as eligibility from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import type * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as documentEvent from "./documentEvent";
import * as recordAges from "./recordAges";
import type * as storeReturns from "./storeReturns";
import * as topicExchange from "./topicExchange";
import type * as topicState from "./topicState";
import * as topicTask from "./topicTask";
import * as warmupFingerprint from "./warmupFingerprint";

/** Dependencies of the site view. */
export interface SiteViewOptions {
    store: platform.StoreClient;
    directory: routing.UpstreamDirectory;
    /** Region of each failure domain. */
    regions: Readonly<Record<string, string>>;
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    /** Whether this instance leads, and so reads the topics for the other instances. */
    isLeading: () => boolean;
    /** Relays changed records of a topic to the followers. */
    relayRecords: (topic: string, records: readonly platform.StoredRecord[], end: platform.Position) => void;
    onDocument: (document: routing.RoutingDocument) => void;
    /**
     * Called with each registry entry that is applied, with the time at which it was received, and whether it belongs to the registry as
     * first known to this instance.
     */
    onUpstreamEntry?: (upstream: routing.Upstream, isInitial: boolean, now: number) => void;
    /** Whether an instance has led in an era of the store for long enough that writers have written again what was lost before it. */
    isEraEstablished: (era: number) => boolean;
    storeReturns: storeReturns.StoreReturns;
    /** Called with each record of an evacuation; it is over once the record is deleted. */
    onEvacuationRecord: (failureDomain: string, isEvacuated: boolean, origin: topicTask.ChangeOrigin) => void;
}

/** The document in force and the state of the registry, as known to one instance. */
export interface SiteView {
    /** Returns the document in force, or undefined until the first one is known. */
    documentInForce: () => relay.DocumentInForce | undefined;
    isRegistryKnown: () => boolean;
    /** Whether documents or registry entries may be missing that other instances know of, as the store has lost them. */
    mayBeOutdated: () => boolean;
    /** Whether operators and upstreams have had the time to write again what was lost before the era of the store. */
    isSettled: () => boolean;
    /** Whether the documents and evacuations are known as they were a short time ago. */
    isDocumentTopicRecent: () => boolean;
    /** Time since this instance or the leader last read the registry, in milliseconds; Infinity if it is unknown. */
    registryAge: () => number;
    /** The topics as exchanged with other instances. */
    topics: topicExchange.TopicExchange;
    /** Starts following the topics. */
    start: () => void;
}

/**
 * Time in which a leader sends snapshots to an instance that starts, in milliseconds: it reads the leader record and connects, or
 * the instances elect a leader first.
 */
const initialWaitMilliseconds = 1500;
/** Interval between the leader's reads of the registry, in milliseconds: a small fraction of the drain time. */
const leaderRegistryIntervalMilliseconds = 300;
/**
 * Age of the registry at which an instance reads it itself, in milliseconds: the leader's read interval, its heartbeat
 * interval, and the network delay to the store and from the leader.
 */
export const maxRegistryAgeMilliseconds = 800;
/**
 * Maximum time that the leader's read waits for a new document, in milliseconds: short enough that a lost connection is
 * detected soon.
 */
const leaderDocumentWaitMilliseconds = 600;
/** Age of the document topic at which an instance reads it itself, in milliseconds: two reads by the leader. */
const maxDocumentAgeMilliseconds = 1300;

/** Age up to which the document topic counts as recent, in milliseconds: that at which it is read, and the time of the read. */
const maxRecentDocumentAgeMilliseconds = 1700;

/** Whether a document names a service; an entry of any other service may come from another writer. */
const isNamedBy = (document: routing.RoutingDocument | undefined, service: string): boolean =>
    document !== undefined
    && (document.services.has(service)
        || document.routes.some(({ destinations }) =>
            destinations.some(destination => destination.service === service)
        ));

/** A registry entry of a service that the document does not name. */
interface UnnamedEntry {
    upstream: routing.Upstream;
    isInitial: boolean;
    seenAt: number;
}

/** Decodes registry entries; one that is compared and then applied is decoded once. */
const createUpstreamParser = (): typeof platform.parseUpstream => {
    const results = new WeakMap<Buffer, ReturnType<typeof platform.parseUpstream>>();
    return (key, value) => {
        const result = results.get(value) ?? platform.parseUpstream(key, value);
        results.set(value, result);
        return result;
    };
};

/**
 * Creates a view that, once started, follows the document and the registry until the owner is disposed of.
 *
 * @param options - dependencies of the view
 * @param owner - stops the view when disposed
 * @returns the view, without a document or a known registry
 */
export const createSiteView = (options: SiteViewOptions, owner: foundation.Owner): SiteView => {
    const { store, directory, timers, random, log, failures, isLeading } = options;
    let documentInForce: relay.DocumentInForce | undefined;
    let isRegistryKnown = false;
    let storeFailure: string | undefined;
    const tasks = new Map<string, topicTask.TopicTask>();
    const parseUpstream = createUpstreamParser();
    const knownRegions = new Set(Object.values(options.regions));
    /** By identifier; used once a document names their service. */
    const unnamedEntries = new Map<string, UnnamedEntry>();

    const coldPeriods = warmupFingerprint.createColdPeriods();
    /**
     * Registry entries are rewritten periodically; only fields that affect the choice of an upstream count as a change. Of the
     * warm-up time, these are its beginning and end, and only where the rate of cold upstreams is limited.
     */
    const upstreamFingerprint = (key: string, value: Buffer): string => {
        const parsed = parseUpstream(key, value);
        if (parsed.err) {
            return value.toString("base64");
        }
        const isRateLimited = documentInForce?.document.services.get(parsed.val.service)?.warmup !== undefined;
        const coldPeriod = isRateLimited ? coldPeriods.observe(parsed.val, timers.now()) : 0;
        return JSON.stringify({ ...parsed.val, warmupMilliseconds: coldPeriod });
    };
    const addEntry = (upstream: routing.Upstream, isInitial: boolean, seenAt: number): void => {
        directory.onEntry(upstream, seenAt);
        options.onUpstreamEntry?.(upstream, isInitial, seenAt);
    };

    const onOperatorRecord = (record: platform.StoredRecord, origin: topicTask.ChangeOrigin): void => {
        const failureDomain = platform.parseEvacuationKey(record.key);
        if (failureDomain === undefined) {
            onDocument(record, origin);
        }
        else {
            options.onEvacuationRecord(failureDomain, record.value !== undefined, origin);
        }
    };
    const onDocument = (record: platform.StoredRecord, origin: topicTask.ChangeOrigin): void => {
        if (record.key !== platform.documentKey || record.value === undefined) {
            return;
        }
        const parsed = platform.parseDocument(record.value);
        if (parsed.err) {
            log.write("document-unreadable", { reason: parsed.val, offset: record.offset });
            return;
        }
        const { document, ignored } = eligibility.restrictToKnownRegions(parsed.val, knownRegions);
        if (documentInForce !== undefined && document.version <= documentInForce.document.version) {
            return;
        }
        const previous = documentInForce?.document;
        documentInForce = { document, table: routing.createRouteTable(document.routes) };
        for (const [identifier, { upstream, isInitial, seenAt }] of unnamedEntries) {
            if (isNamedBy(document, upstream.service)) {
                unnamedEntries.delete(identifier);
                addEntry(upstream, isInitial, seenAt);
            }
        }
        options.onDocument(document);
        log.write("document-in-force", documentEvent.describeDocument(previous, document, origin));
        documentEvent.writeUnusableValues(log, document, [...document.ignored ?? [], ...ignored]);
    };
    const onUpstream = (record: platform.StoredRecord): void => {
        const now = timers.now();
        unnamedEntries.delete(record.key);
        if (record.value === undefined) {
            coldPeriods.forget(record.key);
            directory.onRemoval(record.key, now);
            return;
        }
        const parsed = parseUpstream(record.key, record.value);
        if (parsed.err) {
            log.write("upstream-unreadable", { upstream: record.key, reason: parsed.val, offset: record.offset });
            return;
        }
        const { service } = parsed.val;
        if (!isNamedBy(documentInForce?.document, service)) {
            unnamedEntries.set(record.key, { upstream: parsed.val, isInitial: !isRegistryKnown, seenAt: now });
            if (documentInForce !== undefined) {
                const reason = `the document names no service ${service}`;
                log.write("upstream-unreadable", { upstream: record.key, reason, offset: record.offset });
            }
            return;
        }
        const previousLeavingSince = directory.find(record.key)?.leavingSince;
        addEntry(parsed.val, !isRegistryKnown, now);
        if (previousLeavingSince === undefined && parsed.val.isDraining) {
            log.write("upstream-draining", { upstream: record.key });
        }
    };
    const onContact = (source: topicTask.TopicSourceValue): void => {
        isRegistryKnown = true;
        directory.onStoreReachable(timers.now());
        if (storeFailure !== undefined) {
            log.write("store-regained", { source });
            tasks.get(platform.Topic.documents)?.refresh();
            storeFailure = undefined;
        }
    };
    const onFailure = (reason: string): void => {
        directory.onStoreUnreachable(timers.now());
        if (storeFailure === undefined) {
            log.write("store-lost", { reason });
        }
        storeFailure = reason;
    };

    /** Applies records one by one, so that one that throws does not affect those after it. */
    const applyRecords = (
        topic: platform.TopicName,
        records: readonly platform.StoredRecord[],
        apply: (record: platform.StoredRecord) => void,
    ): void => {
        for (const record of records) {
            failures.run("topic record", () => apply(record), { topic, key: record.key, offset: record.offset });
        }
    };

    const isDocumentTopicRecent = (): boolean =>
        (tasks.get(platform.Topic.documents)?.position()?.age ?? Infinity) <= maxRecentDocumentAgeMilliseconds;

    /** What is the same for both topics. */
    const createReturnHandlers = (topic: platform.TopicName) => ({
        isEraEstablished: options.isEraEstablished,
        onStoreReturned: (storeReturn: topicState.TopicReturn) => options.storeReturns.onReturned(topic, storeReturn),
        onSettled: (settlement: topicState.TopicSettlement, end: platform.Position) =>
            options.storeReturns.onSettled(topic, settlement, end),
    });
    const waitForLeader = (): number => isLeading() ? 0 : initialWaitMilliseconds;
    const documentTaskOptions: topicTask.TopicTaskOptions = {
        store,
        topic: platform.Topic.documents,
        timers,
        random,
        failures,
        maxAgeMilliseconds: () => isLeading() ? 0 : maxDocumentAgeMilliseconds,
        initialWaitMilliseconds: waitForLeader,
        // A new leader that knows only an old state must not wait for a change of it before it plans.
        waitMilliseconds: () => isLeading() && isDocumentTopicRecent() ? leaderDocumentWaitMilliseconds : 0,
        fingerprintOf: (...[, value]) => value.toString("base64"),
        compareAges: recordAges.compareOperatorRecords,
        ...createReturnHandlers(platform.Topic.documents),
        onChanges: (records, end, origin) => {
            applyRecords(platform.Topic.documents, records, record => onOperatorRecord(record, origin));
            options.relayRecords(platform.Topic.documents, records, end);
        },
        onContact: () => undefined,
        onFailure: reason => log.write("document-read-failed", { reason }),
    };
    const upstreamTaskOptions: topicTask.TopicTaskOptions = {
        store,
        topic: platform.Topic.upstreams,
        timers,
        random,
        failures,
        maxAgeMilliseconds: () => isLeading() ? leaderRegistryIntervalMilliseconds : maxRegistryAgeMilliseconds,
        initialWaitMilliseconds: waitForLeader,
        waitMilliseconds: () => 0,
        fingerprintOf: upstreamFingerprint,
        compareAges: recordAges.compareRegistryEntries,
        ...createReturnHandlers(platform.Topic.upstreams),
        onChanges: (records, end) => {
            applyRecords(platform.Topic.upstreams, records, onUpstream);
            options.relayRecords(platform.Topic.upstreams, records, end);
        },
        onContact,
        onFailure,
    };

    return {
        documentInForce: () => documentInForce,
        isRegistryKnown: () => isRegistryKnown,
        mayBeOutdated: () => [...tasks.values()].some(task => task.mayBeOutdated()),
        isSettled: () => [...tasks.values()].every(task => task.isSettled()),
        isDocumentTopicRecent,
        registryAge: () => tasks.get(platform.Topic.upstreams)?.position()?.age ?? Infinity,
        topics: {
            positions: () =>
                [...tasks].flatMap(([topic, task]) => {
                    const position = task.position();
                    return position === undefined ? [] : [topicExchange.toTopicPosition(topic, position)];
                }),
            snapshot: topic => tasks.get(topic)?.snapshot(),
            onRelayed: (topic, relayed) => tasks.get(topic)?.onRelayed(relayed),
            onSnapshot: (topic, snapshot) => tasks.get(topic)?.onSnapshot(snapshot),
        },
        start: () =>
            [documentTaskOptions, upstreamTaskOptions].forEach(taskOptions => {
                tasks.set(taskOptions.topic, topicTask.startTopicTask(taskOptions, owner));
            }),
    };
};
