/** Keep-alive connections to one upstream. The newest is reused first; one that gets unsolicited data is closed. */
import * as http from "node:http";
import type * as net from "node:net";

/** Keep-alive connections to one upstream. */
export interface UpstreamConnections {
    agent: http.Agent;
    /** Whether an idle connection is open. */
    hasIdle: () => boolean;
    /** Adapts the idle timeout to the keep-alive timeout that the upstream announced, in milliseconds. */
    onKeepAliveTimeout: (milliseconds: number) => void;
    close: () => void;
}

/** Idle timeout before the upstream has announced its own, in milliseconds. */
const defaultIdleMilliseconds = 4000;
/**
 * How much earlier than the upstream an idle connection is closed, in milliseconds: responses take time to arrive, and
 * they announce the timeout in whole seconds.
 */
const idleMarginMilliseconds = 1200;
const minIdleMilliseconds = 300;
/** Longest idle timeout, in milliseconds, whatever an upstream announces: sockets refuse timeouts without a bound. */
const maxIdleMilliseconds = 600_000;

/**
 * Creates the connections to an upstream; none is open yet.
 *
 * @param maxConnections - maximum number of connections
 * @param maxIdleConnections - maximum number of idle connections
 * @returns the connections
 */
export const createUpstreamConnections = (maxConnections: number, maxIdleConnections: number): UpstreamConnections => {
    const agent = new http.Agent({
        keepAlive: true,
        noDelay: true,
        maxSockets: maxConnections,
        maxFreeSockets: maxIdleConnections,
    });
    let idleMilliseconds = defaultIdleMilliseconds;
    const unsolicitedDataListeners = new WeakMap<net.Socket, () => void>();
    const keepSocketAlive = (socket: net.Socket): boolean => {
        const onUnsolicitedData = (): void => {
            socket.destroy();
        };
        unsolicitedDataListeners.set(socket, onUnsolicitedData);
        socket.on("data", onUnsolicitedData);
        socket.setKeepAlive(true, 1000);
        socket.setTimeout(idleMilliseconds);
        socket.unref();
        return true;
    };
    const reuseSocket = (socket: net.Socket, request: http.ClientRequest): void => {
        const onUnsolicitedData = unsolicitedDataListeners.get(socket);
        if (onUnsolicitedData !== undefined) {
            socket.off("data", onUnsolicitedData);
        }
        socket.setTimeout(0);
        // Removes the agent's own listener, which it adds each time a connection becomes idle.
        agentReuseSocket(socket, request);
    };
    const { reuseSocket: originalReuseSocket } = agent as unknown as {
        reuseSocket: (...parameters: unknown[]) => void;
    };
    const agentReuseSocket = originalReuseSocket.bind(agent);
    // The agent's hooks for idle connections, which are typed to accept any stream.
    Object.assign(agent, { keepSocketAlive, reuseSocket });
    return {
        agent,
        hasIdle: () => Object.keys(agent.freeSockets).length > 0,
        onKeepAliveTimeout: milliseconds => {
            const announced = milliseconds - idleMarginMilliseconds;
            idleMilliseconds = Math.min(maxIdleMilliseconds, Math.max(minIdleMilliseconds, announced));
        },
        close: () => agent.destroy(),
    };
};
