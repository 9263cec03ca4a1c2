/** Service time of one upstream as an instance measures it by responses. */
import * as serviceTime from "./serviceTime";
import type * as upstreamHealth from "./upstreamHealth";

/** Smoothed service time of one upstream. */
export interface MeasuredServiceTime {
    /**
     * Records a response.
     *
     * @param milliseconds - response time on a machine of average slowness
     * @param report - load report of the response
     * @param hasWaited - whether the request may have waited at the upstream
     */
    record: (milliseconds: number, report: upstreamHealth.LoadReport | undefined, hasWaited: boolean) => void;
    /** Smoothed service time, in milliseconds; undefined before the first response. */
    serviceMilliseconds: () => number | undefined;
    /** Smoothed deviation of service times, in milliseconds; undefined before the first response. */
    deviationMilliseconds: () => number | undefined;
    /** Whether there were enough responses. */
    isKnown: () => boolean;
    /** Returns whether the service time was measured since the last call. */
    consumeNewMeasurement: () => boolean;
}

const serviceTimeSmoothing = 0.15;
/** Weight of a response time while requests queue, when it says less about the service time. */
const queueingSmoothing = 0.08;
/** Responses after which the service time counts as known. */
const minMeasurements = 4;
/** Lower bound of a sample, as a ratio of the known service time: some requests involve hardly any work. */
const minSampleRatio = 0.5;
const deviationSmoothing = 0.25;

/**
 * Creates a service time that is not measured yet.
 *
 * @param typicalServiceMilliseconds - returns the service time of other upstreams of the service; undefined if unknown
 * @param tail - tail of the service times of the service
 * @returns the service time
 */
export const createMeasuredServiceTime = (
    typicalServiceMilliseconds: () => number | undefined,
    tail: serviceTime.ServiceTail,
): MeasuredServiceTime => {
    let smoothedServiceMilliseconds: number | undefined;
    let measurementCount = 0;
    /** Service times of the tail in a row: two of them show that the upstream itself has become slow. */
    let consecutiveTailSamples = 0;
    let smoothedDeviation: number | undefined;
    let hasNewMeasurement = false;

    const isKnown = (): boolean => measurementCount >= minMeasurements;
    /**
     * Returns the service time that a response shows. Of a response time with a wait, only bounds are known. Divided among the requests that wait
     * at its end it is too low while the queue grows, and too high while it shrinks; as a whole it is too high. A known value
     * between the former and the geometric mean of both stays.
     */
    const measureServiceTime = (milliseconds: number, report: upstreamHealth.LoadReport | undefined): number => {
        if (report === undefined || report.waiting === 0) {
            return milliseconds;
        }
        const lowerBound = milliseconds / (1 + report.waiting / Math.max(1, report.slots));
        const known = smoothedServiceMilliseconds ?? typicalServiceMilliseconds() ?? lowerBound;
        return Math.min(Math.sqrt(lowerBound * milliseconds), Math.max(lowerBound, known));
    };
    /**
     * Returns a service time without the part that only single requests of the tail need: the upstream would look slow for long otherwise,
     * while it is the requests that differ.
     */
    const withoutTail = (milliseconds: number): number => {
        const usual = isKnown()
            ? smoothedServiceMilliseconds
            : tail.hasTail()
            ? Math.max(smoothedServiceMilliseconds ?? 0, typicalServiceMilliseconds() ?? Infinity)
            : undefined;
        const limit = (usual ?? Infinity) * serviceTime.tailStartFactor;
        consecutiveTailSamples = milliseconds > limit ? consecutiveTailSamples + 1 : 0;
        return consecutiveTailSamples === 1 ? limit : milliseconds;
    };
    return {
        record: (milliseconds, report, hasWaited) => {
            const isQueueing = report !== undefined && report.waiting > 0;
            const measuredWhole = measureServiceTime(milliseconds, report);
            const measured = hasWaited ? measuredWhole : withoutTail(measuredWhole);
            const previous = smoothedServiceMilliseconds ?? measured;
            const weight = Math.max(
                isQueueing ? queueingSmoothing : serviceTimeSmoothing,
                1 / (measurementCount + 1),
            );
            const sample = isKnown() ? Math.max(measured, previous * minSampleRatio) : measured;
            smoothedServiceMilliseconds = previous + (sample - previous) * weight;
            measurementCount += 1;
            hasNewMeasurement = true;
            if (!isQueueing) {
                const deviation = measurementCount === 1 ? measured : Math.abs(sample - previous);
                const previousDeviation = smoothedDeviation ?? deviation;
                smoothedDeviation = previousDeviation + (deviation - previousDeviation) * deviationSmoothing;
            }
        },
        serviceMilliseconds: () => smoothedServiceMilliseconds,
        deviationMilliseconds: () => smoothedDeviation,
        isKnown,
        consumeNewMeasurement: () => {
            const isNew = hasNewMeasurement;
            hasNewMeasurement = false;
            return isNew;
        },
    };
};
