/** What operators may ask of one instance: its status, and who owns a key and why. */
import * as foundation from "@mulberryseam/foundation";
import type * as ownership from "@mulberryseam/ownership";
import * as http from "node:http";

/** Status of an instance. */
export interface OperatorStatus extends ownership.CoordinatorStatus {
    instance: string;
    region: string;
    /** Age of the last page read from the log, in milliseconds. */
    logAgeMilliseconds: number | undefined;
    requestsInFlight: number;
    crossRegionBytes: number;
    residentBytes: number;
}

/** Who owns a key. */
export interface ExplainAnswer {
    instance: string;
    service: string;
    key: string;
    slot: number;
    owner: string | undefined;
    address: string | undefined;
    token: number | undefined;
    /** `granted`, `waiting` for the lease before to end, or `unowned`. */
    lease: "granted" | "waiting" | "unowned";
}

/** What the interface answers from. */
export interface OperatorApiOptions {
    host: string;
    port: number;
    logger: foundation.Logger;
    status: () => OperatorStatus;
    /** Explains a key of every keyed service, or of one. */
    explain: (key: string, service: string | undefined) => ExplainAnswer[];
}

const answer = (response: http.ServerResponse, status: number, value: unknown): void => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(`${JSON.stringify(value)}\n`);
};

/**
 * Opens the interface for operators: `GET /status` and `GET /explain?key=K&service=S`.
 *
 * @param options - what it answers from
 * @param owner - closes it
 * @returns once listening
 */
export const createOperatorApi = async (options: OperatorApiOptions, owner: foundation.Owner): Promise<void> => {
    const server = http.createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://operators");
        if (request.method !== "GET") {
            answer(response, 405, { error: "only GET is allowed" });
        }
        else if (url.pathname === "/status") {
            answer(response, 200, options.status());
        }
        else if (url.pathname === "/explain" && url.searchParams.get("key")) {
            const key = url.searchParams.get("key") ?? "";
            answer(response, 200, options.explain(key, url.searchParams.get("service") ?? undefined));
        }
        else {
            answer(response, 404, { error: "expected /status or /explain?key=KEY" });
        }
    });
    await foundation.listenOn(server, options.host, options.port);
    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });
};
