/** What a connection tells about an HTTP response beyond the parser, which takes any end of the connection for a regular one. */
import type * as http from "node:http";
import type * as net from "node:net";

/** How the connection of a response without a length has ended, with what that was judged by. */
export interface ConnectionEnd {
    /** Whether the sender has ended the connection regularly, so that the response is complete. */
    isRegular: boolean;
    /** Whether the connection still had a peer address at its end; undefined if it ended with an error. */
    hasPeer: boolean | undefined;
    /** Whether the connection still took a write at its end; undefined if that cannot be known, or if it ended with an error. */
    isWritable: boolean | undefined;
    /** The error that ended the connection, if any. */
    error: string | undefined;
}

const errorOf = (stream: net.Socket | http.IncomingMessage): NodeJS.ErrnoException | undefined =>
    stream.errored ?? undefined;

/**
 * Whether a connection takes a write of no bytes, which the system refuses once the connection was reset. Undefined while an earlier
 * write is in progress, as the refusal would come later.
 */
const takesWrite = (socket: net.Socket): boolean | undefined => {
    if (errorOf(socket) !== undefined || !socket.writable) {
        return false;
    }
    if (socket.writableLength > 0) {
        return undefined;
    }
    socket.write("");
    return errorOf(socket) === undefined;
};

/**
 * Judges how a connection has ended: Node.js reports a reset that arrives together with data as a regular end. A connection that was reset
 * has no peer address and refuses writes; either is enough, as Node.js keeps an address that was read earlier, and a write may still be in
 * progress.
 *
 * @param socket - a connection that emits its end
 * @returns how it has ended
 */
export const judgeEnd = (socket: net.Socket): ConnectionEnd => {
    const hasPeer = socket.remoteAddress !== undefined;
    const isWritable = takesWrite(socket);
    return {
        isRegular: hasPeer && isWritable !== false,
        hasPeer,
        isWritable,
        error: errorOf(socket)?.code,
    };
};

/**
 * Destroys a response without a length if its connection does not end regularly, as {@link judgeEnd} says. While the request is still being
 * sent, no end is regular: the sender may have closed the connection with unread bytes, and the reset follows the end.
 *
 * @param response - a response whose end only the end of its connection marks, before the end
 * @param onEnd - called once with how the connection has ended
 * @param isRequestSent - whether the whole request has been sent
 */
export const requireRegularEnd = (
    response: http.IncomingMessage,
    onEnd: (end: ConnectionEnd) => void = () => undefined,
    isRequestSent: () => boolean = () => true,
): void => {
    const { socket } = response;
    let isJudged = false;
    const report = (end: ConnectionEnd): void => {
        if (!isJudged) {
            isJudged = true;
            onEnd(end);
        }
    };
    // The parser, which listens for the same event, would complete the response.
    socket.prependOnceListener("end", () => {
        const judged = judgeEnd(socket);
        const end = { ...judged, isRegular: judged.isRegular && judged.isWritable !== undefined && isRequestSent() };
        if (!end.isRegular) {
            response.destroy(new Error("the connection was reset"));
        }
        report(end);
    });
    response.once("close", () => {
        const error = errorOf(socket) ?? errorOf(response);
        report({ isRegular: false, hasPeer: undefined, isWritable: undefined, error: error?.code ?? error?.message });
    });
};

/** The hooks of an agent for idle connections, which are typed to accept any stream. */
interface IdleHooks {
    keepSocketAlive: (socket: net.Socket) => boolean;
    reuseSocket: (socket: net.Socket, request: http.ClientRequest) => void;
}

/**
 * Makes an agent close an idle connection that gets data, which would be taken for the response to the next request.
 *
 * @param agent - an agent that keeps connections
 */
export const closeOnUnsolicitedData = (agent: http.Agent): void => {
    const hooks = agent as unknown as IdleHooks;
    const keepSocketAlive = hooks.keepSocketAlive.bind(agent);
    const reuseSocket = hooks.reuseSocket.bind(agent);
    const listeners = new WeakMap<net.Socket, () => void>();
    const closingHooks: IdleHooks = {
        keepSocketAlive: socket => {
            const onUnsolicitedData = (): void => {
                socket.destroy();
            };
            listeners.set(socket, onUnsolicitedData);
            socket.on("data", onUnsolicitedData);
            return keepSocketAlive(socket);
        },
        reuseSocket: (socket, request) => {
            const onUnsolicitedData = listeners.get(socket);
            if (onUnsolicitedData !== undefined) {
                socket.off("data", onUnsolicitedData);
            }
            reuseSocket(socket, request);
        },
    };
    Object.assign(agent, closingHooks);
};
