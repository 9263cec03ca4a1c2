/** Keep-alive connections to one upstream. The newest is reused first; one that gets unsolicited data is closed. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/** Keep-alive connections to one upstream. */
export interface UpstreamConnections {
    agent: http.Agent;
    /** Returns the agent for a request: it opens a connection if a response on an idle one could be that of an earlier request. */
    agentFor: (requestIdentifier: string | undefined) => http.Agent;
    /**
     * Records the refusal of a request. Returns false, and closes the connection, if a request with the same identifier was refused on
     * it before: that refusal may have arrived once more.
     */
    onRefusal: (socket: net.Socket | undefined, requestIdentifier: string | undefined) => boolean;
    /** Whether an idle connection is open. */
    hasIdle: () => boolean;
    /** Adapts the idle timeout to the keep-alive timeout that the upstream announced, in milliseconds. */
    onKeepAliveTimeout: (milliseconds: number) => void;
    /** Closes the idle connections at once, and each other one after its response. */
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
/** Refused requests after which a connection is closed, as it remembers their identifiers. */
const maxRefusalsPerConnection = 256;

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
    const singleUseAgent = new http.Agent({ keepAlive: false, noDelay: true });
    let idleMilliseconds = defaultIdleMilliseconds;
    let isClosed = false;
    const refusedIdentifiers = new WeakMap<net.Socket, Set<string>>();
    const hasRefused = (socket: net.Socket, requestIdentifier: string): boolean =>
        refusedIdentifiers.get(socket)?.has(requestIdentifier) === true;
    /** Number of open connections on which each identifier was refused. */
    const refusingConnections = new Map<string, number>();
    const forgetRefusals = (identifiers: ReadonlySet<string>): void => {
        for (const identifier of identifiers) {
            const count = (refusingConnections.get(identifier) ?? 0) - 1;
            if (count > 0) {
                refusingConnections.set(identifier, count);
            }
            else {
                refusingConnections.delete(identifier);
            }
        }
    };
    const rememberRefusal = (socket: net.Socket, requestIdentifier: string): void => {
        const known = refusedIdentifiers.get(socket);
        const identifiers = known ?? new Set<string>();
        if (known === undefined) {
            refusedIdentifiers.set(socket, identifiers);
            socket.once("close", () => forgetRefusals(identifiers));
        }
        identifiers.add(requestIdentifier);
        refusingConnections.set(requestIdentifier, (refusingConnections.get(requestIdentifier) ?? 0) + 1);
    };
    const keepSocketAlive = (socket: net.Socket): boolean => {
        socket.setKeepAlive(true, 1000);
        socket.setTimeout(idleMilliseconds);
        socket.unref();
        return !isClosed && (refusedIdentifiers.get(socket)?.size ?? 0) < maxRefusalsPerConnection;
    };
    const { reuseSocket: originalReuseSocket } = agent as unknown as {
        reuseSocket: (...parameters: unknown[]) => void;
    };
    const agentReuseSocket = originalReuseSocket.bind(agent);
    const reuseSocket = (socket: net.Socket, request: http.ClientRequest): void => {
        socket.setTimeout(0);
        // Removes the agent's own listener, which it adds each time a connection becomes idle.
        agentReuseSocket(socket, request);
    };
    // The agent's hooks for idle connections, which are typed to accept any stream.
    Object.assign(agent, { keepSocketAlive, reuseSocket });
    foundation.closeOnUnsolicitedData(agent);
    return {
        agent,
        agentFor: requestIdentifier => {
            // Includes the busy connections: one may become idle before the request is sent.
            const isAmbiguous = requestIdentifier === undefined || refusingConnections.has(requestIdentifier);
            return isAmbiguous ? singleUseAgent : agent;
        },
        onRefusal: (socket, requestIdentifier) => {
            if (socket === undefined || requestIdentifier === undefined) {
                return true;
            }
            if (hasRefused(socket, requestIdentifier)) {
                socket.destroy();
                return false;
            }
            if (!socket.destroyed) {
                rememberRefusal(socket, requestIdentifier);
            }
            return true;
        },
        hasIdle: () => Object.keys(agent.freeSockets).length > 0,
        onKeepAliveTimeout: milliseconds => {
            const announced = milliseconds - idleMarginMilliseconds;
            idleMilliseconds = Math.min(maxIdleMilliseconds, Math.max(minIdleMilliseconds, announced));
        },
        close: () => {
            isClosed = true;
            Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy());
        },
    };
};
