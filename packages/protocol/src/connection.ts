/** One connection between instances, from either side: frames in, messages out. */
import type * as net from "node:net";
import { createFrameDecoder, encodeFrame } from "./frames";
import { type Hello, type Message, MessageKind, parseMessage, protocolVersion } from "./messages";

/** What happens on a connection. */
export interface ConnectionHandlers {
    /** The peer has said who it is and speaks our version. */
    onHello: (hello: Hello) => void;
    onMessage: (message: Message) => void;
    /** The peer broke the protocol; the connection is closed after this call. */
    onRefusal: (reason: string) => void;
}

/** Sends messages on a connection. */
export interface MessageConnection {
    send: (message: Message) => void;
}

const highestUnsentBytes = 32 * 1024 * 1024;

const refusalOf = (hello: Message, environment: string): string | undefined => {
    if (hello.kind !== MessageKind.hello) {
        return "expected a hello first";
    }
    if (hello.version !== protocolVersion) {
        return `protocol version ${hello.version}, expected ${protocolVersion}`;
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
    hello: Hello,
    handlers: ConnectionHandlers,
): MessageConnection => {
    const decoder = createFrameDecoder();
    let isGreeted = false;

    const send = (message: Message): void => {
        if (socket.writable && socket.writableLength < highestUnsentBytes) {
            socket.write(encodeFrame(message));
        }
    };

    const refuse = (reason: string): void => {
        handlers.onRefusal(reason);
        send({ kind: MessageKind.refused, reason });
        socket.destroySoon();
        socket.removeAllListeners("data");
    };

    const take = (value: unknown): boolean => {
        const parsed = parseMessage(value);
        if (parsed.err) {
            refuse(parsed.val);
            return false;
        }
        const message = parsed.val;
        if (isGreeted) {
            handlers.onMessage(message);
            return true;
        }
        if (message.kind === MessageKind.refused) {
            handlers.onRefusal(message.reason);
            return false;
        }
        const reason = refusalOf(message, hello.environment);
        if (reason !== undefined) {
            refuse(reason);
            return false;
        }
        isGreeted = true;
        handlers.onHello(message as Hello);
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
