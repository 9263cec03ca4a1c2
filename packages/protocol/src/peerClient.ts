/** Keeps a connection to one other instance. */
import type * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import * as tls from "node:tls";
import * as connections from "./connection";
import type * as peerCredentials from "./credentials";
import * as messages from "./messages";

/** Whom to connect to and what to do with messages. */
export interface PeerClientOptions {
    host: string;
    port: number;
    hello: messages.Hello;
    credentials: peerCredentials.PeerCredentials | undefined;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    onMessage: (message: messages.Message, sender: messages.Hello) => void;
}

/** Sends messages to one instance; they are dropped while there is no connection. */
export interface PeerClient {
    send: (message: messages.Message) => void;
}

const reconnectMilliseconds = 250;
const connectTimeoutMilliseconds = 1000;
const silenceMilliseconds = 3000;

/**
 * Connects to a peer and connects anew whenever the connection ends.
 *
 * @param options - whom to connect to
 * @param owner - ends the connection
 * @returns the client
 */
export const createPeerClient = (options: PeerClientOptions, owner: foundation.Owner): PeerClient => {
    const { credentials, timers, logger } = options;
    let connection: connections.MessageConnection | undefined;
    let socket: net.Socket | undefined;
    let refusal: string | undefined;

    const open = (): net.Socket =>
        credentials === undefined
            ? net.connect({ host: options.host, port: options.port })
            : tls.connect({
                host: options.host,
                port: options.port,
                key: credentials.key,
                cert: credentials.certificate,
                ca: credentials.authority,
                minVersion: "TLSv1.3",
                // Peers are known by IP number; the private authority vouches for them, not a host name.
                checkServerIdentity: () => undefined,
            });

    const connect = (): void => {
        if (owner.isDisposed()) {
            return;
        }
        const opened = open();
        let peer: messages.Hello | undefined;
        socket = opened;
        const timeout = timers.onDelay(connectTimeoutMilliseconds, () => {
            if (peer === undefined) {
                opened.destroy();
            }
        });
        opened.setTimeout(silenceMilliseconds, () => opened.destroy());
        opened.on("error", () => opened.destroy());
        opened.on("close", () => {
            timeout.cancel();
            connection = undefined;
            timers.onDelay(reconnectMilliseconds, connect);
        });
        const created = connections.createMessageConnection(opened, options.hello, {
            onHello: hello => {
                peer = hello;
                refusal = undefined;
                connection = created;
            },
            onMessage: message => {
                if (peer !== undefined && message.kind !== messages.MessageKind.refused) {
                    options.onMessage(message, peer);
                }
            },
            onRefusal: reason => {
                if (reason !== refusal) {
                    logger.warning("A peer refused the connection.", { reason, port: options.port });
                }
                refusal = reason;
            },
        });
    };

    connect();
    owner.onCleanup(() => {
        socket?.destroy();
    });
    return { send: message => connection?.send(message) };
};
