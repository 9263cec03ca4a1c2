/** Executes a soak run: starts a site and callers, injects the faults of a seed and checks the invariants. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import * as callers from "./callers";
import * as faults from "./faults";
import * as invariantChecker from "./invariantChecker";
import * as sites from "./site";

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
    /** First three octets of the instances' IPv4 addresses. */
    networkPrefix: string;
    peerPort: number;
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
                throw new Error(`${name} did not become ready`);
            }
            await pause(pollIntervalMilliseconds);
        }
    }
};

/** Injects a fault and returns the function that reverts it. */
const injectFault = (site: sites.Site, fault: faults.Fault): () => void => {
    const { store } = site;
    const instance = site.instances[fault.targetIndex % site.instances.length];
    const upstream = site.upstreams[fault.targetIndex % site.upstreams.length];
    const { link } = upstream;
    const createModeSetter = (mode: emulator.StoreModeValue) => (): void => store.setMode(mode);
    const injectStoreMode = (mode: emulator.StoreModeValue): () => void => {
        store.setMode(mode);
        return createModeSetter(emulator.StoreMode.serving);
    };
    const injectCut = (targetLink: typeof link, forward: boolean, backward: boolean): () => void => {
        targetLink.setInterrupted({ forward, backward });
        return () => targetLink.setInterrupted({ forward: false, backward: false });
    };
    const injectDelay = (targetLink: typeof link): () => void => {
        targetLink.setDelay(Math.min(fault.durationMilliseconds / 4, 400));
        return () => targetLink.setDelay(1);
    };
    const injectSignal = (signal: NodeJS.Signals, targetInstance = instance): () => void => {
        targetInstance.setRestartDelay(fault.durationMilliseconds);
        targetInstance.signal(signal);
        return () => undefined;
    };
    const injectOnce = (action: () => void): () => void => {
        action();
        return () => undefined;
    };
    const injectUpstreamMode = (mode: emulator.UpstreamModeValue): () => void => {
        upstream.setMode(mode);
        return () => upstream.setMode(emulator.UpstreamMode.serving);
    };
    const injections: Record<faults.FaultKindValue, () => () => void> = {
        storeBusy: () => injectStoreMode(emulator.StoreMode.busy),
        storeLosing: () => injectStoreMode(emulator.StoreMode.losing),
        storeSilent: () => injectStoreMode(emulator.StoreMode.silent),
        storeForgetting: () =>
            injectOnce(() => ["keyed.op", "keyed.servers", "keyed.ownership"].forEach(store.dropHistory)),
        storeLinkCut: () => injectCut(instance.storeLink, true, true),
        storeLinkCutOneWay: () =>
            injectCut(instance.storeLink, fault.targetIndex % 2 === 0, fault.targetIndex % 2 === 1),
        storeLinkDelayed: () => injectDelay(instance.storeLink),
        storeLinkReset: () => injectOnce(() => instance.storeLink.reset()),
        upstreamLinkCut: () => injectCut(link, true, true),
        upstreamLinkDelayed: () => injectDelay(link),
        upstreamLinkReset: () => injectOnce(() => link.reset()),
        upstreamRestarted: () => injectOnce(() => void upstream.restart()),
        upstreamSilent: () => injectUpstreamMode(emulator.UpstreamMode.silent),
        upstreamEndless: () => injectUpstreamMode(emulator.UpstreamMode.endless),
        instanceKilled: () => injectSignal("SIGKILL"),
        instancePaused: () => {
            instance.signal("SIGSTOP");
            return () => instance.signal("SIGCONT");
        },
        everyInstanceKilled: () =>
            injectOnce(() => site.instances.forEach(eachInstance => injectSignal("SIGKILL", eachInstance))),
        instanceStopped: () => injectSignal("SIGTERM"),
        settingsReread: () => injectOnce(() => instance.signal("SIGHUP")),
        documentChanged: () => injectOnce(site.changeDocument),
    };
    return injections[fault.kind]();
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

const injectFaults = async (site: sites.Site, schedule: faults.Schedule, startedAt: number): Promise<void> => {
    const reverts: Promise<void>[] = [];
    for (const fault of schedule.faults) {
        await pause(Math.max(0, startedAt + fault.startMilliseconds - performance.now()));
        const revert = injectFault(site, fault);
        reverts.push(pause(fault.durationMilliseconds).then(revert));
    }
    await Promise.all(reverts);
};

const runOnSite = async (options: SoakOptions, site: sites.Site): Promise<SoakResult> => {
    const schedule = faults.createSchedule(options.seed, options.faultPeriodMilliseconds);
    await waitUntilReady(site);
    const activeCallers = callers.startCallers({
        random: foundation.createRandom(options.seed + 1),
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
    await injectFaults(site, schedule, startedAt);
    const recoveredAt = performance.now() + (options.checksTiming ? recoveryMilliseconds : 0);
    await pause((options.checksTiming ? recoveryMilliseconds : 0) + postRecoveryMilliseconds);
    await activeCallers.stop();
    await pause(settleMilliseconds);
    const disruptions = schedule.faults.flatMap(fault => listDisruptions(site, fault, startedAt));
    const records = activeCallers.records();
    const violations = invariantChecker.checkInvariants({
        callers: records,
        executions: site.executions,
        ownershipViolations: site.ownershipViolations,
        ownEnds: site.instances.flatMap(instance => instance.ownEnds()),
        isPlanned: schedule.isPlanned,
        recoveredAt,
        timeoutMilliseconds: options.checksTiming ? sites.timeoutMilliseconds : undefined,
        wasDisrupted: ({ instance, sentAt, endedAt }) =>
            disruptions.some(disruption =>
                disruption.instance === instance && disruption.from <= endedAt && disruption.until >= sentAt
            ),
    });
    const servedCount = records.filter(record => record.status === 200).length;
    return { seed: options.seed, faults: schedule.faults, requestCount: records.length, servedCount, violations };
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
