/** Metrics, sent as StatsD datagrams. */
import * as hotShots from "hot-shots";
import type * as cleanup from "./cleanup";

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
    /** IP address of the collector. */
    host: string;
    /** UDP port of the collector. */
    port: number;
    /** Tags added to every metric. */
    tags: Record<string, string>;
}

/** Records counters, gauges and timings, each with optional tags. */
export interface Metrics {
    count: (name: string, amount: number, tags?: Record<string, string>) => void;
    gauge: (name: string, value: number, tags?: Record<string, string>) => void;
    timing: (name: string, milliseconds: number, tags?: Record<string, string>) => void;
}

const metricPrefix = "mulberryseam.";
const maxDatagramBytes = 1400;

/**
 * Creates metrics that are sent to a StatsD collector. If the collector is unreachable, only the datagrams are lost.
 *
 * @param options - address of the collector and common tags
 * @param owner - closes the socket when disposed
 * @returns the metrics
 */
export const createMetrics = (options: MetricsOptions, owner: cleanup.Owner): Metrics => {
    const client = new hotShots.StatsD({
        host: options.host,
        port: options.port,
        prefix: metricPrefix,
        globalTags: options.tags,
        maxBufferSize: maxDatagramBytes,
        errorHandler: () => undefined,
    });
    owner.onCleanup(() => new Promise<void>(resolve => client.close(() => resolve())));
    return {
        count: (name, amount, tags) => client.increment(name, amount, tags ?? {}),
        gauge: (name, value, tags) => client.gauge(name, value, tags ?? {}),
        timing: (name, milliseconds, tags) => client.timing(name, milliseconds, tags ?? {}),
    };
};

/**
 * Creates metrics that are discarded.
 *
 * @returns the metrics
 */
export const createSilentMetrics = (): Metrics => ({
    count: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
});
