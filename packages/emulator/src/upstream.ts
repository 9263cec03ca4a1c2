/** A stand-in for an upstream: it serves requests without a key, and those for keys that it was granted. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";

/** A running upstream. */
export interface EmulatedUpstream {
    identifier: string;
    port: number;
    startedAt: number;
    /** Whether it holds a key now. */
    holds: (key: number) => boolean;
    /** Requests that it ran. */
    runs: () => number;
    /** Ends it at once. */
    stop: () => Promise<void>;
}

/** A request that an upstream begins to run. */
export interface EmulatedRun {
    upstream: EmulatedUpstream;
    requestIdentifier: string;
    method: string;
    key: number | undefined;
}

/** How an upstream works. */
export interface EmulatedUpstreamOptions {
    /** Time that a request takes, in milliseconds; none by default. */
    workMilliseconds?: () => number;
    onRun?: (run: EmulatedRun) => void;
}

interface Hold {
    from: number;
    target: number;
    fence: number;
    until: number;
}

interface GrantBody {
    from: number;
    target: number;
    fence: number;
    hold_time?: string;
}

const conflictStatus = 409;
const misdirectedStatus = 421;

/**
 * Starts an upstream on loopback.
 *
 * @param identifier - its name
 * @param owner - ends it
 * @param options - how it works
 * @returns the upstream
 */
export const startEmulatedUpstream = async (
    identifier: string,
    owner: foundation.Owner,
    options: EmulatedUpstreamOptions = {},
): Promise<EmulatedUpstream> => {
    let holds: Hold[] = [];
    const seen: Hold[] = [];
    let runs = 0;
    const isHeld = (key: number): boolean =>
        holds.some(hold => hold.from <= key && hold.target >= key && hold.until > performance.now());
    const without = (body: GrantBody): Hold[] =>
        holds.flatMap(hold =>
            [
                { ...hold, target: Math.min(hold.target, body.from - 1) },
                { ...hold, from: Math.max(hold.from, body.target + 1) },
            ].filter(part => part.from <= part.target)
        );
    const end = (response: http.ServerResponse, status: number, headers: http.OutgoingHttpHeaders, text = ""): void => {
        response.writeHead(status, { ...headers, "content-length": text.length });
        response.end(text);
    };
    const grant = (body: GrantBody, response: http.ServerResponse): void => {
        const isFenced = seen.some(one => one.from <= body.target && one.target >= body.from && one.fence > body.fence);
        if (isFenced) {
            end(response, conflictStatus, {});
            return;
        }
        const hold = { ...body, until: performance.now() + Number.parseInt(body.hold_time ?? "0", 10) };
        holds = [...without(body), hold];
        seen.push(hold);
        end(response, 200, {});
    };
    const server = http.createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", chunk => chunks.push(chunk as Buffer));
        request.on("end", () => {
            const meant = request.headers["target-instance"];
            const echo = { "request-id": request.headers["request-id"], "server-load": "0,0,4" };
            if (meant !== undefined && meant !== identifier) {
                end(response, misdirectedStatus, echo);
                return;
            }
            if (request.url === "/mulberryseam/grant") {
                grant(JSON.parse(Buffer.concat(chunks).toString()) as GrantBody, response);
                return;
            }
            if (request.url === "/mulberryseam/release") {
                const body = JSON.parse(Buffer.concat(chunks).toString()) as GrantBody;
                holds = without(body);
                seen.push({ ...body, until: 0 });
                end(response, 200, { "duty-handover": `from ${identifier}` });
                return;
            }
            const key = request.headers["shard-key"];
            if (key !== undefined && !isHeld(Number(key))) {
                end(response, misdirectedStatus, { ...echo, "not-executed": "1" });
                return;
            }
            runs += 1;
            const requestIdentifier = String(request.headers["request-id"]);
            options.onRun?.({
                upstream,
                requestIdentifier,
                method: request.method ?? "",
                key: key === undefined ? undefined : Number(key),
            });
            const signed = { ...echo, "response-signature": `signed by ${identifier}` };
            setTimeout(
                () => end(response, 200, signed, `answer to ${requestIdentifier}`),
                options.workMilliseconds?.() ?? 0,
            );
        });
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    const stop = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    owner.onCleanup(stop);
    const upstream: EmulatedUpstream = {
        identifier,
        port: (server.address() as net.AddressInfo).port,
        startedAt: Date.now(),
        holds: isHeld,
        runs: () => runs,
        stop,
    };
    return upstream;
};
