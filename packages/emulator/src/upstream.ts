/** Emulates an upstream that serves requests without a key and requests for keys granted to it. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import type * as net from "node:net";
import * as coldRequests from "./coldRequests";
import * as executionQueue from "./executionQueue";
import * as heldKeys from "./heldKeys";
import * as malformedAnswers from "./malformedAnswers";

/** How an emulated upstream handles requests; it obeys lease commands in every mode but one. */
export const UpstreamMode = {
    serving: "serving",
    /** Neither executes nor refuses requests, like an upstream without room for them. */
    silent: "silent",
    /** Executes nothing and sends bytes without end. */
    endless: "endless",
    /** Executes requests, and sends some of the responses malformed. */
    malformed: "malformed",
    /** Executes requests, and announces in every response that it is leaving. */
    leaving: "leaving",
    /** Refuses every request with status 503 and the headers of {@link EmulatedUpstreamOptions.busyHeaders}. */
    busy: "busy",
    /** Executes requests, and responds to lease commands as another process at its address would, without obeying them. */
    misdirecting: "misdirecting",
} as const;

/** A value of {@link UpstreamMode}. */
export type UpstreamModeValue = typeof UpstreamMode[keyof typeof UpstreamMode];

/** A running emulated upstream. */
export interface EmulatedUpstream {
    identifier: string;
    port: number;
    startedAt: number;
    /** Whether the upstream currently holds an unexpired grant for a key. */
    ownsKey: (key: number) => boolean;
    /** Returns the number of requests executed. */
    executionCount: () => number;
    setMode: (mode: UpstreamModeValue) => void;
    /** Starts or ends a cold period, in any mode; its requests are counted, and too many of them in a second stop the upstream. */
    setCold: (isCold: boolean) => void;
    /** Returns the most requests that reached it within one second of a cold period; those answered with 421 do not count. */
    maxColdRequestsInOneSecond: () => number;
    /** Announces that the upstream is leaving, and stops it after a time. */
    leave: (servingMilliseconds: number) => Promise<void>;
    /** Stops the upstream immediately and closes its connections. */
    stop: () => Promise<void>;
}

/** A request whose execution starts on an upstream. */
export interface EmulatedExecution {
    upstream: EmulatedUpstream;
    requestIdentifier: string;
    method: string;
    key: number | undefined;
}

/** A request of a caller that has reached an upstream, and the response to it; times of `performance.now()`. */
export interface EmulatedArrival {
    upstream: EmulatedUpstream;
    requestIdentifier: string;
    arrivedAt: number;
    /** Undefined until the response is sent. */
    answeredAt: number | undefined;
    /** Status of the response; 0 until it is sent. */
    status: number;
    /** Whether the response announces that the upstream is leaving. */
    isLeaving: boolean;
    /** For how long the response asks for no further requests, in milliseconds; 0 if it does not. */
    retryAfterMilliseconds: number;
}

/** Configures an emulated upstream. */
export interface EmulatedUpstreamOptions {
    /** Returns the service time of the next request, in milliseconds; 0 by default. */
    serviceTimeMilliseconds?: () => number;
    /** Times the execution of requests; real time by default. */
    timers?: foundation.TimerService;
    /** Returns the current slowness of the machine in percent, which load reports then state and service times follow. */
    slownessPercent?: () => number;
    /** Called when the execution of a request starts. */
    onExecution?: (execution: EmulatedExecution) => void;
    /** Chooses the responses that are malformed. */
    random?: foundation.Random;
    /** Called when a request of a caller arrives; the record is completed once the response is sent. */
    onArrival?: (arrival: EmulatedArrival) => void;
    /** Headers of the responses in busy mode; by default the request was not executed, and may be repeated after 1 s. */
    busyHeaders?: http.OutgoingHttpHeaders;
    /** Requests within one second of a cold period that the upstream survives; not limited by default. */
    maxColdRequestsPerSecond?: number;
    /** Slots and queue; without it, every request is executed at once. */
    queue?: executionQueue.EmulatedQueue;
    /** Called when a request of a caller finds no room in the queue. */
    onFull?: (arrival: EmulatedArrival) => void;
}

/** Interval and size of what an upstream in endless mode sends, in milliseconds and bytes. */
const endlessIntervalMilliseconds = 5;
const endlessChunkBytes = 16 * 1024;
const defaultBusyHeaders: http.OutgoingHttpHeaders = { "not-executed": "1", "retry-after": "1" };
const leaseCommandPrefix = "/mulberryseam/";
const conflictStatus = 409;
const misdirectedStatus = 421;
const unavailableStatus = 503;

const sendEndlessly = (
    { socket }: http.IncomingMessage,
    response: http.ServerResponse,
    headers: http.OutgoingHttpHeaders,
): void => {
    if (socket.destroyed) {
        return;
    }
    response.writeHead(200, headers);
    const interval = setInterval(
        () => response.write(Buffer.alloc(endlessChunkBytes)),
        endlessIntervalMilliseconds,
    );
    // A response that waits for the one before it has no connection yet, and does not report that it closes.
    socket.once("close", () => clearInterval(interval));
};

/**
 * Starts an emulated upstream on a free port of 127.0.0.1.
 *
 * @param identifier - instance name; requests whose `target-instance` header differs get status 421
 * @param owner - stops the upstream on cleanup
 * @param options - service time and execution callback
 * @returns the running upstream
 */
export const startEmulatedUpstream = async (
    identifier: string,
    owner: foundation.Owner,
    options: EmulatedUpstreamOptions = {},
): Promise<EmulatedUpstream> => {
    const held = heldKeys.createHeldKeys();
    const lastIdentifiers = new WeakMap<net.Socket, string>();
    const random = options.random ?? foundation.createRandom(0);
    /** Requests of callers, by their responses. */
    const arrivals = new WeakMap<http.ServerResponse, EmulatedArrival>();
    const queue = executionQueue.createExecutionQueue(options.queue);
    /** Connections on which nothing is answered any more. */
    const silencedSockets = new WeakSet<net.Socket>();
    let executionCount = 0;
    const cold = coldRequests.createColdRequests(options.maxColdRequestsPerSecond ?? Infinity);
    let mode: UpstreamModeValue = UpstreamMode.serving;
    const sendResponse = (
        response: http.ServerResponse,
        status: number,
        headers: http.OutgoingHttpHeaders,
        text = "",
    ): void => {
        const isLeaving = mode === UpstreamMode.leaving;
        const slowness = headers["server-load"] === undefined ? undefined : options.slownessPercent?.();
        const sentHeaders = {
            ...headers,
            ...(isLeaving ? { "server-leaving": "1" } : {}),
            ...(slowness === undefined ? {} : { "server-load": `${String(headers["server-load"])},${slowness}` }),
        };
        const retryAfterMilliseconds = Number(headers["retry-after"] ?? 0) * 1000;
        Object.assign(arrivals.get(response) ?? {}, {
            answeredAt: performance.now(),
            status,
            isLeaving,
            retryAfterMilliseconds,
        });
        const send = (): void => {
            response.writeHead(status, { ...sentHeaders, "content-length": text.length });
            response.end(text);
        };
        const socket = response.socket ?? undefined;
        if (mode !== UpstreamMode.malformed || socket === undefined || socket.destroyed) {
            send();
            return;
        }
        const earlierIdentifier = lastIdentifiers.get(socket);
        lastIdentifiers.set(socket, String(headers["request-id"]));
        const answer = { status, headers: sentHeaders, text, earlierIdentifier, send };
        malformedAnswers.sendMalformedAnswer(socket, answer, random);
    };
    const recordArrival = (request: http.IncomingMessage, response: http.ServerResponse): EmulatedArrival => {
        const arrival: EmulatedArrival = {
            upstream,
            requestIdentifier: String(request.headers["request-id"]),
            arrivedAt: performance.now(),
            answeredAt: undefined,
            status: 0,
            isLeaving: false,
            retryAfterMilliseconds: 0,
        };
        arrivals.set(response, arrival);
        options.onArrival?.(arrival);
        return arrival;
    };
    const executeFor = (milliseconds: number, onEnd: () => void): void => {
        if (options.timers === undefined) {
            setTimeout(onEnd, milliseconds);
        }
        else {
            options.timers.onDelay(milliseconds, onEnd);
        }
    };
    const server = http.createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", chunk => chunks.push(chunk as Buffer));
        request.on("end", () => {
            const targetInstance = request.headers["target-instance"];
            const echoedIdentifier = request.headers["request-id"];
            const commonHeaders = {
                ...(echoedIdentifier === undefined ? {} : { "request-id": echoedIdentifier }),
                "server-load": queue.load(),
            };
            if (silencedSockets.has(request.socket)) {
                return;
            }
            const isLeaseCommand = request.url?.startsWith(leaseCommandPrefix) === true;
            const isMisdirected = targetInstance !== undefined && targetInstance !== identifier;
            if (isMisdirected || (isLeaseCommand && mode === UpstreamMode.misdirecting)) {
                sendResponse(response, misdirectedStatus, commonHeaders);
                return;
            }
            if (request.url === "/mulberryseam/grant") {
                const isGranted = held.grant(JSON.parse(Buffer.concat(chunks).toString()) as heldKeys.LeaseCommandBody);
                sendResponse(response, isGranted ? 200 : conflictStatus, {});
                return;
            }
            if (request.url === "/mulberryseam/release") {
                held.release(JSON.parse(Buffer.concat(chunks).toString()) as heldKeys.LeaseCommandBody);
                sendResponse(response, 200, { "duty-handover": `from ${identifier}` });
                return;
            }
            const arrival = recordArrival(request, response);
            const key = request.headers["shard-key"];
            const isKeyHeld = key === undefined || held.owns(Number(key));
            if (isKeyHeld && !cold.onRequest()) {
                void stop();
                return;
            }
            const signature = { "response-signature": `signed by ${identifier}` };
            if (mode === UpstreamMode.silent) {
                return;
            }
            if (mode === UpstreamMode.busy) {
                sendResponse(response, unavailableStatus, {
                    ...commonHeaders,
                    ...options.busyHeaders ?? defaultBusyHeaders,
                });
                return;
            }
            if (mode === UpstreamMode.endless) {
                sendEndlessly(request, response, { ...commonHeaders, ...signature });
                return;
            }
            if (!isKeyHeld) {
                sendResponse(response, misdirectedStatus, { ...commonHeaders, "not-executed": "1" });
                return;
            }
            if (queue.isFull()) {
                silencedSockets.add(request.socket);
                options.onFull?.(arrival);
                return;
            }
            const requestIdentifier = String(request.headers["request-id"]);
            queue.add(finish => {
                // The key may have been released or granted to another upstream while the request waited.
                if (key !== undefined && !held.owns(Number(key))) {
                    finish();
                    sendResponse(response, misdirectedStatus, { ...commonHeaders, "not-executed": "1" });
                    return;
                }
                executionCount += 1;
                options.onExecution?.({
                    upstream,
                    requestIdentifier,
                    method: request.method ?? "",
                    key: key === undefined ? undefined : Number(key),
                });
                const serviceTimeMilliseconds = (options.serviceTimeMilliseconds?.() ?? 0)
                    * (options.slownessPercent?.() ?? 100) / 100;
                executeFor(serviceTimeMilliseconds, () => {
                    const signedHeaders = { ...commonHeaders, ...signature, "server-load": queue.load() };
                    finish();
                    sendResponse(response, 200, signedHeaders, `answer to ${requestIdentifier}`);
                });
            });
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
        ownsKey: held.owns,
        executionCount: () => executionCount,
        setMode: newMode => {
            mode = newMode;
        },
        setCold: cold.setCold,
        maxColdRequestsInOneSecond: cold.maxInOneSecond,
        leave: async servingMilliseconds => {
            mode = UpstreamMode.leaving;
            await new Promise(resolve => setTimeout(resolve, servingMilliseconds));
            await stop();
        },
        stop,
    };
    return upstream;
};
