/** Estimates the requests of other instances at one upstream from its load reports. */

/** Estimate of the requests of other instances at one upstream. */
export interface OtherInstanceRequests {
    /** Records how many requests of other instances a load report shows. */
    onReport: (requests: number, now: number) => void;
    /** Adds the estimate to a number of requests; `serviceMilliseconds` is the service time of the upstream if it is known. */
    addRequests: (requests: number, serviceMilliseconds: number | undefined, now: number) => number;
    /** Time since the newest load report, in milliseconds; undefined before the first one. */
    reportAge: (now: number) => number | undefined;
}

/** Time constant with which other instances' requests in a load report decay, in service times. */
const reportDecayServiceTimes = 3.5;
/** Time constant of the average of other instances' requests, in milliseconds. */
const averageTimeConstantMilliseconds = 1500;
/** Lower bound of this time constant, in milliseconds. */
const minReportDecayMilliseconds = 300;

/**
 * Creates the estimate before the first load report.
 *
 * @returns the estimate
 */
export const createOtherInstanceRequests = (): OtherInstanceRequests => {
    let reportedRequests = 0;
    let averageRequests = 0;
    let reportedAt = -Infinity;

    const averageOf = (now: number, requests: number): number => {
        const weight = Math.exp(-(now - reportedAt) / averageTimeConstantMilliseconds);
        return averageRequests * weight + requests * (1 - weight);
    };

    return {
        onReport: (requests, now) => {
            averageRequests = reportedAt === -Infinity ? 0 : averageOf(now, reportedRequests);
            reportedRequests = requests;
            reportedAt = now;
        },
        addRequests: (requests, serviceMilliseconds, now) => {
            const decayMilliseconds = Math.max(
                minReportDecayMilliseconds,
                (serviceMilliseconds ?? 0) * reportDecayServiceTimes,
            );
            const weight = Math.exp(-(now - reportedAt) / decayMilliseconds);
            const average = averageOf(now, 0);
            return requests + average + (reportedRequests - average) * weight;
        },
        reportAge: now => reportedAt === -Infinity ? undefined : now - reportedAt,
    };
};
