/** Straight lines through measured points. */
import type * as scenario from "./scenario";
import * as tally from "./tally";

/** A measured point. */
export interface Point {
    size: number;
    value: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - at least two points of different sizes
 * @param unit - unit of the values, for the report
 * @returns slope, intercept, the share of variance that the line explains, and the range of sizes
 */
export const fitLine = (points: readonly Point[], unit: string): scenario.Figures => {
    const count = points.length;
    const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
    const meanValue = points.reduce((sum, point) => sum + point.value, 0) / count;
    const covariance = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0);
    const variance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const spread = points.reduce((sum, point) => sum + (point.value - meanValue) ** 2, 0);
    const slope = covariance / variance;
    return {
        unit,
        slope: Number(slope.toPrecision(4)),
        intercept: Number((meanValue - slope * meanSize).toPrecision(4)),
        explained: spread === 0 ? 1 : tally.round(covariance ** 2 / (variance * spread), 4),
        from: Math.min(...points.map(point => point.size)),
        to: Math.max(...points.map(point => point.size)),
        values: points.map(point => Number(point.value.toPrecision(4))).join(" "),
    };
};

const repeatMilliseconds = 120;

/**
 * Times some work.
 *
 * @param work - the work, run many times
 * @returns microseconds of one run
 */
export const timeMicroseconds = (work: () => void): number => {
    work();
    const startedAt = performance.now();
    let runs = 0;
    while (performance.now() - startedAt < repeatMilliseconds) {
        work();
        runs += 1;
    }
    return (performance.now() - startedAt) * 1000 / runs;
};
