/** Serves the instances that follow this one while it leads. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as net from "node:net";
import type * as leaderSession from "./leaderSession";
import * as topicExchange from "./topicExchange";
import type * as topicTask from "./topicTask";

/** Address and dependencies of the follower server. */
export interface FollowerServerOptions {
    host: string;
    port: number;
    /** The leader session; undefined while this instance does not lead. */
    session: () => leaderSession.LeaderSession | undefined;
    topics: topicExchange.TopicExchange;
    /** This instance's failure domain, and where it accepts requests of the other instances of it. */
    failureDomain: string;
    delegate: protocol.Delegate;
    /** Called with the delegates of this instance's own failure domain after each change, while it leads. */
    onDelegates: (delegates: readonly protocol.Delegate[]) => void;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    /** Time without traffic after which a connection is closed, in milliseconds; that of the protocol by default. */
    idleTimeoutMilliseconds?: number;
    /** Called with the bytes of messages; the failure domain is undefined before the follower has joined. */
    onTransferred: (kind: string, failureDomain: string | undefined, transfer: foundation.Transfer) => void;
}

/** What a follower has told of itself. */
interface Follower {
    failureDomain: string;
    /** Undefined once the follower is about to stop. */
    delegate: protocol.Delegate | undefined;
    /** Topics whose content the follower has got, and the era of it. */
    knownTopics: Map<string, number>;
}

/** Connections from followers. */
export interface FollowerServer {
    broadcast: (message: protocol.RoutingMessage) => void;
    /** Sends a heartbeat and changed delegates to the followers; does nothing unless this instance leads. */
    sendHeartbeat: () => void;
    /** Number of connected followers. */
    count: () => number;
    /** Closes every connection, so that followers read the store. */
    disconnectAll: () => void;
}

/**
 * Listens for followers until the owner is disposed of.
 *
 * @param options - address and dependencies
 * @param owner - closes the server when disposed
 * @returns the server, once it listens
 */
export const startFollowerServer = async (
    options: FollowerServerOptions,
    owner: foundation.Owner,
): Promise<FollowerServer> => {
    const followers = new Map<protocol.RoutingConnection, Follower>();
    const delegatesOf = (failureDomain: string): protocol.Delegate[] => {
        const own = failureDomain === options.failureDomain ? [options.delegate] : [];
        const members = [...followers.values()].flatMap(follower =>
            follower.failureDomain === failureDomain ? follower.delegate ?? [] : []
        );
        return [...own, ...members];
    };
    /** Failure domains whose delegates have changed since they were last announced. */
    const changedDomains = new Set<string>();
    let announcedTerm: number | undefined;
    const announceDelegates = (session: leaderSession.LeaderSession): void => {
        if (announcedTerm !== session.term) {
            announcedTerm = session.term;
            changedDomains.add(options.failureDomain);
        }
        for (const failureDomain of changedDomains) {
            const members = delegatesOf(failureDomain);
            for (const [connection, follower] of followers) {
                if (follower.failureDomain === failureDomain) {
                    connection.send({ kind: protocol.RoutingMessageKind.delegates, members });
                }
            }
            if (failureDomain === options.failureDomain) {
                options.onDelegates(members);
            }
        }
        changedDomains.clear();
    };
    const createHeartbeat = (session: leaderSession.LeaderSession): protocol.RoutingMessage => ({
        kind: "beat",
        term: session.term,
        era: session.era(),
        record: session.acknowledgedRecordNumber(),
        proofAge: session.confirmationAge(),
        instances: followers.size + 1,
        topics: options.topics.positions(),
    });
    const encodedSnapshots = new Map<string, { revision: number; content: Uint8Array | undefined; }>();
    /** Returns undefined for a snapshot that is too large to be sent; followers then read the store. */
    const encodeSnapshot = (
        topic: string,
        { records, revision, end }: topicTask.TopicContent,
    ): Uint8Array | undefined => {
        const encoded = encodedSnapshots.get(topic);
        // Positions do not tell contents apart: offsets are given out again, and missing records are awaited for a time.
        if (encoded?.revision === revision) {
            return encoded.content;
        }
        const content = protocol.encodeTopicContent([...records]);
        const wasTooLarge = encoded !== undefined && encoded.content === undefined;
        if (content === undefined && !wasTooLarge) {
            options.log.write("snapshot-too-large", { topic, era: end.era, end: end.offset, records: records.length });
        }
        encodedSnapshots.set(topic, { revision, content });
        return content;
    };
    /**
     * Sends each follower the topics that it has not got yet: this instance may learn of some, or of a return of the store from an older copy,
     * after the follower has joined.
     */
    const sendSnapshots = (): void => {
        for (const { topic, era } of options.topics.positions()) {
            for (const [connection, { knownTopics }] of followers) {
                const isKnown = (knownTopics.get(topic) ?? -1) >= era;
                const snapshot = isKnown ? undefined : options.topics.snapshot(topic);
                if (snapshot !== undefined) {
                    knownTopics.set(topic, snapshot.end.era);
                    const position = topicExchange.toTopicPosition(topic, snapshot);
                    const content = encodeSnapshot(topic, snapshot);
                    if (content !== undefined) {
                        const { mayBeOutdated } = snapshot;
                        connection.sendState({
                            kind: protocol.RoutingMessageKind.snapshot,
                            ...position,
                            mayBeOutdated,
                            content,
                        });
                    }
                }
            }
        }
    };
    const onStopping = (connection: protocol.RoutingConnection): void => {
        const follower = followers.get(connection);
        if (follower !== undefined) {
            followers.set(connection, { ...follower, delegate: undefined });
            changedDomains.add(follower.failureDomain);
        }
    };
    const accept = (socket: net.Socket): void => {
        const connection = protocol.createRoutingConnection(socket, {
            maxFrameBytes: protocol.maxFollowerFrameBytes,
            idleTimeoutMilliseconds: options.idleTimeoutMilliseconds,
            failures: options.failures,
            log: options.log,
            onMessage: message => {
                const session = options.session();
                if (session === undefined) {
                    connection.send({ kind: "notLeader" });
                    connection.close();
                }
                else if (message.kind === protocol.RoutingMessageKind.join) {
                    if (message.version !== protocol.routingProtocolVersion) {
                        const { version } = message;
                        options.log.write("follower-refused", { follower: message.identifier, version });
                        connection.close();
                        return;
                    }
                    const { failureDomain, delegate, knownEras } = message;
                    // A release that does not know eras cannot tell one content from another.
                    const knownTopics = new Map(
                        message.knownTopics.map(topic => [topic, knownEras[topic] ?? Infinity]),
                    );
                    followers.set(connection, { failureDomain, delegate, knownTopics });
                    sendSnapshots();
                    connection.send(createHeartbeat(session));
                    session.routingMessages().forEach(connection.sendState);
                    changedDomains.add(failureDomain);
                }
                else if (message.kind === protocol.RoutingMessageKind.report) {
                    session.onReport(message);
                }
                else if (message.kind === protocol.RoutingMessageKind.stopping) {
                    onStopping(connection);
                }
            },
            onTransferred: (kind, transfer) =>
                options.onTransferred(kind, followers.get(connection)?.failureDomain, transfer),
            onClose: () => {
                const follower = followers.get(connection);
                followers.delete(connection);
                if (follower !== undefined) {
                    changedDomains.add(follower.failureDomain);
                }
            },
        });
    };
    const broadcast = (message: protocol.RoutingMessage): void =>
        [...followers.keys()].forEach(connection => connection.send(message));
    const disconnectAll = (): void => [...followers.keys()].forEach(connection => connection.close());
    const server = net.createServer(accept);
    owner.onCleanup(() => {
        server.close();
        disconnectAll();
    });
    await foundation.listenOn(
        server,
        options.host,
        options.port,
        error => options.failures.report("follower server", error),
    );
    return {
        broadcast,
        sendHeartbeat: () => {
            const session = options.session();
            if (session !== undefined) {
                broadcast(createHeartbeat(session));
                announceDelegates(session);
                sendSnapshots();
            }
        },
        count: () => followers.size,
        disconnectAll,
    };
};
