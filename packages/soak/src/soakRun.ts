/** One run: a site, callers, the faults of a seed, and the judgement. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as http from "node:http";
import * as callers from "./callers";
import * as faults from "./faults";
import * as judge from "./judge";
import * as sites from "./site";

/** What a run is made of. */
export interface SoakOptions {
    seed: number;
    /** How long faults begin, in milliseconds. */
    faultMilliseconds: number;
    instances: number;
    upstreamsPerService: number;
    requestsPerSecond: number;
    program: readonly string[];
    logFile: string;
    /** Whether bounds on time are checked too. */
    checksTimes: boolean;
    network: string;
    peerPort: number;
}

/** What came of a run. */
export interface SoakResult {
    seed: number;
    faults: faults.Fault[];
    requests: number;
    served: number;
    broken: string[];
}

interface Disturbance {
    instance: string;
    from: number;
    until: number;
}

const keyCount = 65_536;
/** Time in which a site starts to serve, in milliseconds; it only ends a run that hangs. */
const startMilliseconds = 60_000;
/** Time after the last fault in which the site serves again, in milliseconds. */
const recoverMilliseconds = 15_000;
/** Time in which callers ask the recovered site, in milliseconds. */
const servedMilliseconds = 2000;
/** Time after which a request that was said not to have run would have run, in milliseconds. */
const settleMilliseconds = 1500;
const pollMilliseconds = 50;

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

const awaitReady = async (site: sites.Site): Promise<void> => {
    const giveUpAt = performance.now() + startMilliseconds;
    for (const { name, host, readiness } of site.instances) {
        while (!await isReady(host, readiness)) {
            if (performance.now() > giveUpAt) {
                throw new Error(`${name} did not become ready`);
            }
            await pause(pollMilliseconds);
        }
    }
};

/** Brings a fault about; returns what ends it. */
const inject = (site: sites.Site, fault: faults.Fault): () => void => {
    const { store } = site;
    const instance = site.instances[fault.target % site.instances.length];
    const upstream = site.upstreams[fault.target % site.upstreams.length];
    const { link } = upstream;
    const setStore = (mode: emulator.StoreModeValue) => (): void => store.setMode(mode);
    const withStore = (mode: emulator.StoreModeValue): () => void => {
        store.setMode(mode);
        return setStore(emulator.StoreMode.serving);
    };
    const withCut = (target: typeof link, forward: boolean, backward: boolean): () => void => {
        target.setInterrupted({ forward, backward });
        return () => target.setInterrupted({ forward: false, backward: false });
    };
    const withDelay = (target: typeof link): () => void => {
        target.setDelay(Math.min(fault.lasts / 4, 400));
        return () => target.setDelay(1);
    };
    const withSignal = (signal: NodeJS.Signals, target = instance): () => void => {
        target.setRestart(fault.lasts);
        target.signal(signal);
        return () => undefined;
    };
    const once = (work: () => void): () => void => {
        work();
        return () => undefined;
    };
    const injections: Record<faults.FaultKindValue, () => () => void> = {
        storeBusy: () => withStore(emulator.StoreMode.busy),
        storeLosing: () => withStore(emulator.StoreMode.losing),
        storeSilent: () => withStore(emulator.StoreMode.silent),
        storeForgetting: () => once(() => ["keyed.op", "keyed.servers", "keyed.ownership"].forEach(store.dropHistory)),
        storeLinkCut: () => withCut(instance.storeLink, true, true),
        storeLinkCutOneWay: () => withCut(instance.storeLink, fault.target % 2 === 0, fault.target % 2 === 1),
        storeLinkDelayed: () => withDelay(instance.storeLink),
        storeLinkReset: () => once(() => instance.storeLink.reset()),
        upstreamLinkCut: () => withCut(link, true, true),
        upstreamLinkDelayed: () => withDelay(link),
        upstreamLinkReset: () => once(() => link.reset()),
        upstreamRestarted: () => once(() => void upstream.restart()),
        instanceKilled: () => withSignal("SIGKILL"),
        instancePaused: () => {
            instance.signal("SIGSTOP");
            return () => instance.signal("SIGCONT");
        },
        everyInstanceKilled: () => once(() => site.instances.forEach(one => withSignal("SIGKILL", one))),
        instanceStopped: () => withSignal("SIGTERM"),
        settingsReread: () => once(() => instance.signal("SIGHUP")),
        documentChanged: () => once(site.changeDocument),
    };
    return injections[fault.kind]();
};

/** Faults of instances, with the time around them in which a caller may wait longer than the route allows. */
const disturbanceOf = (site: sites.Site, fault: faults.Fault, startedAt: number): Disturbance[] => {
    const from = startedAt + fault.at;
    const until = from + fault.lasts + settleMilliseconds;
    const names = fault.kind === faults.FaultKind.everyInstanceKilled
        ? site.instances.map(instance => instance.name)
        : [site.instances[fault.target % site.instances.length].name];
    const isOfInstance = fault.kind.startsWith("instance") || fault.kind === faults.FaultKind.everyInstanceKilled;
    return isOfInstance ? names.map(instance => ({ instance, from, until })) : [];
};

const play = async (site: sites.Site, schedule: faults.Schedule, startedAt: number): Promise<void> => {
    const endings: Promise<void>[] = [];
    for (const fault of schedule.faults) {
        await pause(Math.max(0, startedAt + fault.at - performance.now()));
        const end = inject(site, fault);
        endings.push(pause(fault.lasts).then(end));
    }
    await Promise.all(endings);
};

const runOn = async (options: SoakOptions, site: sites.Site): Promise<SoakResult> => {
    const schedule = faults.createSchedule(options.seed, options.faultMilliseconds);
    await awaitReady(site);
    const calling = callers.startCallers({
        random: foundation.createRandom(options.seed + 1),
        instances: () =>
            site.instances.filter(one => one.isRunning()).map(({ name, host, callers: port }) => ({
                name,
                host,
                port,
            })),
        requestsPerSecond: options.requestsPerSecond,
        keyCount,
        now: () => performance.now(),
    });
    const startedAt = performance.now();
    await play(site, schedule, startedAt);
    const recoveredAt = performance.now() + (options.checksTimes ? recoverMilliseconds : 0);
    await pause((options.checksTimes ? recoverMilliseconds : 0) + servedMilliseconds);
    await calling.stop();
    await pause(settleMilliseconds);
    const disturbances = schedule.faults.flatMap(fault => disturbanceOf(site, fault, startedAt));
    const records = calling.records();
    const broken = judge.judge({
        callers: records,
        runs: site.runs,
        sharedKeys: site.sharedKeys,
        isPlanned: schedule.isPlanned,
        recoveredAt,
        timeoutMilliseconds: options.checksTimes ? sites.timeoutMilliseconds : undefined,
        wasDisturbed: ({ instance, sentAt, endedAt }) =>
            disturbances.some(one => one.instance === instance && one.from <= endedAt && one.until >= sentAt),
    });
    const served = records.filter(record => record.status === 200).length;
    return { seed: options.seed, faults: schedule.faults, requests: records.length, served, broken };
};

/**
 * Plays one run.
 *
 * @param options - what it is made of
 * @returns what came of it; every process that it started has ended
 */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
    const owner = foundation.createOwner();
    let site: sites.Site | undefined;
    try {
        site = await sites.startSite({ ...options, random: foundation.createRandom(options.seed) }, owner);
        return await runOn(options, site);
    }
    finally {
        await Promise.all(site?.instances.map(instance => instance.end()) ?? []);
        await owner.dispose();
    }
};
