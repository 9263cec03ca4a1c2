/** What a connection tells about an HTTP response beyond the parser, which takes any end of the connection for a regular one. */
import type * as http from "node:http";
import type * as net from "node:net";

/**
 * Destroys a response without a length if its connection is reset: a reset that arrives together with data ends the connection like a
 * regular end. Only a connection that was not reset still has a peer address; Node.js keeps an address that was read earlier.
 *
 * @param response - a response whose end only the end of its connection marks, before the end
 */
export const destroyIfReset = (response: http.IncomingMessage): void => {
    const { socket } = response;
    // The parser, which listens for the same event, would complete the response.
    socket.prependOnceListener("end", () => {
        if (socket.remoteAddress === undefined) {
            response.destroy(new Error("the connection was reset"));
        }
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
