/** Sends one attempt of a request to one upstream. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import type * as scheduling from "@mulberryseam/scheduling";
import * as http from "node:http";
import type * as net from "node:net";
import * as tsResults from "ts-results";
import type * as attemptResult from "./attemptResult";
import * as byteBudget from "./byteBudget";
import * as eventLoopDelay from "./eventLoopDelay";
import * as framing from "./framing";
import * as messageValidity from "./messageValidity";
import * as requestBody from "./requestBody";
import * as requestState from "./requestState";
import * as upstreamConnections from "./upstreamConnections";
import * as upstreamNotice from "./upstreamNotice";

/** Configures an attempt. */
export interface AttemptOptions {
    timers: foundation.TimerService;
    connections: upstreamConnections.UpstreamConnections;
    host: string;
    port: number;
    method: string;
    path: string;
    /** Alternating names and values, without hop-by-hop headers. */
    headers: string[];
    requestIdentifier: string | undefined;
    /** Bytes that may be buffered of the response; one for which there are no more is streamed. */
    reservation: byteBudget.ByteReservation;
    body: Exclude<requestBody.RequestBody, { kind: "tooLarge" | "noMemory" | "broken"; }>;
    /** Timeout for a new connection, in milliseconds. */
    connectTimeoutMilliseconds: number;
    /** Called with the time that a new connection took, in milliseconds. */
    onConnected: (milliseconds: number) => void;
    /** Called with the bytes of the attempt once it has ended. */
    onTransferred: (transfer: foundation.Transfer) => void;
    /** Records exceptions of the attempt's handlers. */
    failures: foundation.FailureBoundary;
    /** Called with the notice in the head of a response, before the result is known. */
    onNotice?: (notice: upstreamNotice.UpstreamNotice) => void;
    /** Called with the fourth figure of a load report if it is malformed; the other three count. */
    onMalformedSlowness?: (value: string) => void;
    /** Called for each interim response; without it, only a few of them are accepted. */
    onInterim?: () => void;
    /** Called at the end of a response that declares neither a length nor chunks. */
    onCloseDelimitedEnd: (end: attemptResult.CloseDelimitedEnd) => void;
}

/** Largest response that is buffered until complete, in bytes: if interrupted, no part of it reaches the caller. */
const maxBufferedBytes = 256 * 1024;

/** Interim responses after which an upstream is taken to send them without end. */
const maxInterimResponses = 16;

const misdirectedStatus = 421;
/** Range of the status codes of final responses. */
const minFinalStatus = 200;
const maxFinalStatus = 599;
const keepAliveTimeoutPattern = /timeout=(\d+)/;

const firstValue = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value[0] : value;

/**
 * Whether a response certainly belongs to a request: it echoes the request's identifier, or answers the only request on its
 * connection.
 */
const belongsTo = (
    response: http.IncomingMessage,
    requestIdentifier: string | undefined,
    isOnlyRequest: boolean,
): boolean => {
    const echoedIdentifier = requestState.identifierOf(response);
    return echoedIdentifier === undefined ? isOnlyRequest : echoedIdentifier === requestIdentifier;
};

/** Returns why a response cannot be forwarded, or undefined if it can. */
const findResponseFault = (response: http.IncomingMessage): string | undefined => {
    const { headers, rawHeaders, statusCode: status = 0 } = response;
    if (status < minFinalStatus || status > maxFinalStatus || !messageValidity.areHeadersValid(rawHeaders)) {
        return "the response is malformed";
    }
    const transferEncoding = headers["transfer-encoding"];
    if (transferEncoding !== undefined && transferEncoding.toLowerCase() !== "chunked") {
        return "unsupported transfer encoding";
    }
    const isSuccess = status < 300;
    if (isSuccess && (headers["content-encoding"] ?? "identity") !== "identity") {
        return "successful response with an encoded body";
    }
    // A header that the connection header names is not forwarded.
    const unforwarded = (headers.connection ?? "").toLowerCase().split(",").map(name => name.trim());
    const isSigned = headers[platform.HeaderName.signature] !== undefined
        && !unforwarded.includes(platform.HeaderName.signature);
    if (isSuccess && !isSigned) {
        return "successful response without a signature";
    }
    return undefined;
};

const isRefusal = (response: http.IncomingMessage): boolean =>
    response.headers[platform.HeaderName.notRun] !== undefined || response.statusCode === misdirectedStatus;

/** Whether only the end of the connection marks the end of a response. */
const isCloseDelimited = ({ headers, statusCode = 0 }: http.IncomingMessage, method: string): boolean =>
    !framing.hasNoBody(method, statusCode) && headers["content-length"] === undefined
    && headers["transfer-encoding"] === undefined;

/**
 * Returns what the head of a response says of its upstream. An upstream that is leaving stays so, but the times of a hold-off and of a
 * warm-up have begun with the response: if it is sent once more, they must not begin again.
 */
const noticeOf = (
    response: http.IncomingMessage,
    mayBeRepeated: boolean,
): upstreamNotice.UpstreamNotice | undefined => {
    const notice = upstreamNotice.parseNotice(
        response.statusCode ?? 0,
        name => firstValue(response.headers[name]),
    );
    if (notice === undefined || !mayBeRepeated) {
        return notice;
    }
    return notice.isLeaving ? { isLeaving: true, holdOffMilliseconds: 0 } : undefined;
};

/** Applies what the head of a response says of the upstream and the connection; returns the upstream's load. */
const applyHead = (
    response: http.IncomingMessage,
    { connections, requestIdentifier, onNotice, onMalformedSlowness }: AttemptOptions,
    isNewConnection: boolean,
): scheduling.LoadReport | undefined => {
    const notice = noticeOf(response, !belongsTo(response, requestIdentifier, isNewConnection));
    if (notice !== undefined) {
        onNotice?.(notice);
    }
    const keepAliveSeconds = keepAliveTimeoutPattern.exec(firstValue(response.headers["keep-alive"]) ?? "")?.[1];
    if (keepAliveSeconds !== undefined) {
        connections.onKeepAliveTimeout(Number(keepAliveSeconds) * 1000);
    }
    const load = platform.parseLoad(firstValue(response.headers[platform.HeaderName.load]));
    if (load?.malformedSlowness !== undefined) {
        onMalformedSlowness?.(load.malformedSlowness);
    }
    return load;
};

/** Returns why a response cannot be the one to the request of an attempt; undefined if it can. */
const findAttemptFault = (
    response: http.IncomingMessage,
    { requestIdentifier }: AttemptOptions,
    isOnlyRequest: boolean,
    isInProtocol: boolean,
): string | undefined => {
    if (!isInProtocol) {
        return "the response is of another protocol";
    }
    return belongsTo(response, requestIdentifier, isOnlyRequest)
        ? findResponseFault(response)
        : "the response may belong to another request";
};

/** Returns a handler that does the same as another one, and never throws. */
type Guard = <Parameters extends unknown[]>(
    handler: (...parameters: Parameters) => void,
) => (...parameters: Parameters) => void;

/** Reports the end of a response whose end only the end of its connection marks, and does not let an irregular one complete it. */
const watchCloseDelimitedEnd = (
    response: http.IncomingMessage,
    guard: Guard,
    onCloseDelimitedEnd: AttemptOptions["onCloseDelimitedEnd"],
    isRequestSent: () => boolean,
): { onStreamed: () => void; } => {
    let bodyBytes = 0;
    let isStreamed = false;
    response.on("data", (chunk: Buffer) => {
        bodyBytes += chunk.length;
    });
    foundation.requireRegularEnd(
        response,
        guard(end => onCloseDelimitedEnd({ ...end, status: response.statusCode ?? 0, bodyBytes, isStreamed })),
        isRequestSent,
    );
    return {
        onStreamed: () => {
            isStreamed = true;
        },
    };
};

/** Opens the request of an attempt; the error is the reason why nothing can be sent. */
const openRequest = (options: AttemptOptions): tsResults.Result<http.ClientRequest, string> => {
    const { connections, body } = options;
    const framingHeaders = body.kind === "whole"
        ? (body.bytes.length > 0 || options.method === "POST" || options.method === "PUT"
            ? ["Content-Length", String(body.bytes.length)]
            : [])
        : ["Transfer-Encoding", "chunked"];
    try {
        return tsResults.Ok(http.request({
            agent: connections.agentFor(options.requestIdentifier),
            host: options.host,
            port: options.port,
            method: options.method,
            path: options.path,
            headers: [
                ...options.headers,
                ...framingHeaders,
                "Connection",
                "keep-alive",
            ] as unknown as http.OutgoingHttpHeaders,
        }));
    }
    catch (error) {
        return tsResults.Err((error as Error).message);
    }
};

/** Handlers of {@link collectBody}. */
interface BodyHandlers {
    guard: Guard;
    reservation: byteBudget.ByteReservation;
    /** Called with the whole body, or with its first bytes and the paused response. */
    onCollected: (body: Buffer, rest: http.IncomingMessage | undefined) => void;
    onFault: (reason: string) => void;
}

/** Reads a response until it is complete, or too large to be buffered. */
const collectBody = (
    response: http.IncomingMessage,
    { guard, reservation, onCollected, onFault }: BodyHandlers,
): void => {
    let chunks: Buffer[] = [];
    let size = 0;
    /** Returns the collected bytes, which a response that goes on must not keep. */
    const takeBytes = (): Buffer => {
        const bytes = Buffer.concat(chunks);
        chunks = [];
        return bytes;
    };
    const onData = guard((chunk: Buffer): void => {
        chunks.push(chunk);
        size += chunk.length;
        const isSmall = size <= byteBudget.unreservedBytes;
        if (isSmall || (size <= maxBufferedBytes && reservation.tryReserve(chunk.length))) {
            return;
        }
        if (response.headers[platform.HeaderName.signature] === undefined || isRefusal(response)) {
            // Only signed responses are this large; a refusal must be complete to be believed.
            onFault("large refusal, or large response without a signature");
            return;
        }
        if (!reservation.tryReserveStream()) {
            onFault("no memory for the response");
            return;
        }
        response.pause();
        response.off("data", onData);
        onCollected(takeBytes(), response);
    });
    response.on("data", onData);
    response.on(
        "end",
        guard(() => {
            if (response.complete) {
                onCollected(takeBytes(), undefined);
            }
            else {
                onFault("the response was interrupted");
            }
        }),
    );
    response.on("error", error => onFault(error.message));
};

/** Returns an attempt of which nothing was sent. */
const createUnsentAttempt = (reason: string): attemptResult.Attempt => ({
    result: Promise.resolve({ kind: "notRun", reason, isRefused: false, isMisdirected: false, report: undefined }),
    cancel: () => undefined,
    mayHaveBeenSent: () => false,
});

const sendBody = (request: http.ClientRequest, body: AttemptOptions["body"]): void => {
    if (body.kind === "whole") {
        request.end(body.bytes);
        return;
    }
    const { start, rest } = body;
    request.write(start);
    rest.pipe(request);
    rest.once("error", error => request.destroy(error));
    // Not a pipeline, which would destroy the caller's request, and with it the way for the response.
    request.once("close", () => requestBody.discardRest(rest));
};

/**
 * Starts an attempt: sends the request to the upstream and reads its response.
 *
 * @param options - the request, its upstream and the connections to it
 * @returns the attempt
 */
export const startAttempt = (options: AttemptOptions): attemptResult.Attempt => {
    const { timers, connections, failures } = options;
    const opened = openRequest(options);
    if (opened.err) {
        return createUnsentAttempt(opened.val);
    }
    const request = opened.val;
    let isConnected = false;
    let connection: net.Socket | undefined;
    let isNewConnection = false;
    let isFinished = false;
    let abortReason: string | undefined;
    let abort: (reason: string) => void = () => undefined;
    const result = new Promise<attemptResult.AttemptResult>(resolve => {
        const finish = (value: attemptResult.AttemptResult): void => {
            isFinished = true;
            connectTimeout.cancel();
            resolve(value);
        };
        const fail = (reason: string): void => {
            if (isFinished) {
                return;
            }
            finish(
                isConnected
                    ? { kind: "unknown", reason: abortReason ?? reason, isNewConnection }
                    : { kind: "notRun", reason, isRefused: false, isMisdirected: false, report: undefined },
            );
        };
        abort = reason => {
            if (isConnected) {
                abortReason = reason;
                // What the upstream says of itself may have arrived, but not been read.
                void eventLoopDelay.waitForPendingReads().then(() => {
                    request.destroy();
                    fail(reason);
                });
                return;
            }
            request.destroy(new Error(reason));
            // Without a connection yet, the request would end only when one becomes free.
            if (connection === undefined) {
                fail(reason);
            }
        };
        /** Ends the attempt if a handler throws, so that it always has a result. */
        const guard: Guard = handler => (...parameters) => {
            try {
                handler(...parameters);
            }
            catch (error) {
                failures.report("attempt", error, { request: options.requestIdentifier, host: options.host });
                request.destroy();
                fail("internal error");
            }
        };
        const startedAt = timers.now();
        const hasValidStatusLine = foundation.watchStatusLines(request);
        let endTransfer: (() => foundation.Transfer) | undefined;
        const connectTimeout = timers.onDelay(options.connectTimeoutMilliseconds, () => {
            if (!isConnected) {
                abort("connection timeout");
            }
        });
        request.on(
            "socket",
            guard(socket => {
                connection = socket;
                endTransfer = foundation.startTransfer(socket);
                if (!socket.connecting) {
                    isConnected = true;
                    return;
                }
                isNewConnection = true;
                socket.once(
                    "connect",
                    guard(() => {
                        isConnected = true;
                        options.onConnected(timers.now() - startedAt);
                    }),
                );
            }),
        );
        let currentResponse: http.IncomingMessage | undefined;
        request.on("error", error => {
            // Bytes behind a complete response end the connection, not the response.
            if (currentResponse?.complete === true) {
                return;
            }
            fail((error as NodeJS.ErrnoException).code ?? error.message);
            // Without a length, a reset connection would end the streamed rest as if it were complete.
            currentResponse?.destroy(error);
        });
        request.on(
            "close",
            guard(() => {
                if (endTransfer !== undefined) {
                    options.onTransferred(endTransfer());
                }
                fail("the connection was closed");
            }),
        );
        let interimResponses = 0;
        request.on(
            "information",
            guard(() => {
                interimResponses += 1;
                options.onInterim?.();
                if (options.onInterim === undefined && interimResponses > maxInterimResponses) {
                    request.destroy(new Error("too many interim responses"));
                }
            }),
        );
        request.on(
            "response",
            guard(response => {
                currentResponse = response;
                const isInProtocol = hasValidStatusLine();
                const report = isInProtocol ? applyHead(response, options, isNewConnection) : undefined;
                const isRequestUnfinished = !request.writableFinished;
                const closeDelimitedEnd = isCloseDelimited(response, options.method)
                    ? watchCloseDelimitedEnd(
                        response,
                        guard,
                        options.onCloseDelimitedEnd,
                        () => request.writableFinished,
                    )
                    : undefined;
                const isOnlyRequest = isNewConnection && !isRequestUnfinished;
                const fault = abortReason ?? findAttemptFault(response, options, isOnlyRequest, isInProtocol);
                if (fault !== undefined) {
                    response.on("error", () => undefined);
                    request.destroy();
                    fail(fault);
                    return;
                }
                const finishResponse = (body: Buffer, rest: http.IncomingMessage | undefined): void => {
                    if (isFinished || abortReason !== undefined) {
                        return;
                    }
                    if (isRequestUnfinished) {
                        // The upstream still expects the rest of the body on this connection.
                        // Not the response's socket, which Node.js has detached if the request was finished meanwhile.
                        const closeConnection = (): void => {
                            request.socket?.destroy();
                        };
                        if (rest === undefined) {
                            closeConnection();
                        }
                        else {
                            rest.once("end", closeConnection);
                        }
                    }
                    if (isRefusal(response)) {
                        if (!connections.onRefusal(connection, options.requestIdentifier)) {
                            fail("the refusal may be an earlier one");
                            return;
                        }
                        const isMisdirected = response.statusCode === misdirectedStatus;
                        finish({
                            kind: "notRun",
                            reason: `status ${response.statusCode}`,
                            isRefused: true,
                            isMisdirected,
                            report,
                        });
                        return;
                    }
                    if (rest !== undefined) {
                        closeDelimitedEnd?.onStreamed();
                    }
                    const { rawHeaders, statusCode = 0 } = response;
                    finish({
                        kind: "answered",
                        response: {
                            status: statusCode,
                            rawHeaders,
                            body,
                            declaredLength: response.headers["content-length"],
                            rest,
                        },
                        report,
                    });
                };
                collectBody(response, {
                    guard,
                    reservation: options.reservation,
                    onCollected: finishResponse,
                    onFault: reason => {
                        request.destroy();
                        fail(reason);
                    },
                });
            }),
        );
        guard(() => sendBody(request, options.body))();
    });
    return {
        result,
        cancel: reason => {
            if (!isFinished) {
                abort(reason);
            }
        },
        mayHaveBeenSent: () => isConnected,
    };
};
