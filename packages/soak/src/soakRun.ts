/** Executes a soak run: starts a site and callers, injects the faults of a seed and checks the invariants. */
import type * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import * as callers from "./callers";
import * as documents from "./documents";
import * as faults from "./faults";
import * as injections from "./injections";
import * as invariantChecker from "./invariantChecker";
import * as sites from "./site";
import * as unusualCallers from "./unusualCallers";
import type * as upstreamChecker from "./upstreamChecker";

/** Configures a soak run. */
export interface SoakOptions {
    seed: number;
    /** Length of the period in which faults start, in milliseconds. */
    faultPeriodMilliseconds: number;
    instances: number;
    upstreamsPerService: number;
    requestsPerSecond: number;
    programArguments: readonly string[];
    /** File to which the output of the instances is appended. */
    logFile: string;
    /** Whether response times and recovery are checked as well. */
    checksTiming: boolean;
    /** Kinds of faults that are injected, out of those of the schedule; all of them by default. */
    kinds?: readonly string[];
}

/** Result of a soak run. */
export interface SoakResult {
    seed: number;
    faults: faults.Fault[];
    requestCount: number;
    /** Number of requests with response status 200. */
    servedCount: number;
    /** One line for each violated guarantee. */
    violations: string[];
}

/** A time span in which faults of an instance excuse slow responses. */
interface Disruption {
    instance: string;
    from: number;
    until: number;
}

const keyCount = 65_536;
/** Maximum startup time of a site, in milliseconds; it only aborts a run that hangs. */
const maxStartupMilliseconds = 60_000;
/** Time allowed for recovery after the last fault, in milliseconds. */
const recoveryMilliseconds = 15_000;
/** Time during which callers continue to send requests to the recovered site, in milliseconds. */
const postRecoveryMilliseconds = 2000;
/** Time to wait for late executions of requests that were reported as not executed, in milliseconds. */
const settleMilliseconds = 1500;
/** Distinguishes the random numbers of requests on additional routes from those of the others. */
const additionalSeedOffset = 800_000;
const pollIntervalMilliseconds = 50;

const timers = foundation.createTimerService();

const pause = (milliseconds: number): Promise<void> => foundation.pause(timers, milliseconds);

const isReady = (host: string, port: number): Promise<boolean> =>
    new Promise(resolve => {
        const request = http.get({ host, port, path: "/mulberryseam/readiness", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.on("error", () => resolve(false));
    });

const waitUntilReady = async (site: sites.Site): Promise<void> => {
    const deadline = performance.now() + maxStartupMilliseconds;
    for (const { name, host, readinessPort } of site.instances) {
        while (!await isReady(host, readinessPort)) {
            if (performance.now() > deadline) {
                const ends = site.instances.flatMap(instance => instance.ownEnds());
                throw new Error([`${name} did not become ready`, ...ends].join("; "));
            }
            await pause(pollIntervalMilliseconds);
        }
    }
};

/** Returns the instances affected by a fault and the time spans in which their callers may wait beyond the route's timeout. */
const listDisruptions = (site: sites.Site, fault: faults.Fault, startedAt: number): Disruption[] => {
    const from = startedAt + fault.startMilliseconds;
    const until = from + fault.durationMilliseconds + settleMilliseconds;
    const names = fault.kind === faults.FaultKind.everyInstanceKilled
        ? site.instances.map(instance => instance.name)
        : [site.instances[fault.targetIndex % site.instances.length].name];
    const affectsInstances = fault.kind.startsWith("instance") || fault.kind === faults.FaultKind.everyInstanceKilled;
    return affectsInstances ? names.map(instance => ({ instance, from, until })) : [];
};

const toArrivalRecord = (
    { upstream, requestIdentifier: identifier, ...arrival }: emulator.EmulatedArrival,
): upstreamChecker.ArrivalRecord => ({
    ...arrival,
    identifier,
    upstream: `${upstream.identifier}@${upstream.startedAt}`,
});

const injectFaults = async (
    site: sites.Site,
    schedule: faults.Schedule,
    startedAt: number,
    startUnusualCallers: injections.InjectionOptions["startUnusualCallers"],
): Promise<void> => {
    const reverts: Promise<void>[] = [];
    for (const fault of schedule.faults) {
        await pause(Math.max(0, startedAt + fault.startMilliseconds - performance.now()));
        const revert = injections.injectFault({ site, fault, startUnusualCallers });
        reverts.push(pause(fault.durationMilliseconds).then(revert));
    }
    await Promise.all(reverts);
};

const runOnSite = async (options: SoakOptions, site: sites.Site): Promise<SoakResult> => {
    const wholeSchedule = faults.createSchedule(options.seed, options.faultPeriodMilliseconds);
    const schedule = {
        ...wholeSchedule,
        faults: wholeSchedule.faults.filter(({ kind }) => options.kinds?.includes(kind) ?? true),
    };
    await waitUntilReady(site);
    const activeCallers = callers.startCallers({
        random: foundation.createRandom(options.seed + 1),
        additionalRandom: foundation.createRandom(options.seed + additionalSeedOffset),
        instances: () =>
            site.instances.filter(instance => instance.isRunning()).map(({ name, host, callerPort: port }) => ({
                name,
                host,
                port,
            })),
        requestsPerSecond: options.requestsPerSecond,
        keyCount,
        now: () => performance.now(),
    });
    const startedAt = performance.now();
    await injectFaults(site, schedule, startedAt, (instance, fault) =>
        unusualCallers.startUnusualCallers({
            target: { name: instance.name, host: instance.host, port: instance.callerPort },
            random: foundation.createRandom(fault.targetIndex),
            prefix: `unusual-${fault.startMilliseconds}`,
            now: () => performance.now(),
            addRecord: activeCallers.addRecord,
        }));
    const recoveredAt = performance.now() + (options.checksTiming ? recoveryMilliseconds : 0);
    await pause((options.checksTiming ? recoveryMilliseconds : 0) + postRecoveryMilliseconds);
    await activeCallers.stop();
    await pause(settleMilliseconds);
    const disruptions = schedule.faults.flatMap(fault => listDisruptions(site, fault, startedAt));
    const linkDisturbances = schedule.faults.filter(fault => fault.kind.startsWith("upstreamLink")).map(fault => ({
        upstream: site.upstreams[fault.targetIndex % site.upstreams.length].name,
        from: startedAt + fault.startMilliseconds,
        until: startedAt + fault.startMilliseconds + fault.durationMilliseconds + settleMilliseconds,
    }));
    const records = activeCallers.records();
    const violations = invariantChecker.checkInvariants({
        callers: records,
        executions: site.executions,
        arrivals: site.arrivals.map(toArrivalRecord),
        allArrivals: site.allArrivals.map(toArrivalRecord),
        coldPeriods: site.coldPeriods,
        evacuations: site.evacuations,
        fullArrivals: site.fullArrivals.map(toArrivalRecord),
        ownershipViolations: site.ownershipViolations,
        ownEnds: site.instances.flatMap(instance => instance.ownEnds()),
        peakMemoryBytes: new Map(site.instances.map(({ name, peakMemoryBytes }) => [name, peakMemoryBytes()])),
        isPlanned: schedule.isPlanned,
        recoveredAt,
        timeoutMilliseconds: options.checksTiming ? documents.timeoutMilliseconds : undefined,
        wasRestarted: (name, from, until) =>
            site.instances.some(instance =>
                instance.name === name && instance.startTimes().some(time => time >= from && time <= until)
            ),
        wasOutOfContact: (from, until) =>
            schedule.faults.some(({ kind, startMilliseconds, durationMilliseconds }) =>
                (kind.startsWith("store") || kind === faults.FaultKind.instancePaused)
                && startedAt + startMilliseconds <= until
                && startedAt + startMilliseconds + durationMilliseconds + settleMilliseconds >= from
            ),
        wasLinkDisturbed: (upstream, from, until) =>
            linkDisturbances.some(disturbance =>
                upstream.startsWith(`${disturbance.upstream}@`) && disturbance.from <= until
                && disturbance.until >= from
            ),
        wasDisrupted: ({ instance, sentAt, endedAt }) =>
            disruptions.some(disruption =>
                disruption.instance === instance && disruption.from <= endedAt && disruption.until >= sentAt
            ),
    });
    const usualRecords = records.filter(record => !record.isUnusual);
    const servedCount = usualRecords.filter(record => record.status === 200).length;
    return { seed: options.seed, faults: schedule.faults, requestCount: usualRecords.length, servedCount, violations };
};

/**
 * Executes one soak run. All processes that it starts have exited when the promise settles.
 *
 * @param options - seed, size of the site, load and checks
 * @returns the schedule, the request counts and the violations
 * @throws if an instance does not become ready in time
 */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
    const owner = foundation.createOwner();
    let site: sites.Site | undefined;
    try {
        site = await sites.startSite({ ...options, random: foundation.createRandom(options.seed) }, owner);
        return await runOnSite(options, site);
    }
    finally {
        await Promise.all(site?.instances.map(instance => instance.terminate()) ?? []);
        await owner.dispose();
    }
};
