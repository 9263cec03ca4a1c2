/**
 * Stand-in for an upstream with limited concurrency and connections, a cold start, load reports, load shedding,
 * draining, cancellation and deadlines. As a server it also accepts fenced grants and can check fencing tokens.
 *
 * Its responses contain a digest of the request body, so that a caller can detect truncated or altered bodies. Its
 * journal lists the requests that actually ran, so that tests can verify the outcomes reported to callers.
 */
import type * as foundation from "@mulberryseam/foundation";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as consumers from "node:stream/consumers";
import * as grantTable from "./grantTable";
import * as httpServer from "./httpServer";

/** Configures an upstream. */
export interface UpstreamStandInOptions {
    name: string;
    port: number;
    /** Maximum number of requests that run at once. */
    concurrency: number;
    /** Maximum number of open connections. */
    connections: number;
    /** Whether a server rejects requests without the slot and current token of their key. */
    checksTokens: boolean;
    /** Whether the upstream is a server, which owns keys. */
    isKeyed: boolean;
    /** Time after the start during which requests take longer. */
    coldMilliseconds?: number;
}

/** Faults and states that can be set while an upstream runs. */
export interface UpstreamFaults {
    /** Sheds every request. */
    sheds: boolean;
    isDraining: boolean;
    /** Always reports a load of 0. */
    misreportsLoad: boolean;
    /** Closes the connection halfway through each response. */
    cutsAnswers: boolean;
    /** Runs each request but never responds. */
    swallowsAnswers: boolean;
}

/** A journal entry for a request that started to run. */
export interface JournalEntry {
    identifier: string;
    key: string;
    /** Whether the request ran to completion. */
    isWhole: boolean;
}

const maxWaitingPerRunningRequest = 1;
const defaultWorkMilliseconds = 4;
const coldStartFactor = 3;

const headerOf = (request: http.IncomingMessage, name: string): string | undefined =>
    request.headers[name] as string | undefined;

const numericHeaderOf = (request: http.IncomingMessage, name: string): number | undefined => {
    const text = headerOf(request, name);
    return text === undefined ? undefined : Number(text);
};

/** A running upstream. */
export interface UpstreamStandIn {
    port: number;
    setFaults: (faults: Partial<UpstreamFaults>) => void;
    /** Returns the requests that started to run, oldest first. */
    journal: () => readonly JournalEntry[];
}

/**
 * Starts an upstream on loopback.
 *
 * @param options - the name, port, limits and kind of the upstream
 * @param owner - stops the upstream when disposed of
 * @returns the running upstream
 */
export const createUpstreamStandIn = async (
    options: UpstreamStandInOptions,
    owner: foundation.Owner,
): Promise<UpstreamStandIn> => {
    const incarnation = crypto.randomUUID();
    const startedAt = performance.now();
    const journal: JournalEntry[] = [];
    const waitingRequests: (() => void)[] = [];
    const faults: UpstreamFaults = {
        sheds: false,
        isDraining: false,
        misreportsLoad: false,
        cutsAnswers: false,
        swallowsAnswers: false,
    };
    const grants = grantTable.createGrantTable(incarnation, () => faults.isDraining);
    let runningRequests = 0;

    const acquirePermit = async (): Promise<void> => {
        if (runningRequests < options.concurrency) {
            runningRequests += 1;
            return;
        }
        await new Promise<void>(resolve => waitingRequests.push(resolve));
    };

    const releasePermit = (): void => {
        const next = waitingRequests.shift();
        if (next === undefined) {
            runningRequests -= 1;
            return;
        }
        next();
    };

    const refuse = (request: http.IncomingMessage, response: http.ServerResponse, reason: string): void => {
        response.writeHead(reason === "stale-token" ? 409 : 503, {
            "mulberryseam-not-run": reason,
            "content-length": "0",
            "retry-after": "1",
        });
        response.end();
        request.resume();
    };

    const hasStaleToken = (request: http.IncomingMessage): boolean => {
        const fencedSlot = {
            service: headerOf(request, "mulberryseam-service") ?? "",
            slot: numericHeaderOf(request, "mulberryseam-slot") ?? -1,
            token: numericHeaderOf(request, "mulberryseam-token") ?? -1,
        };
        const isTokenRequired = options.isKeyed && options.checksTokens;
        return isTokenRequired && !grants.owns(fencedSlot, performance.now());
    };

    const refusalReasonOf = (request: http.IncomingMessage): string | undefined => {
        if (faults.isDraining && !options.isKeyed) {
            return "draining";
        }
        if (faults.sheds || waitingRequests.length >= options.concurrency * maxWaitingPerRunningRequest) {
            return "shedding";
        }
        return hasStaleToken(request) ? "stale-token" : undefined;
    };

    const workMilliseconds = (request: http.IncomingMessage): number => {
        const work = numericHeaderOf(request, "stand-in-work-milliseconds") ?? defaultWorkMilliseconds;
        const isCold = performance.now() - startedAt < (options.coldMilliseconds ?? 0);
        return isCold ? work * coldStartFactor : work;
    };

    const respond = (request: http.IncomingMessage, response: http.ServerResponse, digest: string): void => {
        const padding = numericHeaderOf(request, "stand-in-answer-bytes") ?? 0;
        const body = Buffer.from(JSON.stringify({
            server: options.name,
            identifier: headerOf(request, "mulberryseam-request-identifier"),
            key: headerOf(request, "mulberryseam-key"),
            digest,
            padding: "x".repeat(padding),
        }));
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": body.length,
            "mulberryseam-load": faults.misreportsLoad
                ? "0"
                : String((runningRequests + waitingRequests.length) / options.concurrency),
        });
        if (faults.cutsAnswers) {
            response.write(body.subarray(0, Math.floor(body.length / 2)));
            setTimeout(() => response.socket?.destroy(), 1);
            return;
        }
        response.end(body);
    };

    const runRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const arrivedAt = performance.now();
        await acquirePermit();
        try {
            const deadline = numericHeaderOf(request, "mulberryseam-deadline-milliseconds") ?? Infinity;
            if (performance.now() - arrivedAt > deadline || response.destroyed) {
                refuse(request, response, "deadline");
                return;
            }
            if (hasStaleToken(request)) {
                refuse(request, response, "stale-token");
                return;
            }
            const entry: JournalEntry = {
                identifier: headerOf(request, "mulberryseam-request-identifier") ?? "",
                key: headerOf(request, "mulberryseam-key") ?? "",
                isWhole: false,
            };
            journal.push(entry);
            const digest = crypto.createHash("sha256");
            for await (const chunk of request) {
                digest.update(chunk as Buffer);
            }
            await new Promise<void>(resolve => setTimeout(resolve, workMilliseconds(request)));
            entry.isWhole = true;
            if (!faults.swallowsAnswers) {
                respond(request, response, digest.digest("hex"));
            }
        }
        catch {
            response.destroy();
        }
        finally {
            releasePermit();
        }
    };

    const handleControlRequest = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
    ): Promise<void> => {
        if (request.url === "/grants") {
            const message = JSON.parse(await consumers.text(request)) as grantTable.GrantMessage;
            httpServer.sendJson(response, 200, grants.handleMessage(message, performance.now()));
            return;
        }
        if (request.url === "/stand-in/faults") {
            Object.assign(faults, JSON.parse(await consumers.text(request)));
            httpServer.sendJson(response, 200, faults);
            return;
        }
        if (request.url === "/stand-in/journal") {
            httpServer.sendJson(response, 200, journal);
            return;
        }
        const now = performance.now();
        // Converts to wall-clock time, so that the histories of several processes can be compared.
        const wallClockOffset = performance.timeOrigin;
        const history = grants.history().map(interval => ({
            ...interval,
            from: interval.from + wallClockOffset,
            until: interval.until + wallClockOffset,
        }));
        httpServer.sendJson(response, 200, { name: options.name, owned: grants.ownedCount(now), history });
    };

    const server = await httpServer.listen(options.port, (request, response) => {
        const isControlRequest = request.url === "/grants" || request.url?.startsWith("/stand-in/");
        if (isControlRequest) {
            void handleControlRequest(request, response);
            return;
        }
        const refusalReason = refusalReasonOf(request);
        if (refusalReason !== undefined) {
            refuse(request, response, refusalReason);
            return;
        }
        void runRequest(request, response);
    }, owner);
    server.maxConnections = options.connections;

    return {
        port: httpServer.portOf(server),
        setFaults: change => Object.assign(faults, change),
        journal: () => journal,
    };
};
