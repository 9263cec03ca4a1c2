/** Serves the HTTP interface for operators: the status of the instance, and the owner and lease of a key. */
import * as foundation from "@mulberryseam/foundation";
import type * as ownership from "@mulberryseam/ownership";
import * as http from "node:http";

/** Response to `GET /status`. */
export interface OperatorStatus extends ownership.CoordinatorStatus {
    instance: string;
    region: string;
    /** Time since the last page was read from the log; undefined before the first page. */
    logAgeMilliseconds: number | undefined;
    requestsInFlight: number;
    crossRegionBytes: number;
    residentBytes: number;
}

/** Owner of a key in one service; an entry of the response to `GET /explain`. */
export interface KeyExplanation {
    instance: string;
    service: string;
    key: string;
    slot: number;
    owner: string | undefined;
    address: string | undefined;
    token: number | undefined;
    /** `granted`, `waiting` until the lease of the previous owner has ended, or `unowned`. */
    lease: "granted" | "waiting" | "unowned";
}

/** Configures the operator interface. */
export interface OperatorApiOptions {
    host: string;
    port: number;
    logger: foundation.Logger;
    status: () => OperatorStatus;
    /** Explains a key in the named keyed service, or in every keyed service if undefined. */
    explain: (key: string, service: string | undefined) => KeyExplanation[];
}

const sendJson = (response: http.ServerResponse, statusCode: number, value: unknown): void => {
    foundation.sendWhole(
        response,
        statusCode,
        { "content-type": "application/json" },
        `${JSON.stringify(value)}\n`,
    );
};

/**
 * Starts the HTTP server of the operator interface: `GET /status` and `GET /explain?key=K&service=S`.
 *
 * @param options - the address to listen on and the functions that provide the responses
 * @param owner - closes the server and its connections when disposed of
 * @returns once the server is listening
 */
export const createOperatorApi = async (options: OperatorApiOptions, owner: foundation.Owner): Promise<void> => {
    const server = http.createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://operators");
        if (request.method !== "GET") {
            sendJson(response, 405, { error: "only GET is allowed" });
        }
        else if (url.pathname === "/status") {
            sendJson(response, 200, options.status());
        }
        else if (url.pathname === "/explain" && url.searchParams.get("key")) {
            const key = url.searchParams.get("key") ?? "";
            sendJson(response, 200, options.explain(key, url.searchParams.get("service") ?? undefined));
        }
        else {
            sendJson(response, 404, { error: "expected /status or /explain?key=KEY" });
        }
    });
    await foundation.listenOn(server, options.host, options.port);
    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });
};
