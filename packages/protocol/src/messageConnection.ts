/** A connection between two instances, on either side: decodes frames, validates messages and exchanges hellos. */
import type * as net from "node:net";
import * as framing from "./frames";
import * as messages from "./messages";

/** Event handlers of a connection. */
export interface ConnectionHandlers {
    /** The peer has identified itself, with the same protocol version and environment. */
    onHello: (hello: messages.Hello) => void;
    onMessage: (message: messages.Message) => void;
    /** This side or the peer refused the connection; it is closed after this call. */
    onRefusal: (reason: string) => void;
}

/** A connection that messages are sent on; they are dropped while too many bytes are unsent. */
export interface MessageConnection {
    send: (message: messages.Message) => void;
}

const maxUnsentBytes = 32 * 1024 * 1024;

const validateHello = (hello: messages.Message, environment: string): string | undefined => {
    if (hello.kind !== messages.MessageKind.hello) {
        return "expected a hello first";
    }
    if (hello.version !== messages.protocolVersion) {
        return `protocol version ${hello.version}, expected ${messages.protocolVersion}`;
    }
    if (hello.environment !== environment) {
        return `environment ${hello.environment}, expected ${environment}`;
    }
    return undefined;
};

/**
 * Runs the protocol on a socket and sends the hello.
 *
 * @param socket - the socket, connected or connecting
 * @param hello - the first message to send
 * @param handlers - event handlers of the connection
 * @returns the connection
 */
export const createMessageConnection = (
    socket: net.Socket,
    hello: messages.Hello,
    handlers: ConnectionHandlers,
): MessageConnection => {
    const decoder = framing.createFrameDecoder();
    let hasReceivedHello = false;

    const send = (message: messages.Message): void => {
        if (socket.writable && socket.writableLength < maxUnsentBytes) {
            socket.write(framing.encodeFrame(message));
        }
    };

    const refuse = (reason: string): void => {
        handlers.onRefusal(reason);
        send({ kind: messages.MessageKind.refused, reason });
        socket.destroySoon();
        socket.removeAllListeners("data");
    };

    const handleFrame = (value: unknown): boolean => {
        const parsed = messages.parseMessage(value);
        if (parsed.err) {
            refuse(parsed.val);
            return false;
        }
        const message = parsed.val;
        if (hasReceivedHello) {
            handlers.onMessage(message);
            return true;
        }
        if (message.kind === messages.MessageKind.refused) {
            handlers.onRefusal(message.reason);
            return false;
        }
        const reason = validateHello(message, hello.environment);
        if (reason !== undefined) {
            refuse(reason);
            return false;
        }
        hasReceivedHello = true;
        handlers.onHello(message as messages.Hello);
        return true;
    };

    socket.setNoDelay(true);
    socket.on("data", bytes => {
        const frames = decoder.push(bytes as Buffer);
        if (frames.err) {
            refuse(frames.val.message);
            return;
        }
        frames.val.every(handleFrame);
    });
    send(hello);
    return { send };
};
