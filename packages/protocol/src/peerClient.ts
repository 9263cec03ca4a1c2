/** Maintains a connection to one other instance. */
import type * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import * as tls from "node:tls";
import type * as peerCredentials from "./credentials";
import * as connections from "./messageConnection";
import * as messages from "./messages";

/** Configures the connection to a peer. */
export interface PeerClientOptions {
    host: string;
    port: number;
    hello: messages.Hello;
    credentials: peerCredentials.PeerCredentials | undefined;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    onMessage: (message: messages.Message, sender: messages.Hello) => void;
}

/** Sends messages to one peer; they are dropped while there is no connection. */
export interface PeerClient {
    send: (message: messages.Message) => void;
}

const reconnectDelayMilliseconds = 250;
const connectTimeoutMilliseconds = 1000;
const idleTimeoutMilliseconds = 3000;

/**
 * Connects to a peer and reconnects whenever the connection closes.
 *
 * @param options - the peer and the message handler
 * @param owner - closes the connection on disposal
 * @returns the client
 */
export const createPeerClient = (options: PeerClientOptions, owner: foundation.Owner): PeerClient => {
    const { credentials, timers, logger } = options;
    let connection: connections.MessageConnection | undefined;
    let socket: net.Socket | undefined;
    let lastRefusalReason: string | undefined;

    const openSocket = (): net.Socket =>
        credentials === undefined
            ? net.connect({ host: options.host, port: options.port })
            : tls.connect({
                host: options.host,
                port: options.port,
                key: credentials.key,
                cert: credentials.certificate,
                ca: credentials.authority,
                minVersion: "TLSv1.3",
                // Peers are addressed by IP and authenticated by the private certificate authority, not by host name.
                checkServerIdentity: () => undefined,
            });

    const connect = (): void => {
        if (owner.isDisposed()) {
            return;
        }
        const newSocket = openSocket();
        let peer: messages.Hello | undefined;
        socket = newSocket;
        const connectTimeout = timers.onDelay(connectTimeoutMilliseconds, () => {
            if (peer === undefined) {
                newSocket.destroy();
            }
        });
        newSocket.setTimeout(idleTimeoutMilliseconds, () => newSocket.destroy());
        newSocket.on("error", () => newSocket.destroy());
        newSocket.on("close", () => {
            connectTimeout.cancel();
            connection = undefined;
            if (!owner.isDisposed()) {
                timers.onDelay(reconnectDelayMilliseconds, connect);
            }
        });
        const newConnection = connections.createMessageConnection(newSocket, options.hello, {
            onHello: hello => {
                peer = hello;
                lastRefusalReason = undefined;
                connection = newConnection;
            },
            onMessage: message => {
                if (peer !== undefined && message.kind !== messages.MessageKind.refused) {
                    options.onMessage(message, peer);
                }
            },
            onRefusal: reason => {
                if (reason !== lastRefusalReason) {
                    logger.warning("The peer connection was refused.", { reason, port: options.port });
                }
                lastRefusalReason = reason;
            },
        });
    };

    connect();
    owner.onCleanup(() => {
        socket?.destroy();
    });
    return { send: message => connection?.send(message) };
};
