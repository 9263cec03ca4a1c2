/** What an instance knows of one upstream: its speed, its queue, whether it answers and how often it fails. */

/** A report of load that came with an answer. */
export interface LoadReport {
    running: number;
    waiting: number;
    slots: number;
}

/** How an attempt ended, as far as it tells about the upstream. */
export const AttemptSign = {
    answered: "answered",
    /** It answered with a failure of its own. */
    failed: "failed",
    /** It refused to run the request. */
    shed: "shed",
    /** It answered that it does not hold the key, or is not the one that was meant. */
    misdirected: "misdirected",
    /** No connection, or no whole answer. */
    broken: "broken",
    /** The attempt was given up; it says nothing. */
    none: "none",
} as const;

/** One of {@link AttemptSign}. */
export type AttemptSignValue = typeof AttemptSign[keyof typeof AttemptSign];

/** An attempt that is out. */
export interface OpenAttempt {
    startedAt: number;
}

/** What is known of one upstream. */
export interface UpstreamHealth {
    begin: (now: number) => OpenAttempt;
    end: (attempt: OpenAttempt, sign: AttemptSignValue, report: LoadReport | undefined, now: number) => void;
    outstanding: () => number;
    /** Requests at the upstream, those of other instances included as far as they are known. */
    queueLength: (now: number) => number;
    /** Time since the newest report of its load, in milliseconds; undefined before any. */
    reportAge: (now: number) => number | undefined;
    /** Smoothed time that one request takes in a slot, in milliseconds; undefined before the first answer. */
    serviceMilliseconds: () => number | undefined;
    /** Whether the speed was measured since the last call. */
    takeIsMeasured: () => boolean;
    /** Smoothed share of attempts that were refused or failed. */
    failureShare: (now: number) => number;
    /** Whether it has answered several requests in a row that they are not its own; asked again now and then. */
    isMisdirecting: (now: number) => boolean;
    /** Whether it has stopped answering, or cannot be reached. */
    isAvoided: (now: number) => boolean;
}

const speedSmoothing = 0.15;
const failureSmoothing = 0.15;
/** Time in which half of a failure share is forgotten while nothing is sent, in milliseconds. */
const failureHalfLifeMilliseconds = 2000;
/** Time in which most of what a report says of others is outdated, in services; no less than a time in milliseconds. */
const reportMemoryServices = 3.5;
const lowestReportMemoryMilliseconds = 300;
/** Silence that is suspicious whatever the speed, in milliseconds. */
const lowestSilenceMilliseconds = 450;
/** Silence that is suspicious, in services. */
const silentServices = 6;
/** Time between two attempts at an upstream that is silent, in milliseconds. */
const probeMilliseconds = 500;
/** Time without attempts after a broken one, in milliseconds, doubled with each in a row. */
const baseAvoidanceMilliseconds = 150;
const longestAvoidanceMilliseconds = 1500;
/** Requests in a row that were not the upstream's own from which it gets no more for a while. */
const misdirectedToPause = 3;
/** Time between two requests to an upstream that answers so, in milliseconds: routing is news within about as long. */
const misdirectedPauseMilliseconds = 300;
/** Broken attempts in a row from which an upstream is avoided. */
const brokenToAvoid = 2;

/**
 * Creates the record of an upstream of which nothing is known.
 *
 * @returns the record
 */
export const createUpstreamHealth = (): UpstreamHealth => {
    const open = new Set<OpenAttempt>();
    let service: number | undefined;
    let hasNewMeasurement = false;
    let failure = 0;
    let failureAt = -Infinity;
    let others = 0;
    let reportedAt = -Infinity;
    let lastAnswerAt = -Infinity;
    let lastBeginAt = -Infinity;
    let broken = 0;
    let misdirected = 0;
    let misdirectedAt = -Infinity;
    let avoidedUntil = -Infinity;

    const failureNow = (now: number): number => failure * 0.5 ** ((now - failureAt) / failureHalfLifeMilliseconds);
    const onReport = (report: LoadReport, now: number): void => {
        others = Math.max(0, report.running + report.waiting - open.size - 1);
        reportedAt = now;
    };
    const onService = (milliseconds: number, report: LoadReport | undefined): void => {
        if (report === undefined || report.waiting === 0) {
            hasNewMeasurement = true;
            service = service === undefined ? milliseconds : service + (milliseconds - service) * speedSmoothing;
        }
    };
    const isMisdirecting = (now: number): boolean =>
        misdirected >= misdirectedToPause && now - Math.max(misdirectedAt, lastBeginAt) < misdirectedPauseMilliseconds;
    return {
        begin: now => {
            const attempt = { startedAt: now };
            open.add(attempt);
            lastBeginAt = now;
            return attempt;
        },
        end: (attempt, sign, report, now) => {
            open.delete(attempt);
            if (report !== undefined) {
                onReport(report, now);
            }
            if (sign === AttemptSign.none) {
                return;
            }
            misdirected = sign === AttemptSign.misdirected ? misdirected + 1 : 0;
            misdirectedAt = sign === AttemptSign.misdirected ? now : misdirectedAt;
            const isGood = sign === AttemptSign.answered;
            const before = failureAt === -Infinity ? 0 : failureNow(now);
            failure = before + ((isGood ? 0 : 1) - before) * failureSmoothing;
            failureAt = now;
            if (sign === AttemptSign.broken) {
                broken += 1;
                if (broken >= brokenToAvoid) {
                    const avoidance = baseAvoidanceMilliseconds * 2 ** Math.min(broken - brokenToAvoid, 10);
                    avoidedUntil = now + Math.min(avoidance, longestAvoidanceMilliseconds);
                }
                return;
            }
            broken = 0;
            lastAnswerAt = now;
            avoidedUntil = -Infinity;
            if (sign === AttemptSign.answered) {
                onService(now - attempt.startedAt, report);
            }
        },
        outstanding: () => open.size,
        queueLength: now => {
            const memory = Math.max(lowestReportMemoryMilliseconds, (service ?? 0) * reportMemoryServices);
            return open.size + others * Math.exp(-(now - reportedAt) / memory);
        },
        reportAge: now => reportedAt === -Infinity ? undefined : now - reportedAt,
        serviceMilliseconds: () => service,
        takeIsMeasured: () => {
            const isMeasured = hasNewMeasurement;
            hasNewMeasurement = false;
            return isMeasured;
        },
        failureShare: now => (failureAt === -Infinity ? 0 : failureNow(now)),
        isMisdirecting,
        isAvoided: now => {
            if (now < avoidedUntil || isMisdirecting(now)) {
                return true;
            }
            const silence = Math.max(lowestSilenceMilliseconds, silentServices * (service ?? 0));
            const [oldest] = open;
            const isSilent = oldest !== undefined && now - Math.max(oldest.startedAt, lastAnswerAt) > silence;
            return isSilent && now - lastBeginAt < probeMilliseconds;
        },
    };
};
