/** Small help for the HTTP side of stand-ins. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/**
 * Answers with JSON.
 *
 * @param response - where to answer
 * @param status - the status code
 * @param value - plain data
 */
export const answerJson = (response: http.ServerResponse, status: number, value: unknown): void => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
};

/**
 * Listens on loopback until the owner is disposed of.
 *
 * @param port - the port, 0 for any
 * @param handler - answers requests
 * @param owner - closes the listener and its connections
 * @returns the server, listening
 */
export const listen = async (
    port: number,
    handler: http.RequestListener,
    owner: foundation.Owner,
): Promise<http.Server> => {
    const server = http.createServer({ keepAliveTimeout: 60_000 }, handler);
    await foundation.listenOn(server, "127.0.0.1", port);
    owner.onCleanup(() =>
        new Promise<void>(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        })
    );
    return server;
};

/**
 * Gives the port of a listening server.
 *
 * @param server - the server
 * @returns the port number
 */
export const portOf = (server: net.Server): number => (server.address() as net.AddressInfo).port;
