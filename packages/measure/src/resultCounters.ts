/** Counts responses by outcome and summarizes measured values. */
import type * as site from "@mulberryseam/site";
import * as hdr from "hdr-histogram-js";
import type * as scenario from "./scenario";

/** Counts the responses of one rank. */
export interface ResultCounters {
    recordResponse: (response: site.CallerResponse) => void;
    answeredCount: () => number;
    measurements: () => scenario.Measurements;
}

const maxMicroseconds = 120_000_000;

/**
 * Creates result counters.
 *
 * @param targetMilliseconds - the maximum latency of a response that counts as within the target
 * @returns counters without responses
 */
export const createResultCounters = (targetMilliseconds: number): ResultCounters => {
    const histogram = hdr.build({ highestTrackableValue: maxMicroseconds, numberOfSignificantValueDigits: 3 });
    const counts = {
        offered: 0,
        answered: 0,
        notRun: 0,
        unknown: 0,
        broken: 0,
        withinTarget: 0,
        truncated: 0,
        mismatched: 0,
    };
    return {
        recordResponse: response => {
            counts.offered += 1;
            counts.truncated += response.isCorrupted ? 1 : 0;
            counts.mismatched += response.isMisdelivered ? 1 : 0;
            if (response.outcome === "answered" && response.status === 200) {
                counts.answered += 1;
                counts.withinTarget += response.milliseconds <= targetMilliseconds ? 1 : 0;
                histogram.recordValue(Math.min(maxMicroseconds, Math.round(response.milliseconds * 1000)));
            }
            else if (response.outcome === "not-run") {
                counts.notRun += 1;
            }
            else if (response.outcome === "unknown") {
                counts.unknown += 1;
            }
            else {
                counts.broken += 1;
            }
        },
        answeredCount: () => counts.answered,
        measurements: () => ({
            offered: counts.offered,
            answered: counts.answered,
            notRun: counts.notRun,
            unknown: counts.unknown,
            broken: counts.broken,
            withinTargetShare: counts.offered === 0 ? 0 : round(counts.withinTarget / counts.offered, 4),
            latencyMilliseconds: {
                p50: round(histogram.getValueAtPercentile(50) / 1000, 2),
                p99: round(histogram.getValueAtPercentile(99) / 1000, 2),
            },
            cut: counts.truncated,
            crossed: counts.mismatched,
        }),
    };
};

/**
 * Rounds a value for the result.
 *
 * @param value - the value
 * @param digits - the number of decimal places
 * @returns the rounded value
 */
export const round = (value: number, digits: number): number => Number(value.toFixed(digits));

/**
 * Summarizes a list of values.
 *
 * @param values - the values in any order; may be empty
 * @returns the number of values, their median, 99th percentile and maximum; `never` in place of an infinite value
 */
export const summarize = (values: readonly number[]): scenario.Measurements => {
    const sorted = [...values].sort((left, right) => left - right);
    const percentile = (fraction: number): number | string => {
        const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
        // JSON has no infinite numbers.
        return Number.isFinite(value) ? round(value, 1) : "never";
    };
    return { count: sorted.length, p50: percentile(0.5), p99: percentile(0.99), max: percentile(1) };
};
