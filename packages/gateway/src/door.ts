/** Where callers connect: limits on heads, bodies and connections, and the planned stop. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/** How the door listens. */
export interface DoorOptions {
    host: string;
    port: number;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;
    /** Whether the instance can serve; shown to the platform's balancer. */
    isReady: () => boolean;
}

/** Where callers connect. */
export interface Door {
    /** Tells the balancer that the instance leaves, then takes no more connections and lets all requests finish. */
    drain: () => Promise<void>;
    openRequests: () => number;
}

/** Path on which the platform's balancer asks for health. */
const healthPath = "/-/health";
const highestHeadBytes = 16_384;
const highestHeaders = 100;
const headTimeoutMilliseconds = 10_000;
const idleBodyMilliseconds = 30_000;
const keepAliveMilliseconds = 65_000;
const highestConnections = 10_000;
const drainNoticeMilliseconds = 1000;
const drainCheckMilliseconds = 50;

const clientErrorStatus = (code: string | undefined): string => {
    if (code === "HPE_HEADER_OVERFLOW") {
        return "431 Request Header Fields Too Large";
    }
    return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "408 Request Timeout" : "400 Bad Request";
};

/**
 * Opens the door.
 *
 * @param options - how it listens
 * @param owner - closes it at once, requests or not; a planned stop drains it first
 * @returns the door, listening
 */
export const createDoor = async (options: DoorOptions, owner: foundation.Owner): Promise<Door> => {
    const { timers, logger } = options;
    /** Connections on which a body is under way. */
    const guarded = new WeakSet<net.Socket>();
    let isDraining = false;
    let openRequests = 0;

    const answerHealth = (response: http.ServerResponse): void => {
        const isReady = options.isReady() && !isDraining;
        response.writeHead(isReady ? 200 : 503, { "content-type": "text/plain" });
        response.end(isReady ? "ready\n" : "not ready\n");
    };

    const guardBody = (request: http.IncomingMessage): void => {
        const socket = request.socket;
        const endGuard = (): void => {
            guarded.delete(socket);
            socket.setTimeout(0);
        };
        guarded.add(socket);
        socket.setTimeout(idleBodyMilliseconds);
        request.once("close", endGuard);
        request.once("end", endGuard);
    };

    const onRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        if (request.url === healthPath) {
            answerHealth(response);
            return;
        }
        openRequests += 1;
        response.once("close", () => openRequests -= 1);
        guardBody(request);
        if (isDraining) {
            response.setHeader("connection", "close");
        }
        void options.handle(request, response);
    };

    const server = http.createServer({
        maxHeaderSize: highestHeadBytes,
        headersTimeout: headTimeoutMilliseconds,
        // A slow upload may last longer than any bound on a whole request.
        requestTimeout: 0,
        keepAliveTimeout: keepAliveMilliseconds,
        connectionsCheckingInterval: 1000,
        requireHostHeader: true,
    }, onRequest);
    server.on("timeout", socket => {
        if (guarded.has(socket)) {
            logger.information("A caller sent nothing for too long.", { from: socket.remoteAddress });
        }
        socket.destroy();
    });
    server.maxHeadersCount = highestHeaders;
    server.maxConnections = highestConnections;
    server.on("clientError", (error: NodeJS.ErrnoException, socket: net.Socket) => {
        logger.information("A malformed request was refused.", { code: error.code, from: socket.remoteAddress });
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
                await foundation.pause(timers, drainCheckMilliseconds);
            }
        },
    };
};
