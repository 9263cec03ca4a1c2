/** The instances that follow this one while it leads. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as net from "node:net";
import type * as leaderSession from "./leaderSession";

/** What the listener needs. */
export interface FollowersOptions {
    host: string;
    port: number;
    /** This instance's leadership; undefined while it does not lead. */
    session: () => leaderSession.LeaderSession | undefined;
    /** How far this instance has read the topics that it passes on. */
    topics: () => protocol.TopicPosition[];
    log: foundation.EventLog;
}

/** The instances that follow. */
export interface Followers {
    broadcast: (message: protocol.RoutingMessage) => void;
    /** Tells every follower that the leader lives. */
    sendBeat: () => void;
    count: () => number;
    /** Ends every connection, so that followers look into the store. */
    dismiss: () => void;
}

/**
 * Listens for followers until the owner is disposed of.
 *
 * @param options - what the listener needs
 * @param owner - ends it
 * @returns once listening
 */
export const startFollowers = async (options: FollowersOptions, owner: foundation.Owner): Promise<Followers> => {
    const followers = new Set<protocol.RoutingConnection>();
    const beatOf = (session: leaderSession.LeaderSession): protocol.RoutingMessage => ({
        kind: "beat",
        term: session.term,
        record: session.lastRecord(),
        proofAge: session.proofAge(),
        instances: followers.size + 1,
        topics: options.topics(),
    });
    const accept = (socket: net.Socket): void => {
        const connection = protocol.createRoutingConnection(socket, {
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
                    followers.add(connection);
                    connection.send(beatOf(session));
                    session.routing().forEach(connection.send);
                }
                else if (message.kind === protocol.RoutingMessageKind.report) {
                    session.onReport(message);
                }
            },
            onClose: () => followers.delete(connection),
        });
    };
    const broadcast = (message: protocol.RoutingMessage): void => followers.forEach(follower => follower.send(message));
    const dismiss = (): void => followers.forEach(follower => follower.close());
    const server = net.createServer(accept);
    owner.onCleanup(() => {
        server.close();
        dismiss();
    });
    await foundation.listenOn(server, options.host, options.port);
    return {
        broadcast,
        sendBeat: () => {
            const session = options.session();
            if (session !== undefined) {
                broadcast(beatOf(session));
            }
        },
        count: () => followers.size,
        dismiss,
    };
};
