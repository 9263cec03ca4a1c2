/** HTTP helpers of the stand-ins. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/**
 * Sends a JSON response.
 *
 * @param response - the response to write
 * @param status - the status code
 * @param value - a JSON-serializable value
 */
export const sendJson = (response: http.ServerResponse, status: number, value: unknown): void => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
};

/**
 * Starts an HTTP server on loopback.
 *
 * @param port - the port; 0 for any free port
 * @param handler - handles requests
 * @param owner - closes the server and its connections when disposed of
 * @returns the server once it is listening
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
 * Returns the port of a listening server.
 *
 * @param server - a server that is listening on TCP
 * @returns the port number
 */
export const portOf = (server: net.Server): number => (server.address() as net.AddressInfo).port;
