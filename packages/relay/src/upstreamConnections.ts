/** Connections to one upstream. They are kept, the newest is used first, and one with unasked bytes is closed. */
import * as http from "node:http";
import type * as net from "node:net";

/** Connections to one upstream. */
export interface UpstreamConnections {
    agent: http.Agent;
    /** Whether a connection is open that no request uses. */
    hasIdle: () => boolean;
    /** Takes the idle time that the upstream announced, in milliseconds. */
    onIdleHint: (milliseconds: number) => void;
    close: () => void;
}

/** Idle time before the upstream has told its own, in milliseconds. */
const usualIdleMilliseconds = 4000;
/** How much earlier than the upstream a connection is closed, in milliseconds: an answer's way, and whole seconds. */
const idleMarginMilliseconds = 1200;
const shortestIdleMilliseconds = 300;

/**
 * Creates the connections; none is open yet.
 *
 * @param limit - the most connections
 * @param idleLimit - the most that are kept without a request
 * @returns the connections
 */
export const createUpstreamConnections = (limit: number, idleLimit: number): UpstreamConnections => {
    const agent = new http.Agent({ keepAlive: true, noDelay: true, maxSockets: limit, maxFreeSockets: idleLimit });
    let idleMilliseconds = usualIdleMilliseconds;
    const surplusListeners = new WeakMap<net.Socket, () => void>();
    const keepSocketAlive = (socket: net.Socket): boolean => {
        const onSurplus = (): void => {
            socket.destroy();
        };
        surplusListeners.set(socket, onSurplus);
        socket.on("data", onSurplus);
        socket.setKeepAlive(true, 1000);
        socket.setTimeout(idleMilliseconds);
        socket.unref();
        return true;
    };
    const reuseSocket = (socket: net.Socket, request: http.ClientRequest): void => {
        const onSurplus = surplusListeners.get(socket);
        if (onSurplus !== undefined) {
            socket.off("data", onSurplus);
        }
        socket.setTimeout(0);
        // Takes the agent's own listener off, which it adds each time that a connection is kept.
        reuseAsUsual(socket, request);
    };
    const { reuseSocket: reuse } = agent as unknown as { reuseSocket: (...parameters: unknown[]) => void; };
    const reuseAsUsual = reuse.bind(agent);
    // The agent's hooks for kept connections, typed as taking any stream.
    Object.assign(agent, { keepSocketAlive, reuseSocket });
    return {
        agent,
        hasIdle: () => Object.keys(agent.freeSockets).length > 0,
        onIdleHint: milliseconds => {
            idleMilliseconds = Math.max(shortestIdleMilliseconds, milliseconds - idleMarginMilliseconds);
        },
        close: () => agent.destroy(),
    };
};
