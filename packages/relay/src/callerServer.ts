/** Listens for callers. */
import * as foundation from "@mulberryseam/foundation";
import type * as routing from "@mulberryseam/routing";
import * as http from "node:http";

/** How callers are listened for. */
export interface CallerServerOptions {
    host: string;
    port: number;
    log: foundation.EventLog;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => void;
}

/** A listener for callers. */
export interface CallerServer {
    setLimits: (limits: routing.CallerLimits) => void;
    /** Takes no new connections. */
    stopListening: () => void;
    /** Closes connections on which no request is under way. */
    closeIdle: () => void;
}

/** Longest head that is read before any document is known, in bytes; Node fixes it when the server is made. */
const highestHeaderBytes = 64 * 1024;
/** Times before any document is known, in milliseconds. */
const usualHeaderMilliseconds = 3000;
const usualIdleMilliseconds = 15_000;

const headBytes = (request: http.IncomingMessage): number =>
    request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? "").length);

/**
 * Listens until its owner is disposed of.
 *
 * @param options - how to listen
 * @param owner - closes the listener and every connection
 * @returns once listening
 */
export const startCallerServer = async (
    options: CallerServerOptions,
    owner: foundation.Owner,
): Promise<CallerServer> => {
    let headerBytes = highestHeaderBytes;
    const server = http.createServer({
        maxHeaderSize: highestHeaderBytes,
        noDelay: true,
        requestTimeout: 0,
        headersTimeout: usualHeaderMilliseconds,
        keepAliveTimeout: usualIdleMilliseconds,
        connectionsCheckingInterval: 500,
    }, (request, response) => {
        if (headBytes(request) > headerBytes) {
            response.writeHead(431, { "content-length": 0, "connection": "close" });
            response.end();
            return;
        }
        options.handle(request, response);
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
    await foundation.listenOn(server, options.host, options.port);
    return {
        setLimits: limits => {
            headerBytes = limits.maxHeaderBytes;
            server.headersTimeout = limits.headerTimeoutMilliseconds;
            server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
        },
        stopListening: () => server.close(),
        closeIdle: () => server.closeIdleConnections(),
    };
};
