/** Connections to one upstream, and one attempt of a request at it. */
import * as traffic from "@mulberryseam/traffic";
import type * as stream from "node:stream";
import * as undici from "undici";
import * as headers from "./headers";

/** One attempt. */
export interface AttemptRequest {
    method: string;
    path: string;
    headers: Record<string, string | string[]>;
    body: Buffer | stream.Readable | undefined;
    signal: AbortSignal;
}

/** How an attempt ended. */
export interface Attempt {
    result: traffic.AttemptResultKind;
    /** The upstream's answer, when there is one. */
    answer: undici.Dispatcher.ResponseData | undefined;
    /** Why there is none; for the log. */
    reason: string;
}

/** Connections to one upstream. */
export interface UpstreamClient {
    attempt: (request: AttemptRequest) => Promise<Attempt>;
    close: () => Promise<void>;
}

const connectTimeoutMilliseconds = 1000;
const keepAliveMilliseconds = 20_000;
/** Ends an answer in which nothing moves; a transfer that moves, however slowly, goes on. */
const idleBodyMilliseconds = 300_000;

const notSentCodes = ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT", "UND_ERR_CLOSED"];

/**
 * Creates the client of an upstream.
 *
 * @param address - `IP:PORT`
 * @param connections - how many connections this instance may hold
 * @returns the client
 */
export const createUpstreamClient = (address: string, connections: number): UpstreamClient => {
    const pool = new undici.Pool(`http://${address}`, {
        connections,
        pipelining: 1,
        connect: { timeout: connectTimeoutMilliseconds },
        keepAliveTimeout: keepAliveMilliseconds,
        // The deadline ends an attempt; a head that comes late is its business.
        headersTimeout: 0,
        bodyTimeout: idleBodyMilliseconds,
    });

    const classify = (error: unknown): Attempt => {
        const { code, message } = error as { code?: string; message: string; };
        const isNotSent = code !== undefined && notSentCodes.includes(code);
        return {
            result: isNotSent ? traffic.AttemptResult.notSent : traffic.AttemptResult.lost,
            answer: undefined,
            reason: code ?? message,
        };
    };

    return {
        attempt: async request => {
            try {
                const answer = await pool.request({
                    method: request.method as undici.Dispatcher.HttpMethod,
                    path: request.path,
                    headers: request.headers,
                    body: request.body,
                    signal: request.signal,
                });
                const refusal = answer.headers[headers.HeaderName.notRun];
                if (refusal !== undefined) {
                    await answer.body.dump();
                    return { result: traffic.AttemptResult.refused, answer: undefined, reason: String(refusal) };
                }
                return { result: traffic.AttemptResult.answered, answer, reason: "" };
            }
            catch (error) {
                return classify(error);
            }
        },
        close: () => pool.close(),
    };
};
