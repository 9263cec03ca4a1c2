/** Metrics sent as StatsD datagrams. */
import * as hotShots from "hot-shots";
import type * as cleanup from "./cleanup";

/** Where metrics go. */
export interface MetricsOptions {
    /** IP number of the collector. */
    host: string;
    /** UDP port of the collector. */
    port: number;
    /** Tags put on every metric. */
    tags: Record<string, string>;
}

/** Counts, gauges and timings, each with optional tags. */
export interface Metrics {
    count: (name: string, amount: number, tags?: Record<string, string>) => void;
    gauge: (name: string, value: number, tags?: Record<string, string>) => void;
    timing: (name: string, milliseconds: number, tags?: Record<string, string>) => void;
}

const metricPrefix = "mulberryseam.";
const maximumDatagramBytes = 1400;

/**
 * Creates metrics that are sent to a StatsD collector; a collector that is away costs nothing but the datagrams.
 *
 * @param options - where metrics go
 * @param owner - closes the socket when disposed of
 * @returns the metrics
 */
export const createMetrics = (options: MetricsOptions, owner: cleanup.Owner): Metrics => {
    const client = new hotShots.StatsD({
        host: options.host,
        port: options.port,
        prefix: metricPrefix,
        globalTags: options.tags,
        maxBufferSize: maximumDatagramBytes,
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
 * Creates metrics that go nowhere.
 *
 * @returns the metrics
 */
export const createSilentMetrics = (): Metrics => ({
    count: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
});
