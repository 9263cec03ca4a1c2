/** Runs key ownership on an instance, which either follows the leader or leads itself. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import type * as routing from "@mulberryseam/routing";
import * as crypto from "node:crypto";
import * as campaign from "./campaign";
import * as followerServer from "./followerServer";
import * as keyRequestSampler from "./keyRequestSampler";
import * as keyRouting from "./keyRouting";
import * as leaderLink from "./leaderLink";
import * as leaderSession from "./leaderSession";
import type * as leavingUpstreams from "./leavingUpstreams";
import type * as ownershipReader from "./ownershipReader";
import * as ownershipWatch from "./ownershipWatch";
import type * as storeReturns from "./storeReturns";
import * as topicExchange from "./topicExchange";

/** Dependencies of the ownership task. */
export interface OwnershipTaskOptions {
    settings: platform.InstanceSettings;
    store: platform.StoreClient;
    directory: routing.UpstreamDirectory;
    leaving: leavingUpstreams.LeavingUpstreams;
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    /** Names of the keyed services in the document in force. */
    keyedServices: () => string[];
    /** Whether an upstream of a service may own keys, as far as its place decides that. */
    mayOwnKeys: (service: string, upstream: routing.Upstream) => boolean;
    /** Whether the evacuations are known as they were a short time ago. */
    areEvacuationsRecent: () => boolean;
    /** Whether operators and upstreams have had the time to write again what was lost before the era. */
    areTopicsSettled: () => boolean;
    storeReturns: storeReturns.StoreReturns;
    /** Returns the service times of the keyed upstreams measured since the last call, in milliseconds. */
    collectServiceTimes: () => [string, number][];
    /** Returns the requests a second that an upstream tolerates while it is cold; undefined if nothing limits them. */
    toleratedPerSecond?: (upstream: routing.Upstream) => number | undefined;
    topics: topicExchange.TopicExchange;
    traffic: foundation.TrafficAccount;
}

/** Key ownership as seen by one instance. */
export interface OwnershipTask {
    /** Returns the route to the owner of a key, or undefined if it is not known. */
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
    onKeyRequest: (service: string, key: number) => void;
    /** Whether the routing of every keyed service is known. */
    isReady: () => boolean;
    /** Number of instances that share the site's limits, including this one. */
    instanceCount: () => number;
    /** Number of instances as reported by a leader, or connected to this one if it leads; 0 if it is unknown. */
    reportedInstanceCount: () => number;
    isLeading: () => boolean;
    /**
     * Whether an instance has led in an era of the store for long enough that operators and upstreams have written again what was lost before
     * it, or the site starts for the first time.
     */
    isEraEstablished: (era: number) => boolean;
    /** Plans the assignment anew, if this instance leads. */
    planNow: () => void;
    /** Number of keys whose owner is counted, if this instance leads; 0 otherwise. */
    ownedKeyCount: (isCounted: (owner: assignment.Owner) => boolean) => number;
    /**
     * Time since the store last responded to this instance or to the leader that it follows, in milliseconds. Without either, it
     * does not learn of moved keys, draining upstreams and new documents, even if it hears from instances that are cut off too.
     */
    contactAge: () => number;
    /** Relays to the followers the records that this instance has read; does nothing unless it leads. */
    relayRecords: (topic: string, records: readonly platform.StoredRecord[], end: platform.Position) => void;
    /** Identifies this process among the delegates. */
    identifier: string;
    /** The instances of this failure domain that accept requests of each other, including this one. */
    delegates: () => readonly protocol.Delegate[];
    /** Leaves the delegates and resigns leadership before a planned stop. */
    resign: () => Promise<void>;
}

/** Interval between checks for due work, in milliseconds. */
const tickIntervalMilliseconds = 40;
const heartbeatIntervalMilliseconds = 250;
const reportIntervalMilliseconds = 400;
/** Bounds of the delay after failed store calls, in milliseconds. */
const minRetryMilliseconds = 150;
const maxRetryMilliseconds = 1000;

const callAtInterval = (
    timers: foundation.TimerService,
    intervalMilliseconds: number,
    callback: () => void,
    owner: foundation.Owner,
): void => {
    const subscription = timers.onInterval(intervalMilliseconds, callback);
    owner.onCleanup(() => subscription.cancel());
};

type TrafficCounter = (purpose: string, failureDomain: string | undefined, transfer: foundation.Transfer) => void;

/** Creates a function that counts bytes exchanged with a failure domain. */
const createTrafficCounter =
    ({ settings, traffic }: OwnershipTaskOptions): TrafficCounter => (purpose, failureDomain, transfer) => {
        const reach = foundation.reachBetween(settings.regions, settings.failureDomain, failureDomain);
        traffic.add(purpose, reach, transfer);
    };

const createLeaseClient = (
    { directory, timers }: OwnershipTaskOptions,
    addTraffic: TrafficCounter,
): platform.LeaseClient =>
    platform.createLeaseClient(assignment.commandTimeoutMilliseconds, timers, ({ identifier }, transfer) => {
        const failureDomain = directory.find(identifier)?.upstream.failureDomain;
        addTraffic(foundation.TrafficPurpose.leaseCommand, failureDomain, transfer);
    });

const collectReport = (
    { leaving, keyedServices, collectServiceTimes }: OwnershipTaskOptions,
    sampler: keyRequestSampler.KeyRequestSampler,
): protocol.FollowerReport => {
    const leavingUpstreams = leaving.collectReport(keyedServices());
    const report = sampler.collectReport(collectServiceTimes());
    return leavingUpstreams.length > 0 ? { ...report, leaving: leavingUpstreams } : report;
};

/** Returns the leader of another instance that the store names, unless it has resigned or its record is of another era. */
const findFollowableLeader = (
    known: ownershipReader.OwnershipSnapshot | undefined,
    ownIdentifier: string,
): assignment.LeaderRecord | undefined => {
    if (known?.leader === undefined || known.isLeaderOutdated || known.leader.isResigned) {
        return undefined;
    }
    return known.leader.identifier === ownIdentifier ? undefined : known.leader;
};

/**
 * Starts the ownership task.
 *
 * @param options - dependencies of the task
 * @param owner - stops the task when disposed
 * @returns the task, once other instances can connect to this one
 */
export const startOwnershipTask = async (
    options: OwnershipTaskOptions,
    owner: foundation.Owner,
): Promise<OwnershipTask> => {
    const { settings, store, timers, log, failures } = options;
    const identifier = `${settings.name}/${crypto.randomUUID().slice(0, 8)}`;
    const keyOwners = keyRouting.createKeyRouting();
    const sampler = keyRequestSampler.createKeyRequestSampler();
    const addTraffic = createTrafficCounter(options);
    const leaseClient = createLeaseClient(options, addTraffic);
    owner.onCleanup(() => leaseClient.close());

    const backoff = foundation.createBackoff(minRetryMilliseconds, maxRetryMilliseconds, options.random);
    /** Spreads the reads of instances that lose the leader at the same time. */
    const readPhase = options.random.fraction();

    let session: leaderSession.LeaderSession | undefined;
    let missingSince: number | undefined;
    let isStepRunning = false;
    let isResigning = false;
    /** The last term in which this instance led; 0 if it has not. */
    let ownTerm = 0;

    const delegate: protocol.Delegate = { identifier, host: settings.host, port: settings.delegatePort };
    const { failureDomain } = settings;
    let delegates: readonly protocol.Delegate[] = [];
    const onDelegates = (members: readonly protocol.Delegate[]): void => {
        delegates = members;
    };
    const followers = await followerServer.startFollowerServer({
        host: settings.host,
        port: settings.peerPort,
        session: () => session,
        topics: options.topics,
        failureDomain,
        delegate,
        onDelegates,
        log,
        failures,
        onTransferred: addTraffic,
    }, owner);

    const broadcast = (message: protocol.RoutingMessage): void => {
        followers.broadcast(message);
        if (message.kind === "routing") {
            keyOwners.applyMessage(message);
        }
    };

    const link = leaderLink.createLeaderLink({
        identifier,
        failureDomain,
        delegate,
        timers,
        log,
        failures,
        onDelegates,
        onRouting: keyOwners.applyMessage,
        topics: options.topics,
        onLeaderLost: hasResigned => {
            watch.expire();
            if (hasResigned) {
                watch.forget();
            }
        },
    });
    const watch = ownershipWatch.createOwnershipWatch({
        store,
        timers,
        log,
        confirmationTimeOf: link.confirmationTimeOf,
        isFirstStart: settings.isFirstStart,
    });

    const readSnapshot = async (): Promise<void> => {
        const latest = await watch.read();
        backoff.reset();
        if (!link.isLeaderHealthy()) {
            keyOwners.applySnapshot(latest);
        }
    };

    const resignLeadership = async (): Promise<void> => {
        await session?.resign();
        broadcast({ kind: "resigned" });
        session = undefined;
    };

    const runCampaign = async (stored: ownershipReader.OwnershipSnapshot): Promise<void> => {
        const won = await campaign.campaign({
            store,
            timers,
            log,
            watch,
            readSnapshot,
            identifier,
            host: settings.host,
            port: settings.peerPort,
            maxLeaseMilliseconds: settings.maxLeaseMilliseconds,
            areTopicsSettled: options.areTopicsSettled,
            latestTerm: () => Math.max(ownTerm, link.latestTerm()),
        }, stored);
        if (won === undefined) {
            return;
        }
        link.close();
        ownTerm = won.record.term;
        session = leaderSession.createLeaderSession({
            ...options,
            ...won,
            leaseClient,
            maxLeaseMilliseconds: settings.maxLeaseMilliseconds,
            broadcast,
            onSuperseded: () => {
                session = undefined;
                watch.forget();
                followers.disconnectAll();
            },
        });
        keyOwners.applySnapshot(won.snapshot);
        if (isResigning) {
            await resignLeadership();
        }
    };

    const step = async (): Promise<void> => {
        const known = watch.snapshot();
        const input: assignment.LeadershipInput = {
            now: timers.now(),
            ...watch.leadershipState(),
            isReceivingUpdates: link.isLeaderHealthy(),
            isLeaderUnavailable: link.unavailableLeader() === (known?.leader?.identifier ?? ""),
            host: settings.host,
            port: settings.peerPort,
            instanceCount: link.instanceCount(),
            readPhase,
            missingSince,
            campaignDelayMilliseconds: assignment.campaignDelay({
                ...settings,
                storeRoundTripMilliseconds: watch.storeRoundTripMilliseconds(),
            }),
        };
        missingSince = assignment.isLeaderMissing(input) ? missingSince ?? input.now : undefined;
        const nextStep = assignment.nextLeadershipStep(input);
        if (nextStep === assignment.LeadershipStep.read) {
            await readSnapshot();
        }
        else if (nextStep === assignment.LeadershipStep.campaign && known !== undefined && !isResigning) {
            await runCampaign(known);
        }
        const leader = findFollowableLeader(watch.snapshot(), identifier);
        if (leader !== undefined && session === undefined) {
            link.follow(leader);
        }
    };

    const tick = (): void => {
        session?.tick();
        if (session !== undefined || isStepRunning || owner.isDisposed()) {
            return;
        }
        isStepRunning = true;
        void step()
            .catch(error => {
                log.write("ownership-read-failed", { reason: (error as Error).message });
                return foundation.pause(timers, backoff.next());
            })
            .finally(() => {
                isStepRunning = false;
            });
    };

    const sendReport = (): void => {
        const send = session === undefined ? link.send : session.onReport;
        send(collectReport(options, sampler));
    };
    // The leader moves the keys of a leaving upstream while it still serves them.
    options.leaving.onLearned(() => {
        sendReport();
        session?.planNow();
    });

    owner.onCleanup(() => link.close());
    callAtInterval(timers, tickIntervalMilliseconds, tick, owner);
    callAtInterval(timers, heartbeatIntervalMilliseconds, followers.sendHeartbeat, owner);
    callAtInterval(timers, reportIntervalMilliseconds, sendReport, owner);

    return {
        findOwner: keyOwners.findOwner,
        onKeyRequest: sampler.onRequest,
        isReady: () => options.keyedServices().every(keyOwners.isInitialized),
        instanceCount: () => session === undefined ? link.instanceCount() : followers.count() + 1,
        reportedInstanceCount: () => session === undefined ? link.reportedInstanceCount() : followers.count() + 1,
        isLeading: () => session !== undefined,
        isEraEstablished: watch.isEraEstablished,
        planNow: () => session?.planNow(),
        ownedKeyCount: isCounted => session?.ownedKeyCount(isCounted) ?? 0,
        identifier,
        delegates: () => delegates,
        contactAge: () =>
            session === undefined
                ? timers.now() - Math.max(link.lastConfirmedAt(), watch.lastSuccessfulReadAt())
                : session.confirmationAge(),
        relayRecords: (topic, records, end) => {
            if (session !== undefined) {
                const position = topicExchange.toTopicPosition(topic, { end, age: 0 });
                followers.broadcast({ kind: "news", ...position, records: [...records] });
            }
        },
        resign: async () => {
            isResigning = true;
            link.announceStop();
            await resignLeadership();
        },
    };
};
