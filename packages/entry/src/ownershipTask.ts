/** An instance's part in key ownership: it follows the leader, or leads itself. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import * as routing from "@mulberryseam/routing";
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as keyDemand from "./keyDemand";
import * as leaderSession from "./leaderSession";
import * as ownershipStore from "./ownershipStore";

/** What the task needs. */
export interface OwnershipTaskOptions {
    settings: platform.InstanceSettings;
    store: platform.StoreClient;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    keyedServices: () => string[];
    /** Smoothed time that a request takes at each upstream, in milliseconds. */
    speeds: () => [string, number][];
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
    /** Gives leadership up before a planned stop. */
    resign: () => Promise<void>;
}

/** Time between two looks at what is due, in milliseconds. */
const tickMilliseconds = 40;
const beatMilliseconds = 250;
const reportMilliseconds = 400;
const reconnectMilliseconds = 150;
/** Instances that are assumed before the leader has told how many there are. */
const assumedInstances = 8;
/** Age of a leader's proof from which others look into the store, in milliseconds: more than a beat takes. */
const staleProofMilliseconds = 1500;

interface LeaderLink {
    connection: protocol.RoutingConnection;
    identifier: string;
}

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
    const followers = new Set<protocol.RoutingConnection>();
    const grants = platform.createGrantClient();
    owner.onCleanup(() => grants.close());

    let session: leaderSession.LeaderSession | undefined;
    let snapshot: ownershipStore.OwnershipSnapshot | undefined;
    let unchangedSince = timers.now();
    let lastReadAt = -Infinity;
    let isBusy = false;
    let isResigning = false;
    let link: LeaderLink | undefined;
    let lastConnectAt = -Infinity;
    let endedLeader: string | undefined;
    let lastBeatAt = -Infinity;
    let instances = assumedInstances;

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
        followers.forEach(follower => follower.send(message));
        if (message.kind === "routing") {
            applyRouting(message);
        }
    };

    const isHearing = (): boolean => timers.now() - lastBeatAt < protocol.routingSilenceMilliseconds;

    const applyStored = (stored: ownershipStore.OwnershipSnapshot): void => {
        for (const [service, { ranges }] of stored.assignments) {
            viewOf(service).apply(ranges);
        }
    };

    const read = async (): Promise<void> => {
        const sentAt = timers.now();
        lastReadAt = sentAt;
        const next = await ownershipStore.readOwnership(store, log);
        const isSame = next.leader?.identifier === snapshot?.leader?.identifier
            && next.leader?.beat === snapshot?.leader?.beat && next.leader?.term === snapshot?.leader?.term;
        if (!isSame) {
            unchangedSince = sentAt;
        }
        snapshot = next;
        if (!isHearing()) {
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
        link?.connection.close();
        link = undefined;
        session = leaderSession.createLeaderSession({
            store,
            grants,
            directory: options.directory,
            timers,
            log,
            record,
            snapshot: current,
            quietUntil: assignment.earlierOrdersEnd(
                known.leader,
                timers.now(),
                endedLeader === known.leader?.identifier || known.leader?.host === settings.host,
            ),
            unknownLeaseUntil: assignment.earlierLeasesEnd(
                known.leader,
                timers.now(),
                settings.longestLeaseMilliseconds,
            ),
            longestLeaseMilliseconds: settings.longestLeaseMilliseconds,
            keyedServices: options.keyedServices,
            broadcast,
            onDeposed: () => {
                session = undefined;
                snapshot = undefined;
                followers.forEach(follower => follower.close());
            },
        });
        applyStored(current);
    };

    const onLeaderMessage = (message: protocol.RoutingMessage): void => {
        switch (message.kind) {
            case "beat":
                // A leader that the store does not answer must not keep others from taking over.
                lastBeatAt = message.proofAge < staleProofMilliseconds ? timers.now() : lastBeatAt;
                instances = Math.max(1, message.instances);
                return;
            case "routing":
                applyRouting(message);
                return;
            case "notLeader":
            case "resigned":
                lastBeatAt = -Infinity;
                lastReadAt = -Infinity;
                endedLeader = message.kind === "notLeader" ? link?.identifier : undefined;
                snapshot = message.kind === "resigned" ? undefined : snapshot;
                link?.connection.close();
                return;
        }
    };

    const connect = (leader: assignment.LeaderRecord): void => {
        lastConnectAt = timers.now();
        const socket = net.connect({ host: leader.host, port: leader.port });
        const connection = protocol.createRoutingConnection(socket, {
            onMessage: onLeaderMessage,
            onClose: code => {
                if (link?.connection === connection) {
                    link = undefined;
                }
                if (code === "ECONNREFUSED") {
                    endedLeader = leader.identifier;
                }
            },
        });
        link = { connection, identifier: leader.identifier };
        connection.send({ kind: "join", version: protocol.routingProtocolVersion, identifier });
    };

    const follow = (): void => {
        const leader = snapshot?.leader;
        if (leader === undefined || leader.identifier === identifier || leader.isResigned) {
            return;
        }
        if (link !== undefined && link.identifier !== leader.identifier) {
            link.connection.close();
            link = undefined;
        }
        if (link === undefined && timers.now() - lastConnectAt >= reconnectMilliseconds) {
            connect(leader);
        }
    };

    const step = async (): Promise<void> => {
        const next = assignment.nextLeadershipStep({
            now: timers.now(),
            leader: snapshot?.leader,
            hasRead: snapshot !== undefined,
            lastReadAt,
            unchangedSince: Math.max(unchangedSince, lastBeatAt),
            isHearing: isHearing(),
            isLeaderEnded: endedLeader !== undefined && endedLeader === snapshot?.leader?.identifier,
            host: settings.host,
        });
        if (next === assignment.LeadershipStep.read) {
            await read();
        }
        else if (next === assignment.LeadershipStep.campaign && snapshot !== undefined && !isResigning) {
            await campaign(snapshot);
        }
        follow();
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
                return foundation.pause(timers, reconnectMilliseconds);
            })
            .finally(() => {
                isBusy = false;
            });
    };

    const beatOf = (leading: leaderSession.LeaderSession): protocol.RoutingMessage => ({
        kind: "beat",
        term: leading.term,
        proofAge: leading.proofAge(),
        instances: followers.size + 1,
    });

    const acceptFollower = (socket: net.Socket): void => {
        const connection = protocol.createRoutingConnection(socket, {
            onMessage: message => {
                if (session === undefined) {
                    connection.send({ kind: "notLeader" });
                    connection.close();
                }
                else if (message.kind === "join") {
                    followers.add(connection);
                    connection.send(beatOf(session));
                    session.routing().forEach(connection.send);
                }
                else if (message.kind === "report") {
                    session.onReport(message);
                }
            },
            onClose: () => followers.delete(connection),
        });
    };

    const sendBeat = (): void => {
        if (session !== undefined) {
            instances = followers.size + 1;
            broadcast(beatOf(session));
        }
    };
    const sendReport = (): void => {
        const report = demand.takeReport(options.speeds());
        if (session !== undefined) {
            session.onReport(report);
        }
        else {
            link?.connection.send(report);
        }
    };

    const server = net.createServer(acceptFollower);
    owner.onCleanup(() => {
        server.close();
        link?.connection.close();
        followers.forEach(follower => follower.close());
    });
    await foundation.listenOn(server, settings.host, settings.peerPort);
    for (
        const [interval, work] of [
            [tickMilliseconds, tick],
            [beatMilliseconds, sendBeat],
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
        instances: () => instances,
        isLeading: () => session !== undefined,
        resign: async () => {
            isResigning = true;
            const leading = session;
            await leading?.resign();
            broadcast({ kind: "resigned" });
            session = undefined;
        },
    };
};
