/** Accepts connections from other instances. */
import * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import * as tls from "node:tls";
import type * as peerCredentials from "./credentials";
import * as connections from "./messageConnection";
import * as messages from "./messages";

/** Configures the server for peer connections. */
export interface PeerServerOptions {
    host: string;
    port: number;
    hello: messages.Hello;
    credentials: peerCredentials.PeerCredentials | undefined;
    logger: foundation.Logger;
    /** Handles a message; `reply` sends a response to its sender. */
    onMessage: (message: messages.Message, reply: (response: messages.Message) => void, sender: messages.Hello) => void;
}

const maxConnections = 1024;

/**
 * Listens for peers until the owner is disposed.
 *
 * @param options - address, credentials and message handler
 * @param owner - closes the listener and its connections on disposal
 * @returns a promise that resolves when the server listens
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
            onRefusal: reason => logger.warning("Refused a peer connection.", { reason, from: socket.remoteAddress }),
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
    server.maxConnections = maxConnections;
    server.on(
        "tlsClientError",
        error => logger.warning("TLS handshake with a peer failed.", { reason: error.message }),
    );
    owner.onCleanup(() =>
        new Promise<void>(resolve => {
            sockets.forEach(socket => socket.destroy());
            server.close(() => resolve());
        })
    );
    await foundation.listenOn(server, options.host, options.port);
};
