/** HTTP server for requests that other instances of the failure domain delegate to this one. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/** Configures the server for delegated requests. */
export interface DelegateServerOptions {
    host: string;
    /** TCP port; 0 selects a free one. */
    port: number;
    failures: foundation.FailureBoundary;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => void;
}

/** Limit of the request headers, in bytes: those of a caller and the route. */
const maxHeaderBytes = 80 * 1024;
const keepAliveMilliseconds = 30_000;

/**
 * Starts a server for delegated requests, which runs until its owner is disposed.
 *
 * @param options - address and request handler
 * @param owner - closes the server and every connection when disposed
 * @returns the TCP port, once the server listens on it
 */
export const startDelegateServer = async (options: DelegateServerOptions, owner: foundation.Owner): Promise<number> => {
    const server = http.createServer({
        maxHeaderSize: maxHeaderBytes,
        noDelay: true,
        requestTimeout: 0,
        keepAliveTimeout: keepAliveMilliseconds,
    }, options.handle);
    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });
    await foundation.listenOn(
        server,
        options.host,
        options.port,
        error => options.failures.report("delegate server", error),
    );
    return (server.address() as net.AddressInfo).port;
};
