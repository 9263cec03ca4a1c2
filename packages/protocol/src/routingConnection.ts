/** A connection between an instance and the leader, on either side. */
import type * as foundation from "@mulberryseam/foundation";
import type * as net from "node:net";
import * as frames from "./frames";
import * as messages from "./routingMessages";

/** Event handlers of a connection. */
export interface RoutingConnectionHandlers {
    onMessage: (message: messages.RoutingMessage) => void;
    /** The connection was closed; `reason` is the code of the system error or a protocol error, if any. */
    onClose: (reason: string | undefined) => void;
    /** Records exceptions of the handlers; one that is thrown for a message closes the connection. */
    failures: foundation.FailureBoundary;
    /** Receives an event when this side closes the connection because of an error. */
    log: foundation.EventLog;
    /** Size of the largest accepted message, in bytes; that of the largest message of a leader by default. */
    maxFrameBytes?: number;
    /** Time without traffic after which the connection is closed, in milliseconds; {@link routingIdleTimeoutMilliseconds} by default. */
    idleTimeoutMilliseconds?: number;
    /** Called with the bytes of messages; those that arrive together count for the first one's kind. */
    onTransferred?: (kind: string, transfer: foundation.Transfer) => void;
}

/**
 * Sends messages in order and without gaps: a message that cannot be queued because too many bytes are unsent, or that is larger than
 * the peer accepts (`maxFrameBytes`), closes the connection. Messages are dropped once the connection is closed.
 */
export interface RoutingConnection {
    send: (message: messages.RoutingMessage) => void;
    /** Sends state that each new connection needs, so that its size is no reason to close this one: it does not count as unsent. */
    sendState: (message: messages.RoutingMessage) => void;
    close: () => void;
}

/** Time without traffic after which a connection is closed, in milliseconds: three heartbeat intervals. */
export const routingIdleTimeoutMilliseconds = 900;

/** Size of the largest message that a leader accepts from a follower, in bytes: a leader has many followers, and their reports are small. */
export const maxFollowerFrameBytes = 1024 * 1024;

const maxUnsentBytes = 4 * 1024 * 1024;

/**
 * Runs the routing protocol on a socket.
 *
 * @param socket - the socket, connected or connecting
 * @param handlers - event handlers of the connection
 * @returns the connection
 */
export const createRoutingConnection = (
    socket: net.Socket,
    handlers: RoutingConnectionHandlers,
): RoutingConnection => {
    const decoder = frames.createFrameDecoder(handlers.maxFrameBytes);
    let closeReason: string | undefined;
    socket.setNoDelay(true);
    socket.setTimeout(handlers.idleTimeoutMilliseconds ?? routingIdleTimeoutMilliseconds, () => socket.destroy());
    socket.on("error", error => {
        closeReason = (error as NodeJS.ErrnoException).code;
    });
    const { failures } = handlers;
    const peerAddress = (): string => `${socket.remoteAddress}:${socket.remotePort}`;
    socket.on("close", () => failures.run("peer connection", () => handlers.onClose(closeReason)));
    const fail = (reason: string): void => {
        handlers.log.write("peer-disconnected", { peer: peerAddress(), reason });
        closeReason = reason;
        socket.destroy();
    };
    socket.on("data", bytes => {
        const decoded = decoder.push(bytes as Buffer);
        if (decoded.err) {
            fail(decoded.val.message);
            return;
        }
        let receivedBytes = bytes.length;
        for (const value of decoded.val) {
            const message = messages.parseRoutingMessage(value);
            if (message.err) {
                fail(message.val);
                return;
            }
            try {
                handlers.onTransferred?.(message.val.kind, { sentBytes: 0, receivedBytes });
                receivedBytes = 0;
                handlers.onMessage(message.val);
            }
            catch (error) {
                failures.report("peer message", error, { peer: peerAddress(), kind: message.val.kind });
                fail("internal error");
                return;
            }
        }
    });
    /** Bytes of state that the socket has not sent yet. */
    let unsentStateBytes = 0;
    const write = (message: messages.RoutingMessage, isState: boolean): void => {
        if (!socket.writable) {
            return;
        }
        if (socket.writableLength - unsentStateBytes >= maxUnsentBytes) {
            fail("too many unsent bytes");
            return;
        }
        const frame = frames.encodeFrame(message);
        if (frame.length > frames.maxFrameBytes) {
            fail(`a ${message.kind} message of ${frame.length} bytes`);
            return;
        }
        const stateBytes = isState ? frame.length : 0;
        unsentStateBytes += stateBytes;
        socket.write(frame, () => {
            unsentStateBytes -= stateBytes;
        });
        handlers.onTransferred?.(message.kind, { sentBytes: frame.length, receivedBytes: 0 });
    };
    return {
        send: message => write(message, false),
        sendState: message => write(message, true),
        close: () => socket.destroySoon(),
    };
};
