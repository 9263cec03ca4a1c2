/** Serves the instances that follow this one while it leads. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as net from "node:net";
import type * as leaderSession from "./leaderSession";

/** Address and dependencies of the follower server. */
export interface FollowerServerOptions {
    host: string;
    port: number;
    /** The leader session; undefined while this instance does not lead. */
    session: () => leaderSession.LeaderSession | undefined;
    /** Positions of this instance in the topics that it relays. */
    positions: () => protocol.TopicPosition[];
    log: foundation.EventLog;
}

/** Connections from followers. */
export interface FollowerServer {
    broadcast: (message: protocol.RoutingMessage) => void;
    /** Sends a heartbeat to every follower; does nothing unless this instance leads. */
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
    const followers = new Set<protocol.RoutingConnection>();
    const createHeartbeat = (session: leaderSession.LeaderSession): protocol.RoutingMessage => ({
        kind: "beat",
        term: session.term,
        record: session.acknowledgedRecordNumber(),
        proofAge: session.confirmationAge(),
        instances: followers.size + 1,
        topics: options.positions(),
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
                    connection.send(createHeartbeat(session));
                    session.routingMessages().forEach(connection.send);
                }
                else if (message.kind === protocol.RoutingMessageKind.report) {
                    session.onReport(message);
                }
            },
            onClose: () => followers.delete(connection),
        });
    };
    const broadcast = (message: protocol.RoutingMessage): void => followers.forEach(follower => follower.send(message));
    const disconnectAll = (): void => followers.forEach(follower => follower.close());
    const server = net.createServer(accept);
    owner.onCleanup(() => {
        server.close();
        disconnectAll();
    });
    await foundation.listenOn(server, options.host, options.port);
    return {
        broadcast,
        sendHeartbeat: () => {
            const session = options.session();
            if (session !== undefined) {
                broadcast(createHeartbeat(session));
            }
        },
        count: () => followers.size,
        disconnectAll,
    };
};
