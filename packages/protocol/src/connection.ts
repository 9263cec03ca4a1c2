/** One connection between instances, from either side: frames in, messages out. */
import type * as net from "node:net";
import * as framing from "./frames";
import * as messages from "./messages";

/** What happens on a connection. */
export interface ConnectionHandlers {
    /** The peer has said who it is and speaks our version. */
    onHello: (hello: messages.Hello) => void;
    onMessage: (message: messages.Message) => void;
    /** The peer broke the protocol; the connection is closed after this call. */
    onRefusal: (reason: string) => void;
}

/** Sends messages on a connection. */
export interface MessageConnection {
    send: (message: messages.Message) => void;
}

const highestUnsentBytes = 32 * 1024 * 1024;

const refusalOf = (hello: messages.Message, environment: string): string | undefined => {
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
 * Speaks the protocol on a socket.
 *
 * @param socket - a connected socket
 * @param hello - what to say first
 * @param handlers - what happens on the connection
 * @returns the connection
 */
export const createMessageConnection = (
    socket: net.Socket,
    hello: messages.Hello,
    handlers: ConnectionHandlers,
): MessageConnection => {
    const decoder = framing.createFrameDecoder();
    let isGreeted = false;

    const send = (message: messages.Message): void => {
        if (socket.writable && socket.writableLength < highestUnsentBytes) {
            socket.write(framing.encodeFrame(message));
        }
    };

    const refuse = (reason: string): void => {
        handlers.onRefusal(reason);
        send({ kind: messages.MessageKind.refused, reason });
        socket.destroySoon();
        socket.removeAllListeners("data");
    };

    const take = (value: unknown): boolean => {
        const parsed = messages.parseMessage(value);
        if (parsed.err) {
            refuse(parsed.val);
            return false;
        }
        const message = parsed.val;
        if (isGreeted) {
            handlers.onMessage(message);
            return true;
        }
        if (message.kind === messages.MessageKind.refused) {
            handlers.onRefusal(message.reason);
            return false;
        }
        const reason = refusalOf(message, hello.environment);
        if (reason !== undefined) {
            refuse(reason);
            return false;
        }
        isGreeted = true;
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
        frames.val.every(take);
    });
    send(hello);
    return { send };
};
