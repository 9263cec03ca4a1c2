/**
 * Expected slowness of an upstream's machine. Machines are shared, and how long work takes on one of them changes many times a
 * second, so a report says less the older it is, and the average of the service counts instead.
 */

/** Running average of the slowness that the upstreams of a service report. */
export interface SlownessAverage {
    record: (percent: number) => void;
    /** Returns the average in percent; undefined before the first report. */
    percent: () => number | undefined;
}

/** Slowness that an upstream has reported. */
export interface SlownessReport {
    percent: number;
    reportedAt: number;
}

/** Expected slowness of a machine at a moment. */
export interface ExpectedSlowness {
    percent: number;
    /** Ratio of the expected slowness to the average of the service: the factor on the mean service time. */
    factor: number;
    /** Age of the report at that moment, in milliseconds. */
    ageMilliseconds: number;
}

/** Weight of a report in the average once there are many: about the last hundred reports of the service count. */
const averageWeight = 0.01;
/** Largest multiple of the average with which a report enters it, so that a single odd figure does not change every estimate. */
const maxSampleFactor = 10;
/** Interval at which the slowness of machines is drawn anew, in milliseconds. */
const redrawMilliseconds = 400;
/** Lower bound of a corrected service time, as a ratio of the measured one: it stays above 0 whatever an upstream reports. */
const minCorrectedRatio = 0.25;

/**
 * Creates the average of a service without any report.
 *
 * @returns the average
 */
export const createSlownessAverage = (): SlownessAverage => {
    let average: number | undefined;
    let count = 0;
    return {
        record: percent => {
            count += 1;
            const sample = Math.min(percent, (average ?? percent) * maxSampleFactor);
            const previous = average ?? sample;
            average = previous + (sample - previous) * Math.max(averageWeight, 1 / count);
        },
        percent: () => average,
    };
};

/**
 * Returns the probability that the slowness of a machine has not been drawn anew since a report. The moment of the report within the
 * interval is unknown, so the probability falls evenly with its age.
 *
 * @param ageMilliseconds - age of the report
 * @returns the weight of the report, from 0 to 1
 */
export const reportWeight = (ageMilliseconds: number): number =>
    Math.min(1, Math.max(0, 1 - ageMilliseconds / redrawMilliseconds));

/**
 * Returns the expected slowness of a machine.
 *
 * @param report - the newest report
 * @param averagePercent - average of the service, in percent
 * @param at - time of the work; may lie ahead
 * @returns the slowness
 */
export const expectedSlowness = (
    report: SlownessReport,
    averagePercent: number,
    at: number,
): ExpectedSlowness => {
    const ageMilliseconds = at - report.reportedAt;
    const percent = averagePercent + (report.percent - averagePercent) * reportWeight(ageMilliseconds);
    return { percent, factor: percent / averagePercent, ageMilliseconds };
};

/** A measured service time and what is known of the machine; times in milliseconds. */
export interface MeasuredOnMachine {
    serviceMilliseconds: number;
    /** Mean service time of the upstream, as known before the response; undefined before the first one. */
    knownServiceMilliseconds: number | undefined;
    /** Slowness expected when the request was sent; undefined without a report before it. */
    atStart: ExpectedSlowness | undefined;
    /** Slowness that a report before the request led to expect for the end of the work; undefined without such a report. */
    atEnd: ExpectedSlowness | undefined;
    /** Slowness reported with the response, in percent. */
    reportedPercent: number;
    averagePercent: number;
}

/**
 * Returns the service time on a machine of average slowness.
 *
 * What the slowness expected at the start adds to the known service time is subtracted, also for upstreams that were chosen because
 * their machine was fast at that time. The difference between the slowness reported with the response and the one expected for that
 * moment has a mean of zero; in so far as the machine was probably the same during the whole work, it explains a part of the
 * measured time and is subtracted as well. Its weight depends on the known service time and not on the measured one: a short time
 * on a fast machine would otherwise be corrected more often than a long time on a slow one. Both terms are differences and not
 * divisions, so that the mean stays right whether the slowness counts at the start of the work or changes during it.
 *
 * @param measured - the measured time and the reports
 * @returns the service time in milliseconds
 */
export const onAverageMachine = (measured: MeasuredOnMachine): number => {
    const { atStart, atEnd, averagePercent } = measured;
    const { serviceMilliseconds } = measured;
    const known = measured.knownServiceMilliseconds ?? serviceMilliseconds;
    const surprise = (measured.reportedPercent - (atEnd?.percent ?? averagePercent)) / averagePercent;
    const corrected = serviceMilliseconds - known * ((atStart?.factor ?? 1) - 1 + reportWeight(known) * surprise);
    return Math.max(serviceMilliseconds * minCorrectedRatio, corrected);
};
