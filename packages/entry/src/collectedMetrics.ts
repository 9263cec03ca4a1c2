/** Metrics that are read each time they are collected. */
import type * as foundation from "@mulberryseam/foundation";
import type * as relay from "@mulberryseam/relay";
import * as promClient from "prom-client";
import type * as sitePlaces from "./sitePlaces";
import type * as storeReturns from "./storeReturns";

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
    /** Era of the store, which rises with each return from an older copy; 0 before any response. */
    storeEra: () => number;
    /** What became of the records that such returns have lost. */
    storeReturns: () => readonly storeReturns.ReturnCount[];
    /** Bytes exchanged so far. */
    traffic: () => readonly foundation.TrafficTotal[];
    /** What is left in the failure domains that are evacuated. */
    evacuationRemains: () => readonly sitePlaces.EvacuationRemains[];
    /** What is known of how many requests the upstreams of each service hold. */
    capacities: () => readonly relay.ServiceCapacity[];
    /** Bytes of requests at the upstreams of each service. */
    outstandingBytes: () => ReadonlyMap<string, number>;
}

/** Values of a metric, each with its labels. */
type LabelledValues<Label extends string> = Iterable<readonly [Record<Label, string>, number]>;

/**
 * Adds the metrics that are read each time they are collected.
 *
 * @param registry - the metrics of the instance
 * @param gauges - reads the values
 * @param failures - counts the exceptions of the instance
 */
export const addCollectedMetrics = (
    registry: promClient.Registry,
    gauges: MetricsGauges,
    failures: foundation.FailureBoundary,
): void => {
    const registers = [registry];
    const addGauge = (name: string, help: string, read: () => number): void => {
        const gauge: promClient.Gauge = new promClient.Gauge({
            name,
            help,
            registers,
            collect: () => gauge.set(read()),
        });
    };
    const addServiceGauge = (name: string, help: string, read: () => Iterable<readonly [string, number]>): void => {
        const gauge: promClient.Gauge = new promClient.Gauge({
            name,
            help,
            labelNames: ["service"],
            registers,
            collect: () => {
                gauge.reset();
                for (const [service, value] of read()) {
                    gauge.set({ service }, value);
                }
            },
        });
    };
    const addCounter = <Label extends string>(
        name: string,
        help: string,
        labelNames: readonly Label[],
        read: () => LabelledValues<Label>,
    ): void => {
        const counter: promClient.Counter<Label> = new promClient.Counter<Label>({
            name,
            help,
            labelNames,
            registers,
            collect: () => {
                counter.reset();
                for (const [labels, value] of read()) {
                    counter.inc(labels, value);
                }
            },
        });
    };
    addServiceGauge(
        "mulberryseam_waiting_requests",
        "Requests that wait in the instance for room, by service.",
        gauges.waitingRequests,
    );
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
    addGauge(
        "mulberryseam_store_era",
        "Era of the store; it rises when the store returns from an older copy.",
        gauges.storeEra,
    );
    addCounter(
        "mulberryseam_returned_records_total",
        "Records that were lost when the store returned from an older copy, and what became of them.",
        ["topic", "outcome"],
        () => gauges.storeReturns().map(({ topic, outcome, count }) => [{ topic, outcome }, count] as const),
    );
    addCounter(
        "mulberryseam_traffic_bytes_total",
        "Bytes exchanged, by purpose, distance and direction.",
        ["purpose", "reach", "direction"],
        () =>
            gauges.traffic().flatMap(({ purpose, reach, sentBytes, receivedBytes }) => [
                [{ purpose, reach, direction: "sent" }, sentBytes] as const,
                [{ purpose, reach, direction: "received" }, receivedBytes] as const,
            ]),
    );
    const evacuationRemains: promClient.Gauge = new promClient.Gauge({
        name: "mulberryseam_evacuation_remaining",
        help:
            "Open requests of the instance to an evacuated failure domain, and keys still owned there, counted by the leader.",
        labelNames: ["failureDomain", "kind"],
        registers,
        collect: () => {
            evacuationRemains.reset();
            for (const { failureDomain, requests, keys } of gauges.evacuationRemains()) {
                evacuationRemains.set({ failureDomain, kind: "requests" }, requests);
                evacuationRemains.set({ failureDomain, kind: "keys" }, keys);
            }
        },
    });
    addServiceGauge(
        "mulberryseam_queue_capacity",
        "Requests that an upstream of a service is known to hold, by service; absent before any evidence.",
        () =>
            gauges.capacities().flatMap(({ service, requests }) =>
                requests === undefined ? [] : [[service, requests] as const]
            ),
    );
    addCounter(
        "mulberryseam_silent_attempts_total",
        "Attempts that upstreams have not responded to although a response was due, by service.",
        ["service"],
        () => gauges.capacities().map(({ service, silentAttempts }) => [{ service }, silentAttempts] as const),
    );
    addServiceGauge(
        "mulberryseam_outstanding_bytes",
        "Bytes of requests above 8 KB at upstreams, by service.",
        gauges.outstandingBytes,
    );
    addCounter(
        "mulberryseam_internal_errors_total",
        "Exceptions that were contained, by the part of the instance.",
        ["part"],
        () => [...failures.counts()].map(([part, count]) => [{ part }, count] as const),
    );
};
