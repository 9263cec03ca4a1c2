/** HTTP server for callers. */
import * as foundation from "@mulberryseam/foundation";
import type * as routing from "@mulberryseam/routing";
import * as http from "node:http";
import type * as net from "node:net";

/** Configures the server for callers. */
export interface CallerServerOptions {
    host: string;
    /** TCP port; 0 selects a free one. */
    port: number;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => void;
}

/** HTTP server for callers. */
export interface CallerServer {
    /** TCP port that the server listens on. */
    port: number;
    setLimits: (limits: routing.CallerLimits) => void;
    connectionCount: () => number;
    /** Stops accepting connections. */
    stopListening: () => void;
    /** Closes connections without a request in progress. */
    closeIdleConnections: () => void;
}

/** Limit of the request headers, in bytes; documents can only lower it, as Node fixes it when the server is created. */
const maxHeaderBytes = 64 * 1024;
/** Timeouts until a document is known, in milliseconds. */
const defaultHeaderTimeoutMilliseconds = 3000;
const defaultIdleTimeoutMilliseconds = 15_000;

const headerBytesOf = (request: http.IncomingMessage): number =>
    request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? "").length);

/**
 * Starts a server for callers, which runs until its owner is disposed.
 *
 * @param options - address, log and request handler
 * @param owner - closes the server and every connection when disposed
 * @returns the server, once it listens
 */
export const startCallerServer = async (
    options: CallerServerOptions,
    owner: foundation.Owner,
): Promise<CallerServer> => {
    let headerLimitBytes = maxHeaderBytes;
    const server = http.createServer({
        maxHeaderSize: maxHeaderBytes,
        noDelay: true,
        requestTimeout: 0,
        headersTimeout: defaultHeaderTimeoutMilliseconds,
        keepAliveTimeout: defaultIdleTimeoutMilliseconds,
        connectionsCheckingInterval: 500,
    }, (request, response) => {
        if (headerBytesOf(request) > headerLimitBytes) {
            response.writeHead(431, { "content-length": 0, "connection": "close" });
            response.end();
            return;
        }
        options.handle(request, response);
    });
    let connectionCount = 0;
    server.on("connection", socket => {
        connectionCount += 1;
        socket.once("close", () => {
            connectionCount -= 1;
        });
    });
    server.on("clientError", (error, socket) => {
        const { code } = error as NodeJS.ErrnoException;
        if (code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        options.log.write("caller-malformed", { reason: code ?? error.message });
        const status = code === "HPE_HEADER_OVERFLOW" ? "431 Request Header Fields Too Large" : "400 Bad Request";
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    });
    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });
    await foundation.listenOn(
        server,
        options.host,
        options.port,
        error => options.failures.report("caller server", error),
    );
    return {
        port: (server.address() as net.AddressInfo).port,
        setLimits: limits => {
            headerLimitBytes = limits.maxHeaderBytes;
            server.headersTimeout = limits.headerTimeoutMilliseconds;
            server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
        },
        connectionCount: () => connectionCount,
        stopListening: () => server.close(),
        closeIdleConnections: () => server.closeIdleConnections(),
    };
};
