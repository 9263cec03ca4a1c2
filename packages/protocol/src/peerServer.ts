/** Accepts connections from other instances. */
import * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import * as tls from "node:tls";
import * as connections from "./connection";
import type * as peerCredentials from "./credentials";
import * as messages from "./messages";

/** How the server listens and what it does with messages. */
export interface PeerServerOptions {
    host: string;
    port: number;
    hello: messages.Hello;
    credentials: peerCredentials.PeerCredentials | undefined;
    logger: foundation.Logger;
    /** Takes a message and the means to answer its sender. */
    onMessage: (message: messages.Message, reply: (answer: messages.Message) => void, sender: messages.Hello) => void;
}

const highestConnections = 1024;

/**
 * Listens for peers until its owner is disposed of.
 *
 * @param options - how to listen
 * @param owner - closes the listener and its connections
 * @returns once listening
 */
export const createPeerServer = async (options: PeerServerOptions, owner: foundation.Owner): Promise<void> => {
    const { credentials, logger } = options;
    const sockets = new Set<net.Socket>();

    const accept = (socket: net.Socket): void => {
        let sender: messages.Hello | undefined;
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        const connection: connections.MessageConnection = connections.createMessageConnection(socket, options.hello, {
            onHello: hello => {
                sender = hello;
            },
            onMessage: message => {
                if (sender !== undefined && message.kind !== messages.MessageKind.hello) {
                    options.onMessage(message, connection.send, sender);
                }
            },
            onRefusal: reason => logger.warning("A peer was refused.", { reason, from: socket.remoteAddress }),
        });
    };

    const server = credentials === undefined
        ? net.createServer(accept)
        : tls.createServer({
            key: credentials.key,
            cert: credentials.certificate,
            ca: credentials.authority,
            requestCert: true,
            rejectUnauthorized: true,
            minVersion: "TLSv1.3",
        }, accept);
    server.maxConnections = highestConnections;
    server.on("tlsClientError", error => logger.warning("A peer failed to prove itself.", { reason: error.message }));
    owner.onCleanup(() =>
        new Promise<void>(resolve => {
            sockets.forEach(socket => socket.destroy());
            server.close(() => resolve());
        })
    );
    await foundation.listenOn(server, options.host, options.port);
};
