/** Callers that leave before the response, send slowly, or send bytes that are no proper request. */
import * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import type * as invariantChecker from "./invariantChecker";

/** Configures unusual callers. */
export interface UnusualCallersOptions {
    /** The instance that they call. */
    target: { name: string; host: string; port: number; };
    random: foundation.Random;
    /** Distinguishes the identifiers of their requests from those of others. */
    prefix: string;
    now: () => number;
    addRecord: (record: invariantChecker.CallerRecord) => void;
}

const intervalMilliseconds = 40;
const maxStayMilliseconds = 400;
const chunkIntervalMilliseconds = 10;
const body = "order";

const createHead = (identifier: string, requestLine: string, lines: readonly string[] = []): string =>
    [
        requestLine,
        "Host: site.example",
        `Request-Id: ${identifier}`,
        "Request-Deadline-Ms: 1500",
        ...lines,
        "",
        "",
    ].join("\r\n");

const createOrder = (identifier: string): string =>
    createHead(identifier, "POST /orders/1 HTTP/1.1", [`Content-Length: ${body.length}`]) + body;

/** Creates requests that are malformed or at the bounds of what is allowed. */
const createOddRequests = (identifier: string): string[] => {
    const createLookup = (...lines: string[]): string => createHead(identifier, "GET /records/1 HTTP/1.1", lines);
    const smuggled = createOrder(`smuggled in ${identifier}`);
    return [
        createLookup("Shard-Key: 1e999"),
        createLookup("Shard-Key: -1"),
        createLookup("Shard-Key: 70000"),
        createLookup("Shard-Key: 7", "Shard-Key: 8"),
        createLookup(),
        createLookup("PHP Warning: x"),
        createLookup("Shard-Key: 7", "Expect: something"),
        createLookup("Shard-Key: 7", "Connection: Upgrade", "Upgrade: websocket"),
        createLookup("Shard-Key: 7", "Connection: host, shard-key"),
        createLookup("Shard-Key: 7", `Long: ${"a".repeat(100_000)}`),
        createLookup("Shard-Key: 7", ...Array.from({ length: 2500 }, (...[, index]) => `H-${index}: 1`)),
        createHead(identifier, "GET /records/1 HTTP/1.1", ["Shard-Key: 7"]).replace("1500", "9".repeat(400)),
        createHead(identifier, "GET /records/1 HTTP/1.1", ["Shard-Key: 7"]).replace("1500", "-1"),
        createHead(identifier, "GET http://[::1/records/1 HTTP/1.1"),
        createHead(identifier, "GET /%ff%00/../records/1?%zz HTTP/1.1"),
        createHead(identifier, "CONNECT site.example:80 HTTP/1.1"),
        createHead(identifier, "OPTIONS * HTTP/1.1"),
        createHead(identifier, "GET /records/1 HTTP/9.9"),
        createHead(identifier, "POST /orders/1 HTTP/1.1", ["Transfer-Encoding: chunked"]) + `zz\r\n${smuggled}`,
        createHead(identifier, "POST /orders/1 HTTP/1.1", ["Transfer-Encoding: chunked"]) + "ffffffffffffffffff\r\n",
        createHead(identifier, "POST /orders/1 HTTP/1.1", [`Content-Length: ${body.length}`, "Content-Length: 0"])
        + smuggled,
        createHead(identifier, "POST /orders/1 HTTP/1.1", ["Content-Length: 1e3"]) + body,
        createHead(identifier, "POST /orders/1 HTTP/1.1", ["Expect: 100-continue", "Content-Length: 5"]) + body,
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "\u0016\u0003\u0001\u0002\u0000\u0001",
        "\r\n\r\n\u0000",
    ];
};

/**
 * Starts callers, each with a connection of its own.
 *
 * @param options - the instance that they call and randomness
 * @returns the function that stops them; the last ones leave soon after
 */
export const startUnusualCallers = (options: UnusualCallersOptions): () => void => {
    const { target, random, now } = options;
    let callerCount = 0;
    const startCaller = (): void => {
        callerCount += 1;
        const identifier = `${options.prefix}-${callerCount}`;
        const oddRequests = createOddRequests(identifier);
        const isOdd = random.below(2) === 0;
        const text = isOdd ? oddRequests[random.below(oddRequests.length)] : createOrder(identifier);
        const isSlow = random.below(2) === 0;
        const stayMilliseconds = random.below(maxStayMilliseconds);
        const isReset = random.below(2) === 0;
        const socket = net.connect({ host: target.host, port: target.port });
        const record: invariantChecker.CallerRecord = {
            identifier,
            method: text.startsWith("POST") ? "POST" : "GET",
            path: text.startsWith("POST") ? "/orders/1" : "/records/1",
            instance: target.name,
            sentAt: now(),
            endedAt: 0,
            status: 0,
            hasResponse: false,
            isUnusual: true,
            echoedIdentifier: undefined,
            isSigned: false,
            body: "",
        };
        socket.on("error", () => undefined);
        socket.on("data", () => undefined);
        let sentLength = 0;
        const chunkLength = isSlow ? Math.ceil(text.length / (1 + random.below(20))) : text.length;
        const sendChunk = (): void => {
            socket.write(text.slice(sentLength, sentLength + chunkLength));
            sentLength += chunkLength;
        };
        const chunkTimer = setInterval(
            () => sentLength < text.length && socket.writable ? sendChunk() : clearInterval(chunkTimer),
            chunkIntervalMilliseconds,
        );
        sendChunk();
        const leaveTimer = setTimeout(
            () => isReset ? foundation.resetConnection(socket) : socket.destroy(),
            stayMilliseconds,
        );
        socket.on("close", () => {
            clearInterval(chunkTimer);
            clearTimeout(leaveTimer);
            options.addRecord({ ...record, endedAt: now() });
        });
    };
    const timer = setInterval(startCaller, intervalMilliseconds);
    return () => clearInterval(timer);
};
