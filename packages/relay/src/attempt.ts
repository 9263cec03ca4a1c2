/** One attempt of a request at one upstream. */
import * as platform from "@mulberryseam/platform";
import * as http from "node:http";
import * as stream from "node:stream";
import type * as requestBody from "./requestBody";
import * as upstreamConnections from "./upstreamConnections";
import type * as upstreamHealth from "./upstreamHealth";

/** An answer of an upstream. */
export interface UpstreamAnswer {
    status: number;
    rawHeaders: string[];
    /** The whole body, or its first part. */
    body: Buffer;
    /** Whether only the end of the connection marks the end of the body, so that a part of it cannot be told. */
    isUnframed: boolean;
    /** What follows; ends in an error when the upstream breaks off. Undefined when the body is whole. */
    rest: http.IncomingMessage | undefined;
}

/** How an attempt ended. Only {@link AttemptEnd} of kind `notRun` allows to say that the request has not run. */
export type AttemptEnd =
    | { kind: "answered"; answer: UpstreamAnswer; report: upstreamHealth.LoadReport | undefined; }
    /** Never sent, or refused by the upstream in so many words. */
    | {
        kind: "notRun";
        reason: string;
        isShed: boolean;
        /** Whether the upstream does not hold the request's key, or is not the one that was meant. */
        isMisdirected: boolean;
        report: upstreamHealth.LoadReport | undefined;
    }
    /** Sent; it may have run, and may still run. */
    | { kind: "unknown"; reason: string; isNewConnection: boolean; };

/** What to send. */
export interface AttemptOptions {
    connections: upstreamConnections.UpstreamConnections;
    host: string;
    port: number;
    method: string;
    path: string;
    /** Names and values in turn, without those that concern one connection. */
    headers: string[];
    requestIdentifier: string | undefined;
    body: Exclude<requestBody.RequestBody, { kind: "tooLarge" | "broken"; }>;
    /** Time for a new connection, in milliseconds. */
    connectMilliseconds: number;
    /** Told how long a new connection took, in milliseconds. */
    onConnected: (milliseconds: number) => void;
}

/** An attempt under way. */
export interface Attempt {
    end: Promise<AttemptEnd>;
    /** Gives the attempt up; the upstream is told by the end of its connection. */
    cancel: (reason: string) => void;
    /** Whether any byte may have reached the upstream. */
    mayHaveBeenSent: () => boolean;
}

/** Bytes of an answer that are held until it is whole, so that one that breaks off is never begun. */
const heldBytes = 256 * 1024;

const misdirectedStatus = 421;
const idleHint = /timeout=(\d+)/;

const single = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value[0] : value;

/** Tells why an answer cannot be passed on; undefined when it can. */
const faultOf = (response: http.IncomingMessage, requestIdentifier: string | undefined): string | undefined => {
    const echoed = single(response.headers[platform.HeaderName.requestIdentifier]);
    if (requestIdentifier !== undefined && echoed !== undefined && echoed !== requestIdentifier) {
        return "the answer belongs to another request";
    }
    const status = response.statusCode ?? 0;
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && response.headers[platform.HeaderName.signature] === undefined) {
        return "a success without a signature";
    }
    return undefined;
};

const isRefusal = (response: http.IncomingMessage): boolean =>
    response.headers[platform.HeaderName.notRun] !== undefined || response.statusCode === misdirectedStatus;

/**
 * Sends a request to an upstream.
 *
 * @param options - what to send
 * @returns the attempt
 */
export const startAttempt = (options: AttemptOptions): Attempt => {
    const { connections, body } = options;
    const framing = body.kind === "whole"
        ? (body.bytes.length > 0 || options.method === "POST" || options.method === "PUT"
            ? ["Content-Length", String(body.bytes.length)]
            : [])
        : ["Transfer-Encoding", "chunked"];
    const request = http.request({
        agent: connections.agent,
        host: options.host,
        port: options.port,
        method: options.method,
        path: options.path,
        headers: [...options.headers, ...framing, "Connection", "keep-alive"] as unknown as http.OutgoingHttpHeaders,
    });
    let isConnected = false;
    let isNewConnection = false;
    let isEnded = false;
    const end = new Promise<AttemptEnd>(resolve => {
        const finish = (result: AttemptEnd): void => {
            isEnded = true;
            clearTimeout(connectTimeout);
            resolve(result);
        };
        const fail = (reason: string): void => {
            if (isEnded) {
                return;
            }
            finish(
                isConnected
                    ? { kind: "unknown", reason, isNewConnection }
                    : { kind: "notRun", reason, isShed: false, isMisdirected: false, report: undefined },
            );
        };
        const startedAt = performance.now();
        const connectTimeout = setTimeout(() => {
            if (!isConnected) {
                request.destroy(new Error("no connection in time"));
            }
        }, options.connectMilliseconds);
        request.on("socket", socket => {
            if (!socket.connecting) {
                isConnected = true;
                return;
            }
            isNewConnection = true;
            socket.once("connect", () => {
                isConnected = true;
                options.onConnected(performance.now() - startedAt);
            });
        });
        request.on("error", error => fail((error as NodeJS.ErrnoException).code ?? error.message));
        request.on("close", () => fail("the connection ended"));
        request.on("response", response => {
            const report = platform.parseLoad(single(response.headers[platform.HeaderName.load]));
            const hint = idleHint.exec(single(response.headers["keep-alive"]) ?? "")?.[1];
            if (hint !== undefined) {
                connections.onIdleHint(Number(hint) * 1000);
            }
            const isEarly = !request.writableFinished;
            const isUnframed = response.headers["content-length"] === undefined
                && response.headers["transfer-encoding"] === undefined;
            const fault = faultOf(response, options.requestIdentifier);
            if (fault !== undefined) {
                response.on("error", () => undefined);
                request.destroy();
                fail(fault);
                return;
            }
            const chunks: Buffer[] = [];
            let size = 0;
            const onData = (chunk: Buffer): void => {
                chunks.push(chunk);
                size += chunk.length;
                if (size > heldBytes) {
                    response.pause();
                    response.off("data", onData);
                    finishAnswer(response);
                }
            };
            const finishAnswer = (rest: http.IncomingMessage | undefined): void => {
                if (isEnded) {
                    return;
                }
                if (isEarly) {
                    // The upstream still expects the rest of the body on this connection.
                    response.socket.destroy();
                }
                if (isRefusal(response)) {
                    const isMisdirected = response.statusCode === misdirectedStatus;
                    finish({
                        kind: "notRun",
                        reason: `status ${response.statusCode}`,
                        isShed: true,
                        isMisdirected,
                        report,
                    });
                    return;
                }
                const { rawHeaders, statusCode = 0 } = response;
                finish({
                    kind: "answered",
                    answer: { status: statusCode, rawHeaders, body: Buffer.concat(chunks), isUnframed, rest },
                    report,
                });
            };
            response.on("data", onData);
            response.on("end", () => {
                if (response.complete) {
                    finishAnswer(undefined);
                }
                else {
                    fail("the answer broke off");
                }
            });
            response.on("error", error => fail(error.message));
        });
    });
    if (body.kind === "whole") {
        request.end(body.bytes);
    }
    else {
        request.write(body.start);
        stream.pipeline(body.rest, request, error => {
            if (error) {
                request.destroy(error);
            }
        });
    }
    return {
        end,
        cancel: reason => {
            if (!isEnded) {
                request.destroy(new Error(reason));
            }
        },
        mayHaveBeenSent: () => isConnected,
    };
};
