/** One connection between an instance and the leader, from either side. */
import type * as net from "node:net";
import * as frames from "./frames";
import * as messages from "./routingMessages";

/** What happens on a connection. */
export interface RoutingConnectionHandlers {
    onMessage: (message: messages.RoutingMessage) => void;
    /** The connection ended; `code` is the system's error, if there was one. */
    onClose: (code: string | undefined) => void;
}

/** Sends messages; they are dropped once the connection has ended. */
export interface RoutingConnection {
    send: (message: messages.RoutingMessage) => void;
    close: () => void;
}

/** Silence after which a connection is given up, in milliseconds: three beats. */
export const routingSilenceMilliseconds = 900;

const highestUnsentBytes = 4 * 1024 * 1024;

/**
 * Speaks the protocol on a socket.
 *
 * @param socket - a socket, connected or connecting
 * @param handlers - what happens on the connection
 * @returns the connection
 */
export const createRoutingConnection = (
    socket: net.Socket,
    handlers: RoutingConnectionHandlers,
): RoutingConnection => {
    const decoder = frames.createFrameDecoder();
    let code: string | undefined;
    socket.setNoDelay(true);
    socket.setTimeout(routingSilenceMilliseconds, () => socket.destroy());
    socket.on("error", error => {
        code = (error as NodeJS.ErrnoException).code;
    });
    socket.on("close", () => handlers.onClose(code));
    const fail = (reason: string): void => {
        code = reason;
        socket.destroy();
    };
    socket.on("data", bytes => {
        const decoded = decoder.push(bytes as Buffer);
        if (decoded.err) {
            fail(decoded.val.message);
            return;
        }
        for (const value of decoded.val) {
            const message = messages.parseRoutingMessage(value);
            if (message.err) {
                fail(message.val);
                return;
            }
            handlers.onMessage(message.val);
        }
    });
    return {
        send: message => {
            if (socket.writable && socket.writableLength < highestUnsentBytes) {
                socket.write(frames.encodeFrame(message));
            }
        },
        close: () => socket.destroySoon(),
    };
};
