/** Health of one upstream as an instance observes it: service time, queue length, responsiveness and failure ratio. */
import * as machineSlowness from "./machineSlowness";
import * as measuredServiceTime from "./measuredServiceTime";
import * as otherInstanceRequests from "./otherInstanceRequests";
import * as serviceTime from "./serviceTime";

/** The load that an upstream reports with a response. */
export interface LoadReport {
    running: number;
    waiting: number;
    slots: number;
    /** How long work currently takes on the upstream's machine, in percent; undefined if it is not reported. */
    slowness?: number;
}

/** Signal about an upstream's health, derived from the result of an attempt. */
export const HealthSignal = {
    answered: "answered",
    /** The upstream responded with a server error. */
    failed: "failed",
    /** The upstream refused to run the request. */
    shed: "shed",
    /** The upstream responded that it does not hold the key, or is not the one that was addressed. */
    misdirected: "misdirected",
    /** It responds to other requests, and too long ago had to respond to this one. */
    silent: "silent",
    /** No connection, or no complete response. */
    broken: "broken",
    /** The attempt was aborted and says nothing about the upstream. */
    none: "none",
} as const;

/** One of {@link HealthSignal}. */
export type HealthSignalValue = typeof HealthSignal[keyof typeof HealthSignal];

/** An attempt without a result yet. */
export interface OutstandingAttempt {
    startedAt: number;
    /**
     * Time by which the upstream has started to work on the request, unless it had no room for it: the newest queue that it
     * reported after the request was sent has been served by then. Infinity before such a report.
     */
    latestStartAt: number;
    /** The newest report of the machine's slowness when the attempt started; undefined before the first one. */
    slownessReport: machineSlowness.SlownessReport | undefined;
    /** Estimated requests at the upstream when the attempt started, without it. */
    queueLength: number;
}

/** Health record of one upstream. */
export interface UpstreamHealth {
    recordStart: (now: number) => OutstandingAttempt;
    recordResult: (
        attempt: OutstandingAttempt,
        signal: HealthSignalValue,
        report: LoadReport | undefined,
        now: number,
    ) => void;
    /**
     * Records that an attempt has been without a response for so long that its request is sent again. The attempt stays outstanding, as
     * its response may still come.
     */
    recordOverdue: (now: number) => void;
    outstandingCount: () => number;
    /**
     * Counts a request that its upstream has not responded to as one that may still run there, although its connection is closed.
     *
     * @param until - the deadline that the request was sent with
     */
    occupyUntil: (until: number) => void;
    /** Number of requests that {@link occupyUntil} counts. */
    occupyingCount: (now: number) => number;
    /** Estimated requests at the upstream, including those of other instances according to its load reports. */
    queueLength: (now: number) => number;
    /** Time since the newest load report, in milliseconds; undefined before the first one. */
    reportAge: (now: number) => number | undefined;
    /** Expected slowness of the machine at a time, which may lie ahead; undefined before the first report of it. */
    slowness: (at: number) => machineSlowness.ExpectedSlowness | undefined;
    /**
     * Smoothed service time on a machine of average slowness, including the round trip, in milliseconds; undefined before the
     * first response.
     */
    serviceMilliseconds: () => number | undefined;
    /** Smoothed deviation of service times, in milliseconds; undefined before the first response. */
    deviationMilliseconds: () => number | undefined;
    /** Returns whether the service time was measured since the last call. */
    consumeNewMeasurement: () => boolean;
    /** Smoothed ratio of attempts that were refused or failed, from 0 to 1. */
    failureRatio: (now: number) => number;
    /** Whether it rejects several consecutive requests as misdirected; false at intervals, to let a probe through. */
    isRejecting: (now: number) => boolean;
    /** Whether it is unresponsive, unreachable or rejects requests as misdirected. */
    isAvoided: (now: number) => boolean;
}

const failureRatioSmoothing = 0.15;
/** Half-life of the failure ratio without new results, in milliseconds. */
const failureHalfLifeMilliseconds = 2000;
/** Lower bound of the time after which an upstream counts as unresponsive, in milliseconds. */
const minUnresponsiveMilliseconds = 450;
/** Time without a response after which an upstream counts as unresponsive, in service times. */
const unresponsiveServiceTimes = 6;
/** Interval between attempts at an unresponsive upstream, in milliseconds. */
const probeIntervalMilliseconds = 500;
/** Avoidance time after `brokenThreshold` broken attempts, in milliseconds; each further one doubles it. */
const baseAvoidanceMilliseconds = 150;
const maxAvoidanceMilliseconds = 1500;
/** Consecutive misdirected requests after which an upstream gets only probes. */
const misdirectedThreshold = 3;
/** Interval between probes of such an upstream, in milliseconds: about the time in which routing is updated. */
const misdirectedProbeIntervalMilliseconds = 300;
/**
 * Longest wait of a response that shows something of the tail, in service times: the estimate of a longer wait is often wrong by as much as
 * a request of the tail takes.
 */
const maxTailWaitServiceTimes = 1;
/** Consecutive broken attempts after which an upstream is avoided. */
const brokenThreshold = 2;

/** Returns the wait of a request by the queues at its start and at its end, in service times. */
const waitServiceTimes = (attempt: OutstandingAttempt, report: LoadReport): number =>
    Math.max(0, report.waiting, attempt.queueLength + 1 - report.slots) / Math.max(1, report.slots);

/**
 * Creates the health record of an upstream without any attempts.
 *
 * @param typicalServiceMilliseconds - returns the service time of other upstreams of the service; undefined if unknown
 * @param slownessAverage - average slowness of the machines of the service, which the reports of this upstream are recorded in
 * @param tail - tail of the service times of the service, which those of this upstream are recorded in
 * @returns the health record
 */
export const createUpstreamHealth = (
    typicalServiceMilliseconds: () => number | undefined = () => undefined,
    slownessAverage: machineSlowness.SlownessAverage = machineSlowness.createSlownessAverage(),
    tail: serviceTime.ServiceTail = serviceTime.createServiceTail(),
): UpstreamHealth => {
    const outstanding = new Set<OutstandingAttempt>();
    const measured = measuredServiceTime.createMeasuredServiceTime(typicalServiceMilliseconds, tail);
    const otherInstances = otherInstanceRequests.createOtherInstanceRequests();
    /** Deadlines of the requests without a response that may still run at the upstream. */
    let occupyingUntil: number[] = [];
    let smoothedFailureRatio = 0;
    let failureRatioUpdatedAt = -Infinity;
    let slownessReport: machineSlowness.SlownessReport | undefined;
    let lastResponseAt = -Infinity;
    let lastStartAt = -Infinity;
    let consecutiveBroken = 0;
    let consecutiveMisdirected = 0;
    let lastMisdirectedAt = -Infinity;
    let avoidedUntil = -Infinity;

    const decayedFailureRatio = (now: number): number =>
        smoothedFailureRatio * 0.5 ** ((now - failureRatioUpdatedAt) / failureHalfLifeMilliseconds);
    const expectedSlowness = (
        report: machineSlowness.SlownessReport | undefined,
        at: number,
    ): machineSlowness.ExpectedSlowness | undefined => {
        const averagePercent = slownessAverage.percent();
        return report === undefined || averagePercent === undefined
            ? undefined
            : machineSlowness.expectedSlowness(report, averagePercent, at);
    };
    const occupyingCount = (now: number): number => {
        if (occupyingUntil.some(until => until <= now)) {
            occupyingUntil = occupyingUntil.filter(until => until > now);
        }
        return occupyingUntil.length;
    };
    const applyReport = (report: LoadReport, now: number): void => {
        if (report.slowness !== undefined) {
            slownessAverage.record(report.slowness);
            slownessReport = { percent: report.slowness, reportedAt: now };
        }
        const ownRequests = outstanding.size + occupyingCount(now) + 1;
        otherInstances.onReport(Math.max(0, report.running + report.waiting - ownRequests), now);
        const queueMilliseconds = report.waiting * (measured.serviceMilliseconds() ?? 0) / Math.max(1, report.slots);
        for (const attempt of outstanding) {
            attempt.latestStartAt = Math.min(attempt.latestStartAt, now + queueMilliseconds);
        }
    };
    /**
     * Returns the service time on an average machine that a response without a wait shows. A wait outlasts the slowness that was known
     * when the request was sent, so a response time with one is taken as it is.
     */
    const withoutSlowness = (attempt: OutstandingAttempt, report: LoadReport | undefined, now: number): number => {
        const serviceMilliseconds = now - attempt.startedAt;
        const averagePercent = slownessAverage.percent();
        if (report?.slowness === undefined || report.waiting > 0 || averagePercent === undefined) {
            return serviceMilliseconds;
        }
        return machineSlowness.onAverageMachine({
            serviceMilliseconds,
            knownServiceMilliseconds: measured.serviceMilliseconds() ?? typicalServiceMilliseconds(),
            atStart: expectedSlowness(attempt.slownessReport, attempt.startedAt),
            atEnd: expectedSlowness(attempt.slownessReport, now),
            reportedPercent: report.slowness,
            averagePercent,
        });
    };
    const recordAttempt = (isSuccess: boolean, now: number): void => {
        const previousRatio = failureRatioUpdatedAt === -Infinity ? 0 : decayedFailureRatio(now);
        smoothedFailureRatio = previousRatio + ((isSuccess ? 0 : 1) - previousRatio) * failureRatioSmoothing;
        failureRatioUpdatedAt = now;
    };
    const isRejecting = (now: number): boolean =>
        consecutiveMisdirected >= misdirectedThreshold
        && now - Math.max(lastMisdirectedAt, lastStartAt) < misdirectedProbeIntervalMilliseconds;
    const queueLength = (now: number): number =>
        otherInstances.addRequests(outstanding.size + occupyingCount(now), measured.serviceMilliseconds(), now);
    return {
        recordStart: now => {
            const attempt = {
                startedAt: now,
                latestStartAt: Infinity,
                slownessReport,
                queueLength: queueLength(now),
            };
            outstanding.add(attempt);
            lastStartAt = now;
            return attempt;
        },
        recordResult: (attempt, signal, report, now) => {
            outstanding.delete(attempt);
            if (report !== undefined) {
                applyReport(report, now);
            }
            if (signal === HealthSignal.none) {
                return;
            }
            consecutiveMisdirected = signal === HealthSignal.misdirected ? consecutiveMisdirected + 1 : 0;
            lastMisdirectedAt = signal === HealthSignal.misdirected ? now : lastMisdirectedAt;
            recordAttempt(signal === HealthSignal.answered, now);
            if (signal === HealthSignal.broken) {
                consecutiveBroken += 1;
                if (consecutiveBroken >= brokenThreshold) {
                    const avoidance = baseAvoidanceMilliseconds
                        * 2 ** Math.min(consecutiveBroken - brokenThreshold, 10);
                    avoidedUntil = now + Math.min(avoidance, maxAvoidanceMilliseconds);
                }
                return;
            }
            if (signal === HealthSignal.silent) {
                return;
            }
            consecutiveBroken = 0;
            lastResponseAt = now;
            avoidedUntil = -Infinity;
            if (signal === HealthSignal.answered) {
                const wait = report === undefined ? Infinity : waitServiceTimes(attempt, report);
                const serviceMilliseconds = measured.serviceMilliseconds();
                if (wait <= maxTailWaitServiceTimes && measured.isKnown() && serviceMilliseconds !== undefined) {
                    tail.record((now - attempt.startedAt) / serviceMilliseconds - wait);
                }
                measured.record(withoutSlowness(attempt, report, now), report, wait > 0);
            }
        },
        recordOverdue: now => recordAttempt(false, now),
        outstandingCount: () => outstanding.size,
        occupyUntil: until => {
            occupyingUntil.push(until);
        },
        occupyingCount,
        queueLength,
        reportAge: otherInstances.reportAge,
        slowness: at => expectedSlowness(slownessReport, at),
        serviceMilliseconds: measured.serviceMilliseconds,
        deviationMilliseconds: measured.deviationMilliseconds,
        consumeNewMeasurement: measured.consumeNewMeasurement,
        failureRatio: now => (failureRatioUpdatedAt === -Infinity ? 0 : decayedFailureRatio(now)),
        isRejecting,
        isAvoided: now => {
            if (now < avoidedUntil || isRejecting(now)) {
                return true;
            }
            const thresholdMilliseconds = Math.max(
                minUnresponsiveMilliseconds,
                unresponsiveServiceTimes * (measured.serviceMilliseconds() ?? 0),
                tail.hasTail() ? tail.limitFactor() * (measured.serviceMilliseconds() ?? 0) : 0,
            );
            const [oldest] = outstanding;
            const isUnresponsive = oldest !== undefined
                && now - Math.max(oldest.startedAt, lastResponseAt) > thresholdMilliseconds;
            return isUnresponsive && now - lastStartAt < probeIntervalMilliseconds;
        },
    };
};
