/** Metrics of an instance, served in the Prometheus text format. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as http from "node:http";
import * as promClient from "prom-client";
import type * as sitePlaces from "./sitePlaces";

/** Values that are read each time the metrics are collected. */
export interface MetricsGauges {
    openRequests: () => number;
    /** Requests of each service that wait for room at its upstreams. */
    waitingRequests: () => ReadonlyMap<string, number>;
    /** Open connections of callers. */
    callerConnections: () => number;
    documentVersion: () => number;
    isLeading: () => boolean;
    upstreams: () => number;
    /** Upstreams that count as cold, of services that limit the rate of requests to them. */
    coldUpstreams: () => number;
    /** Time since the registry was last read, in milliseconds. */
    registryAge: () => number;
    /** Event loop delay of the process, in milliseconds. */
    eventLoopDelay: () => number;
    /** Average slowness of the machines, in percent, of each service whose upstreams report it. */
    averageSlowness: () => readonly (readonly [string, number])[];
    /** Multiple of the usual service time within which nearly every response comes, of each service with a known tail. */
    tailFactors: () => readonly (readonly [string, number])[];
    /** Bytes exchanged so far. */
    traffic: () => readonly foundation.TrafficTotal[];
    /** What is left in the failure domains that are evacuated. */
    evacuationRemains: () => readonly sitePlaces.EvacuationRemains[];
    /** What is known of how many requests the upstreams of each service hold. */
    capacities: () => readonly relay.ServiceCapacity[];
    /** Bytes of requests at the upstreams of each service. */
    outstandingBytes: () => ReadonlyMap<string, number>;
}

/** Records requests in the metrics of an instance. */
export interface EntryMetrics {
    onRequestFinished: (result: relay.FinishedRequest) => void;
}

/** Port of the metrics; also configured in `deploy/system.toml`. */
export const metricsPort = 9464;
const metricsPath = "/metrics";
/** Connections that are served at the same time. */
const maxReaders = 16;
/** Time without traffic after which a connection is closed, in milliseconds. */
const readerTimeoutMilliseconds = 5000;
/** Bucket bounds of the wait histogram, in seconds: most waits are shorter than the work of a request. */
const waitBuckets = [0.005, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];
/** Bucket bounds of the request duration histogram, in seconds, chosen around the target latencies of the routes. */
const durationBuckets = [0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 3, 6];

/**
 * Serves metrics until the owner is disposed of.
 *
 * @param host - IP address to listen on
 * @param gauges - values read each time the metrics are collected
 * @param log - receives an event if the port is unavailable; the instance then runs without metrics
 * @param failures - records errors of the server, and counts the exceptions of the instance
 * @param owner - closes the server when disposed
 * @returns the metrics, to which finished requests are reported
 */
export const startMetrics = async (
    host: string,
    gauges: MetricsGauges,
    log: foundation.EventLog,
    failures: foundation.FailureBoundary,
    owner: foundation.Owner,
): Promise<EntryMetrics> => {
    const registry = new promClient.Registry();
    const registers = [registry];
    const requests = new promClient.Counter({
        name: "mulberryseam_requests_total",
        help: "Requests that ended, by route, status and reason; the reason is empty when an upstream answered.",
        labelNames: ["route", "status", "reason"],
        registers,
    });
    const durations = new promClient.Histogram({
        name: "mulberryseam_request_duration_seconds",
        help: "Time from a request's head to its end.",
        labelNames: ["route"],
        buckets: durationBuckets,
        registers,
    });
    const attempts = new promClient.Counter({
        name: "mulberryseam_attempts_total",
        help: "Attempts at upstreams.",
        labelNames: ["route"],
        registers,
    });
    const heldBack = new promClient.Counter({
        name: "mulberryseam_requests_held_back_total",
        help: "Requests that an upstream did not get because it is or may be cold, by route and status.",
        labelNames: ["route", "status"],
        registers,
    });
    const waits = new promClient.Histogram({
        name: "mulberryseam_wait_seconds",
        help: "Time that requests waited in the instance for room, by service and whether they were refused then.",
        labelNames: ["service", "refused"],
        buckets: waitBuckets,
        registers,
    });
    const refusals = new promClient.Counter({
        name: "mulberryseam_refusals_total",
        help: "Requests refused for a lack of room, by route and whether the caller had come back after a refusal.",
        labelNames: ["route", "returned"],
        registers,
    });
    const waitingRequests: promClient.Gauge = new promClient.Gauge({
        name: "mulberryseam_waiting_requests",
        help: "Requests that wait in the instance for room, by service.",
        labelNames: ["service"],
        registers,
        collect: () => {
            waitingRequests.reset();
            for (const [service, count] of gauges.waitingRequests()) {
                waitingRequests.set({ service }, count);
            }
        },
    });
    const addGauge = (name: string, help: string, read: () => number): void => {
        const gauge: promClient.Gauge = new promClient.Gauge({
            name,
            help,
            registers,
            collect: () => gauge.set(read()),
        });
    };
    addGauge("mulberryseam_open_requests", "Requests that have not ended.", gauges.openRequests);
    addGauge("mulberryseam_caller_connections", "Open connections of callers.", gauges.callerConnections);
    addGauge(
        "mulberryseam_start_time_seconds",
        "Start of the process, in seconds since the epoch; it rises when the process starts again.",
        () => performance.timeOrigin / 1000,
    );
    addGauge(
        "mulberryseam_document_version",
        "Version of the document in force; 0 before any.",
        gauges.documentVersion,
    );
    addGauge(
        "mulberryseam_leader",
        "1 while the instance leads key ownership.",
        () => gauges.isLeading() ? 1 : 0,
    );
    addGauge("mulberryseam_upstreams", "Upstreams that are known.", gauges.upstreams);
    addGauge("mulberryseam_cold_upstreams", "Upstreams that count as cold.", gauges.coldUpstreams);
    addGauge(
        "mulberryseam_registry_age_seconds",
        "Time since the registry was last read.",
        () => gauges.registryAge() / 1000,
    );
    addGauge(
        "mulberryseam_event_loop_delay_seconds",
        "How far the process is behind with its work.",
        () => gauges.eventLoopDelay() / 1000,
    );
    addGauge(
        "mulberryseam_memory_bytes",
        "Resident memory of the process.",
        () => process.memoryUsage.rss(),
    );
    const addServiceGauge = (name: string, help: string, read: () => readonly (readonly [string, number])[]): void => {
        const gauge: promClient.Gauge = new promClient.Gauge({
            name,
            help,
            labelNames: ["service"],
            registers,
            collect: () => {
                gauge.reset();
                read().forEach(([service, value]) => gauge.set({ service }, value));
            },
        });
    };
    addServiceGauge(
        "mulberryseam_machine_slowness",
        "Average slowness of the machines of a service, as its upstreams report it; 1 is usual.",
        () => gauges.averageSlowness().map(([service, percent]) => [service, percent / 100]),
    );
    addServiceGauge(
        "mulberryseam_service_tail_factor",
        "Multiple of the usual service time within which nearly every response comes, of services with a known tail.",
        gauges.tailFactors,
    );
    const trafficBytes: promClient.Counter = new promClient.Counter({
        name: "mulberryseam_traffic_bytes_total",
        help: "Bytes exchanged, by purpose, distance and direction.",
        labelNames: ["purpose", "reach", "direction"],
        registers,
        collect: () => {
            trafficBytes.reset();
            for (const { purpose, reach, sentBytes, receivedBytes } of gauges.traffic()) {
                trafficBytes.inc({ purpose, reach, direction: "sent" }, sentBytes);
                trafficBytes.inc({ purpose, reach, direction: "received" }, receivedBytes);
            }
        },
    });
    const evacuationRemains: promClient.Gauge = new promClient.Gauge({
        name: "mulberryseam_evacuation_remaining",
        help:
            "Open requests of the instance to an evacuated failure domain, and keys still owned there, counted by the leader.",
        labelNames: ["failureDomain", "kind"],
        registers,
        collect: () => {
            evacuationRemains.reset();
            for (const { failureDomain, requests: open, keys } of gauges.evacuationRemains()) {
                evacuationRemains.set({ failureDomain, kind: "requests" }, open);
                evacuationRemains.set({ failureDomain, kind: "keys" }, keys);
            }
        },
    });
    const queueCapacity: promClient.Gauge = new promClient.Gauge({
        name: "mulberryseam_queue_capacity",
        help: "Requests that an upstream of a service is known to hold, by service; absent before any evidence.",
        labelNames: ["service"],
        registers,
        collect: () => {
            queueCapacity.reset();
            for (const { service, requests: held } of gauges.capacities()) {
                if (held !== undefined) {
                    queueCapacity.set({ service }, held);
                }
            }
        },
    });
    const silentAttempts: promClient.Counter = new promClient.Counter({
        name: "mulberryseam_silent_attempts_total",
        help: "Attempts that upstreams have not responded to although a response was due, by service.",
        labelNames: ["service"],
        registers,
        collect: () => {
            silentAttempts.reset();
            for (const { service, silentAttempts: count } of gauges.capacities()) {
                silentAttempts.inc({ service }, count);
            }
        },
    });
    const outstandingBytes: promClient.Gauge = new promClient.Gauge({
        name: "mulberryseam_outstanding_bytes",
        help: "Bytes of requests above 8 KB at upstreams, by service.",
        labelNames: ["service"],
        registers,
        collect: () => {
            outstandingBytes.reset();
            gauges.outstandingBytes().forEach((bytes, service) => outstandingBytes.set({ service }, bytes));
        },
    });
    const internalErrors: promClient.Counter = new promClient.Counter({
        name: "mulberryseam_internal_errors_total",
        help: "Exceptions that were contained, by the part of the instance.",
        labelNames: ["part"],
        registers,
        collect: () => {
            internalErrors.reset();
            for (const [part, count] of failures.counts()) {
                internalErrors.inc({ part }, count);
            }
        },
    });
    let collection: Promise<string> | undefined;
    /** Collects the metrics once for all readers that ask for them meanwhile. */
    const collect = (): Promise<string> => {
        collection ??= registry.metrics().finally(() => {
            collection = undefined;
        });
        return collection;
    };
    const server = http.createServer((request, response) => {
        if (request.url !== metricsPath) {
            foundation.sendWhole(response, 404, {}, "");
            return;
        }
        const respond = (status: number, text: string): void =>
            foundation.sendWhole(response, status, { "content-type": registry.contentType }, text);
        const collected = collect().then(text => respond(200, text), error => {
            failures.report("metrics", error);
            respond(500, "");
        });
        failures.watch("metrics", collected);
    });
    // Readers that send many requests, or read nothing, must not use up the memory of the process.
    server.maxConnections = maxReaders;
    server.maxRequestsPerSocket = 1;
    server.timeout = readerTimeoutMilliseconds;
    owner.onCleanup(() => {
        server.close();
        server.closeAllConnections();
    });
    try {
        await foundation.listenOn(server, host, metricsPort, error => failures.report("metrics", error));
    }
    catch (error) {
        log.write("metrics-unavailable", { port: metricsPort, reason: (error as Error).message });
    }
    return {
        onRequestFinished: result => {
            const { route, status, reason, durationMilliseconds: milliseconds, attempts: count, waiting } = result;
            requests.inc({ route, status: String(status), reason });
            if (result.wasHeldBack) {
                heldBack.inc({ route, status: String(status) });
            }
            durations.observe({ route }, milliseconds / 1000);
            attempts.inc({ route }, count);
            if (waiting !== undefined) {
                waits.observe(
                    { service: waiting.service, refused: String(waiting.isRefused) },
                    waiting.milliseconds / 1000,
                );
            }
            if (waiting?.isRefused === true) {
                refusals.inc({ route, returned: String(waiting.hasReturned) });
            }
        },
    };
};
