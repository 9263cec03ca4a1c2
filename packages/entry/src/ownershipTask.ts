/** An instance's part in key ownership: it follows the leader, or leads itself. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import * as routing from "@mulberryseam/routing";
import * as crypto from "node:crypto";
import * as followerSet from "./followers";
import * as keyDemand from "./keyDemand";
import * as leaderLink from "./leaderLink";
import * as leaderSession from "./leaderSession";
import * as ownershipStore from "./ownershipStore";
import type * as topicTask from "./topicTask";

/** What the task needs. */
export interface OwnershipTaskOptions {
    settings: platform.InstanceSettings;
    store: platform.StoreClient;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    keyedServices: () => string[];
    /** Takes the time that a request takes at each keyed upstream measured since the last call, in milliseconds. */
    takeSpeeds: () => [string, number][];
    /** How far this instance has read the topics that a leader passes on. */
    topics: () => protocol.TopicPosition[];
    /** The leader tells what it has read from a topic of the store. */
    onRelayed: (topic: string, relayed: topicTask.RelayedRecords) => void;
}

/** An instance's part in key ownership. */
export interface OwnershipTask {
    /** Finds the owner of a key. */
    find: (service: string, key: number) => assignment.KeyRoute | undefined;
    onRequest: (service: string, key: number) => void;
    /** Whether routing of every keyed service is known. */
    isReady: () => boolean;
    /** Instances that share the site's limits, this one included. */
    instances: () => number;
    isLeading: () => boolean;
    /** Passes on to followers what this instance has read; does nothing unless it leads. */
    passOn: (topic: string, records: readonly platform.StoredRecord[], end: number) => void;
    /** Gives leadership up before a planned stop. */
    resign: () => Promise<void>;
}

/** Time between two looks at what is due, in milliseconds. */
const tickMilliseconds = 40;
const beatMilliseconds = 250;
const reportMilliseconds = 400;
/** Pauses after calls to the store that failed, in milliseconds. */
const shortestRetryMilliseconds = 150;
const longestRetryMilliseconds = 1000;

/**
 * Starts the task.
 *
 * @param options - what it needs
 * @param owner - ends it
 * @returns once other instances can connect
 */
export const startOwnershipTask = async (
    options: OwnershipTaskOptions,
    owner: foundation.Owner,
): Promise<OwnershipTask> => {
    const { settings, store, timers, log } = options;
    const identifier = `${settings.name}/${crypto.randomUUID().slice(0, 8)}`;
    const views = new Map<string, assignment.RoutingView>();
    const demand = keyDemand.createKeyDemand();
    const grants = platform.createLeaseClient(assignment.grantTimeoutMilliseconds);
    owner.onCleanup(() => grants.close());

    const backoff = foundation.createBackoff(shortestRetryMilliseconds, longestRetryMilliseconds, options.random);
    /** Spreads the reads of instances that lose the leader together. */
    const readPhase = options.random.fraction();

    let session: leaderSession.LeaderSession | undefined;
    let snapshot: ownershipStore.OwnershipSnapshot | undefined;
    let unchangedSince = timers.now();
    let lastReadAt = -Infinity;
    let isBusy = false;
    let isResigning = false;

    const followers = await followerSet.startFollowers(
        { host: settings.host, port: settings.peerPort, session: () => session, topics: options.topics, log },
        owner,
    );

    const viewOf = (service: string): assignment.RoutingView => {
        const view = views.get(service) ?? assignment.createRoutingView();
        views.set(service, view);
        return view;
    };
    const applyRouting = (message: Extract<protocol.RoutingMessage, { kind: "routing"; }>): void =>
        viewOf(message.service).apply(message.changes.map(change => ({
            ...change,
            owner: message.owners[change.owner],
        })));
    const broadcast = (message: protocol.RoutingMessage): void => {
        followers.broadcast(message);
        if (message.kind === "routing") {
            applyRouting(message);
        }
    };

    const link = leaderLink.createLeaderLink({
        identifier,
        timers,
        onRouting: applyRouting,
        onRelayed: options.onRelayed,
        onLeaderGone: hasResigned => {
            lastReadAt = -Infinity;
            snapshot = hasResigned ? undefined : snapshot;
        },
    });

    const applyStored = (stored: ownershipStore.OwnershipSnapshot): void => {
        for (const [service, { ranges }] of stored.assignments) {
            viewOf(service).apply(ranges);
        }
    };

    const read = async (): Promise<void> => {
        const sentAt = timers.now();
        lastReadAt = sentAt;
        const next = await ownershipStore.readOwnership(store, log);
        backoff.reset();
        const isSame = next.leader?.identifier === snapshot?.leader?.identifier
            && next.leader?.beat === snapshot?.leader?.beat && next.leader?.term === snapshot?.leader?.term;
        if (!isSame) {
            const provenAt = next.leader === undefined ? undefined : link.proofOf(next.leader);
            unchangedSince = Math.min(sentAt, provenAt ?? sentAt);
        }
        snapshot = next;
        if (!link.isHearing()) {
            applyStored(next);
        }
    };

    const campaign = async (known: ownershipStore.OwnershipSnapshot): Promise<void> => {
        const record: assignment.LeaderRecord = {
            identifier,
            host: settings.host,
            port: settings.peerPort,
            term: (known.leader?.term ?? 0) + 1,
            beat: 0,
            isResigned: false,
            longestLeaseMilliseconds: 0,
        };
        const earlier: assignment.EarlierLeader = {
            record: known.leader,
            recordSeenAt: unchangedSince,
            hasEnded: link.endedLeader() === known.leader?.identifier || known.leader?.host === settings.host,
        };
        const answer = await store.append(platform.Topic.ownership, known.end, [
            { key: assignment.leaderKey, value: assignment.encodeLeader(record) },
        ]);
        if (answer.result !== platform.AppendResult.appended) {
            log.write("campaign-failed", { term: record.term, result: answer.result, reason: answer.reason });
            await read();
            // An append without an answer may have been done.
            if (snapshot?.leader?.identifier !== identifier) {
                return;
            }
        }
        const current = { ...(snapshot ?? known), leader: record };
        current.end = answer.result === platform.AppendResult.appended ? answer.end : current.end;
        log.write("leadership-won", { term: record.term, before: known.leader?.identifier, end: current.end });
        link.close();
        session = leaderSession.createLeaderSession({
            store,
            grants,
            directory: options.directory,
            timers,
            log,
            record,
            snapshot: current,
            quietUntil: assignment.earlierOrdersEnd(earlier),
            unknownLeaseUntil: assignment.earlierLeasesEnd(earlier, settings.maxLeaseMilliseconds),
            longestLeaseMilliseconds: settings.maxLeaseMilliseconds,
            keyedServices: options.keyedServices,
            broadcast,
            onDeposed: () => {
                session = undefined;
                snapshot = undefined;
                followers.dismiss();
            },
        });
        applyStored(current);
    };

    const step = async (): Promise<void> => {
        const next = assignment.nextLeadershipStep({
            now: timers.now(),
            leader: snapshot?.leader,
            hasRead: snapshot !== undefined,
            lastReadAt,
            unchangedSince,
            isHearing: link.isHearing(),
            isLeaderEnded: snapshot?.leader !== undefined && link.endedLeader() === snapshot.leader.identifier,
            host: settings.host,
            instances: link.instances(),
            readPhase,
        });
        if (next === assignment.LeadershipStep.read) {
            await read();
        }
        else if (next === assignment.LeadershipStep.campaign && snapshot !== undefined && !isResigning) {
            await campaign(snapshot);
        }
        const leader = snapshot?.leader;
        if (leader !== undefined && leader.identifier !== identifier && !leader.isResigned && session === undefined) {
            link.follow(leader);
        }
    };

    const tick = (): void => {
        session?.tick();
        if (session !== undefined || isBusy || owner.isDisposed()) {
            return;
        }
        isBusy = true;
        void step()
            .catch(error => {
                log.write("ownership-read-failed", { reason: (error as Error).message });
                return foundation.pause(timers, backoff.next());
            })
            .finally(() => {
                isBusy = false;
            });
    };

    const sendReport = (): void => {
        const report = demand.takeReport(options.takeSpeeds());
        if (session !== undefined) {
            session.onReport(report);
        }
        else {
            link.send(report);
        }
    };

    owner.onCleanup(() => link.close());
    for (
        const [interval, work] of [
            [tickMilliseconds, tick],
            [beatMilliseconds, followers.sendBeat],
            [reportMilliseconds, sendReport],
        ] as const
    ) {
        const subscription = timers.onInterval(interval, work);
        owner.onCleanup(() => subscription.cancel());
    }

    return {
        find: (service, key) => views.get(service)?.find(key),
        onRequest: demand.onRequest,
        isReady: () => options.keyedServices().every(service => views.get(service)?.isKnown() === true),
        instances: () => session === undefined ? link.instances() : followers.count() + 1,
        isLeading: () => session !== undefined,
        passOn: (topic, records, end) => {
            if (session !== undefined) {
                followers.broadcast({ kind: "news", topic, end, records: [...records] });
            }
        },
        resign: async () => {
            isResigning = true;
            const leading = session;
            await leading?.resign();
            broadcast({ kind: "resigned" });
            session = undefined;
        },
    };
};
