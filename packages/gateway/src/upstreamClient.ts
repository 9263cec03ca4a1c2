/** HTTP client of one upstream. */
import * as traffic from "@mulberryseam/traffic";
import type * as stream from "node:stream";
import * as undici from "undici";
import * as headers from "./headers";

/** The request to send in one attempt. */
export interface AttemptRequest {
    method: string;
    path: string;
    headers: Record<string, string | string[]>;
    body: Buffer | stream.Readable | undefined;
    signal: AbortSignal;
}

/** Result of an attempt. */
export interface Attempt {
    result: traffic.AttemptResultKind;
    /** The upstream's response; undefined unless the result is `answered`. */
    response: undici.Dispatcher.ResponseData | undefined;
    /** Reason for a missing response; empty otherwise. */
    reason: string;
}

/** Sends requests over a pool of connections to one upstream. */
export interface UpstreamClient {
    attempt: (request: AttemptRequest) => Promise<Attempt>;
    close: () => Promise<void>;
}

const connectTimeoutMilliseconds = 1000;
const keepAliveTimeoutMilliseconds = 20_000;
/** Aborts a response whose body stalls; a slow transfer that makes progress continues. */
const bodyIdleTimeoutMilliseconds = 300_000;

const notSentErrorCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT", "UND_ERR_CLOSED"];

/** Largest status code that HTTP defines; `undici` also accepts those from 600 to 999. */
const maxStatus = 599;

/**
 * Whether a response declares a length or chunks. The end of any other cannot be told from a connection that breaks: `undici` takes also a
 * reset for the end.
 */
const isFramed = (method: string, { headers: received, statusCode }: undici.Dispatcher.ResponseData): boolean =>
    method === "HEAD" || statusCode === 204 || statusCode === 304
    || received["content-length"] !== undefined || received["transfer-encoding"] !== undefined;

/**
 * Creates the client of an upstream.
 *
 * @param address - `IP:PORT`
 * @param maxConnections - maximum number of connections of this instance to the upstream
 * @returns the client
 */
export const createUpstreamClient = (address: string, maxConnections: number): UpstreamClient => {
    const pool = new undici.Pool(`http://${address}`, {
        connections: maxConnections,
        pipelining: 1,
        connect: { timeout: connectTimeoutMilliseconds },
        keepAliveTimeout: keepAliveTimeoutMilliseconds,
        // The request's deadline limits the wait for the response head.
        headersTimeout: 0,
        bodyTimeout: bodyIdleTimeoutMilliseconds,
    });

    const classifyError = (error: unknown): Attempt => {
        const { code, message } = error as { code?: string; message: string; };
        const isNotSent = code !== undefined && notSentErrorCodes.includes(code);
        return {
            result: isNotSent ? traffic.AttemptResult.notSent : traffic.AttemptResult.lost,
            response: undefined,
            reason: code ?? message,
        };
    };

    return {
        attempt: async request => {
            try {
                const response = await pool.request({
                    method: request.method as undici.Dispatcher.HttpMethod,
                    path: request.path,
                    headers: request.headers,
                    body: request.body,
                    signal: request.signal,
                });
                if (response.statusCode > maxStatus) {
                    response.body.on("error", () => undefined).destroy();
                    return { result: traffic.AttemptResult.lost, response: undefined, reason: "malformed status" };
                }
                const refusal = response.headers[headers.HeaderName.notRun];
                if (refusal !== undefined) {
                    await response.body.dump();
                    return { result: traffic.AttemptResult.refused, response: undefined, reason: String(refusal) };
                }
                if (!isFramed(request.method, response)) {
                    response.body.on("error", () => undefined).destroy();
                    return {
                        result: traffic.AttemptResult.lost,
                        response: undefined,
                        reason: "response without a length",
                    };
                }
                return { result: traffic.AttemptResult.answered, response, reason: "" };
            }
            catch (error) {
                return classifyError(error);
            }
        },
        close: () => pool.close(),
    };
};
