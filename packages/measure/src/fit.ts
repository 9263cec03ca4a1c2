/** Linear fits through measured points, and the timing of operations. */
import * as resultCounters from "./resultCounters";
import type * as scenario from "./scenario";

/** A value measured at one size. */
export interface Point {
    size: number;
    value: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - at least two points with different sizes
 * @param unit - the unit of the values, copied to the result
 * @returns the slope, the intercept, the fraction of variance that the line explains, the range of sizes and the values
 */
export const fitLine = (points: readonly Point[], unit: string): scenario.Measurements => {
    const pointCount = points.length;
    const meanSize = points.reduce((sum, point) => sum + point.size, 0) / pointCount;
    const meanValue = points.reduce((sum, point) => sum + point.value, 0) / pointCount;
    const covariance = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0);
    const sizeVariance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const valueVariance = points.reduce((sum, point) => sum + (point.value - meanValue) ** 2, 0);
    const slope = covariance / sizeVariance;
    return {
        unit,
        slope: Number(slope.toPrecision(4)),
        intercept: Number((meanValue - slope * meanSize).toPrecision(4)),
        explained: valueVariance === 0 ? 1 : resultCounters.round(covariance ** 2 / (sizeVariance * valueVariance), 4),
        from: Math.min(...points.map(point => point.size)),
        to: Math.max(...points.map(point => point.size)),
        values: points.map(point => Number(point.value.toPrecision(4))).join(" "),
    };
};

const minTimingMilliseconds = 120;

/**
 * Measures the duration of an operation, averaged over repeated runs after one warm-up run.
 *
 * @param operation - the operation, which is run repeatedly
 * @returns the mean duration of a run in microseconds
 */
export const measureMicroseconds = (operation: () => void): number => {
    operation();
    const startedAt = performance.now();
    let runs = 0;
    while (performance.now() - startedAt < minTimingMilliseconds) {
        operation();
        runs += 1;
    }
    return (performance.now() - startedAt) * 1000 / runs;
};
