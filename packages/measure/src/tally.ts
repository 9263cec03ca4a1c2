/** Counts answers by rank. */
import type * as site from "@mulberryseam/site";
import * as hdr from "hdr-histogram-js";
import type * as scenario from "./scenario";

/** Counts the answers of one rank. */
export interface Tally {
    take: (answer: site.CallerResponse) => void;
    answered: () => number;
    figures: () => scenario.Figures;
}

const highestMicroseconds = 120_000_000;

/**
 * Creates a tally.
 *
 * @param targetMilliseconds - time within which an answer counts as in time
 * @returns a tally without answers
 */
export const createTally = (targetMilliseconds: number): Tally => {
    const histogram = hdr.build({ highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 3 });
    const counts = { offered: 0, answered: 0, notRun: 0, unknown: 0, broken: 0, inTime: 0, cut: 0, crossed: 0 };
    return {
        take: answer => {
            counts.offered += 1;
            counts.cut += answer.isCorrupted ? 1 : 0;
            counts.crossed += answer.isMisdelivered ? 1 : 0;
            if (answer.outcome === "answered" && answer.status === 200) {
                counts.answered += 1;
                counts.inTime += answer.milliseconds <= targetMilliseconds ? 1 : 0;
                histogram.recordValue(Math.min(highestMicroseconds, Math.round(answer.milliseconds * 1000)));
            }
            else if (answer.outcome === "not-run") {
                counts.notRun += 1;
            }
            else if (answer.outcome === "unknown") {
                counts.unknown += 1;
            }
            else {
                counts.broken += 1;
            }
        },
        answered: () => counts.answered,
        figures: () => ({
            offered: counts.offered,
            answered: counts.answered,
            notRun: counts.notRun,
            unknown: counts.unknown,
            broken: counts.broken,
            withinTargetShare: counts.offered === 0 ? 0 : round(counts.inTime / counts.offered, 4),
            latencyMilliseconds: {
                p50: round(histogram.getValueAtPercentile(50) / 1000, 2),
                p99: round(histogram.getValueAtPercentile(99) / 1000, 2),
            },
            cut: counts.cut,
            crossed: counts.crossed,
        }),
    };
};

/**
 * Rounds for a report.
 *
 * @param value - the figure
 * @param digits - digits after the point
 * @returns the rounded figure
 */
export const round = (value: number, digits: number): number => Number(value.toFixed(digits));

/**
 * Summarizes values.
 *
 * @param values - any number of values
 * @returns the median, the 99th percentile and the highest
 */
export const summarize = (values: readonly number[]): scenario.Figures => {
    const sorted = [...values].sort((left, right) => left - right);
    const at = (share: number): number =>
        round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0, 1);
    return { count: sorted.length, p50: at(0.5), p99: at(0.99), max: at(1) };
};
