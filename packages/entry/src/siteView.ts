/** What an instance knows of its site: the document in force and the upstreams that are there. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import type * as protocol from "@mulberryseam/protocol";
import type * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as topicTask from "./topicTask";

/** What the view needs. */
export interface SiteViewOptions {
    store: platform.StoreClient;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    /** Whether this instance reads for the others. */
    isLeading: () => boolean;
    /** Passes on what the store told. */
    passOn: (topic: string, records: readonly platform.StoredRecord[], end: number) => void;
    onDocument: (document: routing.RoutingDocument) => void;
}

/** An instance's knowledge of its site. */
export interface SiteView {
    /** Undefined until the first document is known. */
    inForce: () => relay.InForce | undefined;
    isRegistryKnown: () => boolean;
    /** Time since the registry was read, by this instance or the leader, in milliseconds. */
    registryAge: () => number;
    /** How far the topics have been read. */
    positions: () => protocol.TopicPosition[];
    onRelayed: (topic: string, relayed: topicTask.RelayedRecords) => void;
    /** Begins to read. */
    start: () => void;
}

/** Time between two reads of the registry by the leader, in milliseconds: a small part of a draining upstream's time. */
const leaderRegistryMilliseconds = 300;
/**
 * Age of the registry at which an instance reads it itself, in milliseconds: the leader's interval, its beat's, and the
 * way to the store and from the leader.
 */
export const highestRegistryAgeMilliseconds = 800;
/** Longest time that the leader's read for a new document waits, in milliseconds: a lost connection is seen soon after. */
const leaderDocumentWaitMilliseconds = 600;
/** Age of the document's topic at which an instance reads it itself, in milliseconds: two of the leader's reads. */
const highestDocumentAgeMilliseconds = 1300;

/** An entry is written again and again; only what concerns the choice of an upstream makes a difference. */
const upstreamFingerprint = (key: string, value: Buffer): string => {
    const parsed = platform.parseUpstream(key, value);
    return parsed.ok ? JSON.stringify({ ...parsed.val, warmupMilliseconds: 0 }) : value.toString("base64");
};

/**
 * Creates a view that follows the document and the registry, once started, until the owner is disposed of.
 *
 * @param options - what the view needs
 * @param owner - ends it
 * @returns the view; nothing is known yet
 */
export const createSiteView = (options: SiteViewOptions, owner: foundation.Owner): SiteView => {
    const { store, directory, timers, random, log, isLeading } = options;
    let inForce: relay.InForce | undefined;
    let isRegistryKnown = false;
    let storeFailure: string | undefined;
    const tasks = new Map<string, topicTask.TopicTask>();

    const onDocument = (record: platform.StoredRecord): void => {
        if (record.key !== platform.documentKey || record.value === undefined) {
            return;
        }
        const parsed = platform.parseDocument(record.value);
        if (parsed.err) {
            log.write("document-unreadable", { reason: parsed.val, offset: record.offset });
            return;
        }
        const document = parsed.val;
        if (inForce !== undefined && document.version <= inForce.document.version) {
            return;
        }
        inForce = { document, table: routing.createRouteTable(document.routes) };
        options.onDocument(document);
        log.write("document-in-force", { version: document.version, routes: document.routes.length });
    };
    const onUpstream = (record: platform.StoredRecord): void => {
        const now = timers.now();
        if (record.value === undefined) {
            directory.onRemoval(record.key, now);
            return;
        }
        const parsed = platform.parseUpstream(record.key, record.value);
        if (parsed.err) {
            log.write("upstream-unreadable", { upstream: record.key, reason: parsed.val, offset: record.offset });
            return;
        }
        const before = directory.find(record.key)?.leavingSince;
        directory.onEntry(parsed.val, now);
        if (before === undefined && parsed.val.isDraining) {
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

    const documents: topicTask.TopicTaskOptions = {
        store,
        topic: platform.Topic.documents,
        timers,
        random,
        readAge: () => isLeading() ? 0 : highestDocumentAgeMilliseconds,
        waitMilliseconds: () => isLeading() ? leaderDocumentWaitMilliseconds : 0,
        fingerprintOf: (...[, value]) => value.toString("base64"),
        onChanges: (records, end) => {
            records.forEach(onDocument);
            options.passOn(platform.Topic.documents, records, end);
        },
        onContact: () => undefined,
        onFailure: reason => log.write("document-read-failed", { reason }),
    };
    const upstreams: topicTask.TopicTaskOptions = {
        store,
        topic: platform.Topic.upstreams,
        timers,
        random,
        readAge: () => isLeading() ? leaderRegistryMilliseconds : highestRegistryAgeMilliseconds,
        waitMilliseconds: () => 0,
        fingerprintOf: upstreamFingerprint,
        onChanges: (records, end) => {
            records.forEach(onUpstream);
            options.passOn(platform.Topic.upstreams, records, end);
        },
        onContact,
        onFailure,
    };

    return {
        inForce: () => inForce,
        isRegistryKnown: () => isRegistryKnown,
        registryAge: () => tasks.get(platform.Topic.upstreams)?.position()?.age ?? Infinity,
        positions: () =>
            [...tasks].flatMap(([topic, task]) => {
                const position = task.position();
                return position === undefined ? [] : [{ topic, ...position }];
            }),
        onRelayed: (topic, relayed) => tasks.get(topic)?.onRelayed(relayed),
        start: () =>
            [documents, upstreams].forEach(followed => {
                tasks.set(followed.topic, topicTask.startTopicTask(followed, owner));
            }),
    };
};
