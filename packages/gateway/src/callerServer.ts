/** HTTP server for callers: limits on request heads, bodies and connections, and draining before a planned stop. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/** Configures the server for callers. */
export interface CallerServerOptions {
    host: string;
    port: number;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;
    /** Whether the instance can serve requests; reported to the platform's load balancer. */
    isReady: () => boolean;
}

/** HTTP server that accepts requests from callers. */
export interface CallerServer {
    /** Reports the instance as not ready to the balancer, then stops accepting connections and waits for all requests. */
    drain: () => Promise<void>;
    /** Number of requests in progress. */
    openRequests: () => number;
}

/** Path of the health check of the platform's load balancer. */
const healthPath = "/-/health";
const maxHeadBytes = 16_384;
const maxHeaderCount = 100;
const headTimeoutMilliseconds = 10_000;
const bodyIdleTimeoutMilliseconds = 30_000;
const keepAliveTimeoutMilliseconds = 65_000;
const maxConnections = 10_000;
const drainNoticeMilliseconds = 1000;
const drainCheckIntervalMilliseconds = 50;

const clientErrorStatus = (code: string | undefined): string => {
    if (code === "HPE_HEADER_OVERFLOW") {
        return "431 Request Header Fields Too Large";
    }
    return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "408 Request Timeout" : "400 Bad Request";
};

/**
 * Starts the server for callers.
 *
 * @param options - address, request handler and dependencies
 * @param owner - disposal scope; its disposal closes all connections at once, so a planned stop drains the server first
 * @returns the listening server
 */
export const createCallerServer = async (
    options: CallerServerOptions,
    owner: foundation.Owner,
): Promise<CallerServer> => {
    const { timers, logger } = options;
    /** Connections that are receiving a request body. */
    const receivingSockets = new WeakSet<net.Socket>();
    let isDraining = false;
    let openRequests = 0;

    const sendHealth = (response: http.ServerResponse): void => {
        const isReady = options.isReady() && !isDraining;
        foundation.sendWhole(
            response,
            isReady ? 200 : 503,
            { "content-type": "text/plain" },
            isReady ? "ready\n" : "not ready\n",
        );
    };

    const limitBodyIdleTime = (request: http.IncomingMessage): void => {
        const socket = request.socket;
        const clearIdleTimeout = (): void => {
            receivingSockets.delete(socket);
            socket.setTimeout(0);
        };
        receivingSockets.add(socket);
        socket.setTimeout(bodyIdleTimeoutMilliseconds);
        request.once("close", clearIdleTimeout);
        request.once("end", clearIdleTimeout);
    };

    const onRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        if (request.url === healthPath) {
            sendHealth(response);
            return;
        }
        openRequests += 1;
        response.once("close", () => openRequests -= 1);
        limitBodyIdleTime(request);
        if (isDraining) {
            response.setHeader("connection", "close");
        }
        void options.handle(request, response);
    };

    const server = http.createServer({
        maxHeaderSize: maxHeadBytes,
        headersTimeout: headTimeoutMilliseconds,
        // A slow upload may exceed any limit on the duration of a whole request.
        requestTimeout: 0,
        keepAliveTimeout: keepAliveTimeoutMilliseconds,
        connectionsCheckingInterval: 1000,
        requireHostHeader: true,
    }, onRequest);
    server.on("timeout", socket => {
        if (receivingSockets.has(socket)) {
            logger.information("Closed a connection whose request body was idle for too long.", {
                from: socket.remoteAddress,
            });
        }
        socket.destroy();
    });
    server.maxHeadersCount = maxHeaderCount;
    server.maxConnections = maxConnections;
    server.on("clientError", (error: NodeJS.ErrnoException, socket: net.Socket) => {
        logger.information("Rejected a malformed request.", { code: error.code, from: socket.remoteAddress });
        if (socket.writable) {
            socket.end(`HTTP/1.1 ${clientErrorStatus(error.code)}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
        }
    });
    await foundation.listenOn(server, options.host, options.port);

    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });

    return {
        openRequests: () => openRequests,
        drain: async () => {
            isDraining = true;
            await foundation.pause(timers, drainNoticeMilliseconds);
            server.close();
            while (openRequests > 0) {
                server.closeIdleConnections();
                await foundation.pause(timers, drainCheckIntervalMilliseconds);
            }
        },
    };
};
