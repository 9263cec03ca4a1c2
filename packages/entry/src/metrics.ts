/** Metrics of an instance, served in the Prometheus text format. */
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import * as promClient from "prom-client";
import * as collectedMetrics from "./collectedMetrics";
import * as requestMetrics from "./requestMetrics";

/** Values that are read each time the metrics are collected. */
export type MetricsGauges = collectedMetrics.MetricsGauges;

/** Records requests in the metrics of an instance. */
export type EntryMetrics = requestMetrics.EntryMetrics;

/** Port of the metrics; also configured in `deploy/system.toml`. */
export const metricsPort = 9464;
const metricsPath = "/metrics";
/** Connections that are served at the same time. */
const maxReaders = 16;
/** Time without traffic after which a connection is closed, in milliseconds. */
const readerTimeoutMilliseconds = 5000;

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
    const requests = requestMetrics.createRequestMetrics(registry);
    collectedMetrics.addCollectedMetrics(registry, gauges, failures);
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
    return requests;
};
