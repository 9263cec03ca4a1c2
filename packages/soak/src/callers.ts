/** Simulated callers that send requests at a constant rate and reuse open connections until the instance's process exits. */
import type * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import * as documents from "./documents";
import type * as invariantChecker from "./invariantChecker";

/** Configures the callers. */
export interface CallersOptions {
    random: foundation.Random;
    /** Chooses the requests on routes that only some versions of the document have. */
    additionalRandom: foundation.Random;
    /** Returns the names and addresses of the instances that currently accept callers. */
    instances: () => readonly { name: string; host: string; port: number; }[];
    requestsPerSecond: number;
    keyCount: number;
    now: () => number;
}

/** Handle of the running callers. */
export interface Callers {
    /** Returns the records of completed requests, including failed ones. */
    records: () => readonly invariantChecker.CallerRecord[];
    /** Adds the record of a request that was sent on a connection of its own. */
    addRecord: (record: invariantChecker.CallerRecord) => void;
    /** Stops sending and waits for all pending requests to complete. */
    stop: () => Promise<void>;
}

/** Fraction of requests sent as POST; the others are GET requests with a key. */
const postRatio = 0.4;
/** Requests on routes that only some versions of the document have, as a fraction of the others. */
const additionalRatio = 0.1;
const deadlineMilliseconds = 1500;
/** Socket timeout of a caller, in milliseconds; longer than any wait that the product's guarantees permit. */
const maxWaitMilliseconds = 8000;

const firstValue = (value: string | string[] | undefined): string | undefined =>
    Array.isArray(value) ? value[0] : value;

/**
 * Starts sending requests.
 *
 * @param options - target instances, request rate, key range and randomness
 * @returns the handle that exposes the records and stops the callers
 */
export const startCallers = (options: CallersOptions): Callers => {
    const { now } = options;
    const records: invariantChecker.CallerRecord[] = [];
    const pendingRequests = new Set<Promise<void>>();
    const agent = new http.Agent({ keepAlive: true });
    let requestCount = 0;

    const sendRequest = (random: foundation.Random, choosePath: (isPost: boolean) => string): Promise<void> =>
        new Promise(resolve => {
            const instances = options.instances();
            const instance = instances[random.below(Math.max(1, instances.length))];
            if (instance === undefined) {
                resolve();
                return;
            }
            requestCount += 1;
            const isPost = random.fraction() < postRatio;
            const record: invariantChecker.CallerRecord = {
                identifier: `request-${requestCount}`,
                method: isPost ? "POST" : "GET",
                path: choosePath(isPost),
                instance: instance.name,
                sentAt: now(),
                endedAt: 0,
                status: 0,
                hasResponse: false,
                isUnusual: false,
                echoedIdentifier: undefined,
                isSigned: false,
                body: "",
            };
            const finishRecord = (): void => {
                if (record.endedAt === 0) {
                    record.endedAt = now();
                    records.push(record);
                    resolve();
                }
            };
            const request = http.request({
                agent,
                host: instance.host,
                port: instance.port,
                method: record.method,
                path: record.path,
                headers: {
                    "host": "site.example",
                    "request-id": record.identifier,
                    "request-deadline-ms": String(deadlineMilliseconds),
                    ...(isPost ? { "content-length": 5 } : { "shard-key": random.below(options.keyCount) }),
                },
            }, response => {
                record.hasResponse = true;
                response.on("data", chunk => {
                    record.body += String(chunk);
                });
                response.on("end", () => {
                    if (response.complete) {
                        record.status = response.statusCode ?? 0;
                        record.echoedIdentifier = firstValue(response.headers["request-id"]);
                        record.isSigned = response.headers["response-signature"] !== undefined;
                    }
                });
                response.on("close", finishRecord);
            });
            request.setTimeout(maxWaitMilliseconds, () => request.destroy());
            request.on("error", finishRecord);
            request.on("close", finishRecord);
            request.end(isPost ? "order" : undefined);
        });

    const { keyed, unkeyed, additionalKeyed } = documents.ServiceName;
    const choosePermanentPath = (isPost: boolean): string => `/${isPost ? unkeyed : keyed}/1`;
    const chooseAdditionalPath = (): string =>
        options.additionalRandom.below(2) === 0
            ? `/${additionalKeyed}/1`
            : `${documents.additionalPrefix(options.additionalRandom.below(documents.additionalRouteCount))}1`;
    const trackRequest = (pendingRequest: Promise<void>): void => {
        pendingRequests.add(pendingRequest);
        void pendingRequest.then(() => pendingRequests.delete(pendingRequest));
    };
    const timer = setInterval(() => {
        trackRequest(sendRequest(options.random, choosePermanentPath));
        if (options.additionalRandom.fraction() < additionalRatio) {
            trackRequest(sendRequest(options.additionalRandom, chooseAdditionalPath));
        }
    }, 1000 / options.requestsPerSecond);

    return {
        /** Returns the records of completed requests, including failed ones. */
        records: () => records,
        addRecord: record => {
            records.push(record);
        },
        stop: async () => {
            clearInterval(timer);
            await Promise.all(pendingRequests);
            agent.destroy();
        },
    };
};
