/**
 * Stand-in for an upstream: a few slots, limited connections, a cold start, load reports, shedding, draining,
 * cancellation and deadlines. As a server of keys it also takes fenced grants and, where it checks them, tokens.
 *
 * It answers with a digest of the body it got, so that a caller can tell a whole exchange from a cut one, and keeps a
 * journal of what truly ran, so that a test can judge what callers were told.
 */
import type * as foundation from "@mulberryseam/foundation";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as consumers from "node:stream/consumers";
import * as grantTable from "./grantTable";
import * as httpServer from "./httpServer";

/** How an upstream behaves. */
export interface UpstreamStandInOptions {
    name: string;
    port: number;
    concurrency: number;
    connections: number;
    /** Whether requests must carry a key's slot and current token. */
    checksTokens: boolean;
    /** Whether the upstream owns keys at all. */
    isKeyed: boolean;
    /** Time during which a new process works at a fraction of its speed. */
    coldMilliseconds?: number;
}

/** Behaviour that can be changed while an upstream runs. */
export interface UpstreamFaults {
    /** Sheds every request. */
    sheds: boolean;
    isDraining: boolean;
    /** Reports no load however busy it is. */
    misreportsLoad: boolean;
    /** Breaks the connection half-way through each answer. */
    cutsAnswers: boolean;
    /** Runs the request and never answers. */
    swallowsAnswers: boolean;
}

/** One run of a request, as the journal keeps it. */
export interface JournalRun {
    identifier: string;
    key: string;
    isWhole: boolean;
}

const queueFactor = 1;
const defaultWorkMilliseconds = 4;
const coldFactor = 3;

const headerOf = (request: http.IncomingMessage, name: string): string | undefined =>
    request.headers[name] as string | undefined;

const numberOf = (request: http.IncomingMessage, name: string): number | undefined => {
    const text = headerOf(request, name);
    return text === undefined ? undefined : Number(text);
};

/** A running upstream. */
export interface UpstreamStandIn {
    port: number;
    setFaults: (faults: Partial<UpstreamFaults>) => void;
    journal: () => readonly JournalRun[];
}

/**
 * Starts an upstream on loopback.
 *
 * @param options - how it behaves
 * @param owner - stops it
 * @returns the running upstream
 */
export const createUpstreamStandIn = async (
    options: UpstreamStandInOptions,
    owner: foundation.Owner,
): Promise<UpstreamStandIn> => {
    const incarnation = crypto.randomUUID();
    const startedAt = performance.now();
    const journal: JournalRun[] = [];
    const waiting: (() => void)[] = [];
    const faults: UpstreamFaults = {
        sheds: false,
        isDraining: false,
        misreportsLoad: false,
        cutsAnswers: false,
        swallowsAnswers: false,
    };
    const grants = grantTable.createGrantTable(incarnation, () => faults.isDraining);
    let running = 0;

    const takeSlot = async (): Promise<void> => {
        if (running < options.concurrency) {
            running += 1;
            return;
        }
        await new Promise<void>(resolve => waiting.push(resolve));
    };

    const giveSlot = (): void => {
        const next = waiting.shift();
        if (next === undefined) {
            running -= 1;
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

    const isStale = (request: http.IncomingMessage): boolean => {
        const token = {
            service: headerOf(request, "mulberryseam-service") ?? "",
            slot: numberOf(request, "mulberryseam-slot") ?? -1,
            token: numberOf(request, "mulberryseam-token") ?? -1,
        };
        const mustCheck = options.isKeyed && options.checksTokens;
        return mustCheck && !grants.owns(token, performance.now());
    };

    const refusalOf = (request: http.IncomingMessage): string | undefined => {
        if (faults.isDraining && !options.isKeyed) {
            return "draining";
        }
        if (faults.sheds || waiting.length >= options.concurrency * queueFactor) {
            return "shedding";
        }
        return isStale(request) ? "stale-token" : undefined;
    };

    const workMilliseconds = (request: http.IncomingMessage): number => {
        const work = numberOf(request, "stand-in-work-milliseconds") ?? defaultWorkMilliseconds;
        const isCold = performance.now() - startedAt < (options.coldMilliseconds ?? 0);
        return isCold ? work * coldFactor : work;
    };

    const answer = (request: http.IncomingMessage, response: http.ServerResponse, digest: string): void => {
        const padding = numberOf(request, "stand-in-answer-bytes") ?? 0;
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
            "mulberryseam-load": faults.misreportsLoad ? "0" : String((running + waiting.length) / options.concurrency),
        });
        if (faults.cutsAnswers) {
            response.write(body.subarray(0, Math.floor(body.length / 2)));
            setTimeout(() => response.socket?.destroy(), 1);
            return;
        }
        response.end(body);
    };

    const run = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const arrivedAt = performance.now();
        await takeSlot();
        try {
            const deadline = numberOf(request, "mulberryseam-deadline-milliseconds") ?? Infinity;
            if (performance.now() - arrivedAt > deadline || response.destroyed) {
                refuse(request, response, "deadline");
                return;
            }
            if (isStale(request)) {
                refuse(request, response, "stale-token");
                return;
            }
            const entry: JournalRun = {
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
                answer(request, response, digest.digest("hex"));
            }
        }
        catch {
            response.destroy();
        }
        finally {
            giveSlot();
        }
    };

    const control = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        if (request.url === "/grants") {
            const message = JSON.parse(await consumers.text(request)) as grantTable.GrantMessage;
            httpServer.answerJson(response, 200, grants.take(message, performance.now()));
            return;
        }
        if (request.url === "/stand-in/faults") {
            Object.assign(faults, JSON.parse(await consumers.text(request)));
            httpServer.answerJson(response, 200, faults);
            return;
        }
        if (request.url === "/stand-in/journal") {
            httpServer.answerJson(response, 200, journal);
            return;
        }
        const clock = performance.now();
        // Instants are shifted to the wall clock so that the histories of several processes can be compared.
        const shift = performance.timeOrigin;
        const history = grants.history().map(event => ({
            ...event,
            from: event.from + shift,
            until: event.until + shift,
        }));
        httpServer.answerJson(response, 200, { name: options.name, owned: grants.ownedCount(clock), history });
    };

    const server = await httpServer.listen(options.port, (request, response) => {
        const isControl = request.url === "/grants" || request.url?.startsWith("/stand-in/");
        if (isControl) {
            void control(request, response);
            return;
        }
        const refusal = refusalOf(request);
        if (refusal !== undefined) {
            refuse(request, response, refusal);
            return;
        }
        void run(request, response);
    }, owner);
    server.maxConnections = options.connections;

    return {
        port: httpServer.portOf(server),
        setFaults: change => Object.assign(faults, change),
        journal: () => journal,
    };
};
