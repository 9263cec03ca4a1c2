/** Injects the faults of a schedule into a running site. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as standins from "@mulberryseam/standins";
import * as documents from "./documents";
import * as faults from "./faults";
import * as instances from "./instances";
import * as places from "./places";
import type * as sites from "./site";

/** Configures the injection of a fault. */
export interface InjectionOptions {
    site: sites.Site;
    fault: faults.Fault;
    /** Starts unusual callers of an instance and returns the function that stops them. */
    startUnusualCallers: (instance: instances.SoakInstance, fault: faults.Fault) => () => void;
}

/** Signals of a series, which overlap the stop that the first SIGTERM starts and the start after it. */
const signalSeries: readonly NodeJS.Signals[] = [
    "SIGHUP",
    "SIGHUP",
    "SIGTERM",
    "SIGHUP",
    "SIGTERM",
    "SIGTERM",
    "SIGHUP",
    "SIGTERM",
];
const signalIntervalMilliseconds = 30;
/** Interval between the signals to a process that starts, in milliseconds. */
const startSignalIntervalMilliseconds = 10;
const maxStormSteps = 8;
/** How long an upstream still serves after its announcement, besides the duration of the fault, in milliseconds. */
const leavingMilliseconds = 3000;

/** How long an evacuation lasts, besides the duration of the fault, in milliseconds: longer than the time that instances have for it. */
const evacuationMilliseconds = 6000;

/** For how long the store is away at most before it returns from a copy, and bounds of the age of the copy, in milliseconds. */
const maxAwayMilliseconds = 1500;
const minCopyAgeMilliseconds = 500;
const maxCopyAgeMilliseconds = 6000;
/** Time after which operators and upstreams write again what is lost, if they do not at once, in milliseconds. */
const rewriteDelayMilliseconds = 1000;
/** Time between two returns in series, in milliseconds: less than writers take to write their lost records again. */
const secondReturnMilliseconds = 600;

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Calls an action repeatedly until a number of calls is reached or the returned function is called. */
const repeat = (count: number, intervalMilliseconds: number, action: (index: number) => void): () => void => {
    let index = 0;
    const timer = setInterval(() => {
        if (index >= count) {
            clearInterval(timer);
            return;
        }
        action(index);
        index += 1;
    }, intervalMilliseconds);
    return () => clearInterval(timer);
};

/**
 * Injects a fault.
 *
 * @param options - the site and the fault
 * @returns the function that reverts the fault
 */
export const injectFault = ({ site, fault, startUnusualCallers }: InjectionOptions): () => void | Promise<void> => {
    const { store } = site;
    const instance = site.instances[fault.targetIndex % site.instances.length];
    const upstream = site.upstreams[fault.targetIndex % site.upstreams.length];
    const { link } = upstream;
    const random = foundation.createRandom(fault.targetIndex);
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
    const injectRefusal = (refusal: standins.LinkRefusalValue): () => void => {
        link.setRefusal(refusal);
        return () => link.setRefusal(standins.LinkRefusal.none);
    };
    const injectDocuments = (): () => void => {
        const stepCount = 2 + random.below(maxStormSteps);
        const stop = repeat(
            stepCount,
            fault.durationMilliseconds / stepCount,
            () => site.changeDocument(documents.createShape(random)),
        );
        return () => {
            stop();
            site.changeDocument(documents.plainShape);
        };
    };
    const injectSettings = (): () => void => {
        const contents = Object.values(instances.SettingsContent);
        const stepCount = 2 + random.below(maxStormSteps);
        const stop = repeat(
            stepCount,
            fault.durationMilliseconds / stepCount,
            () => instance.changeSettings(contents[random.below(contents.length)]),
        );
        return () => {
            stop();
            instance.changeSettings(instances.SettingsContent.original);
        };
    };
    const injectSignalSeries = (): () => void => {
        const stopSeries = repeat(
            signalSeries.length,
            signalIntervalMilliseconds,
            index => instance.signal(signalSeries[index]),
        );
        // The process that starts after the series gets signals as soon as it handles them.
        const stopRereads = repeat(
            Infinity,
            startSignalIntervalMilliseconds,
            () => instance.isRunning() && instance.signal("SIGHUP"),
        );
        return () => {
            stopSeries();
            stopRereads();
        };
    };
    const injectLeaving = (): () => Promise<void> => {
        upstream.announceLeaving(fault.targetIndex % 2 === 0);
        return async () => {
            await new Promise(resolve => setTimeout(resolve, leavingMilliseconds));
            await upstream.restart();
        };
    };
    const injectEvacuation = (): () => Promise<void> => {
        const end = site.evacuate(places.evacuableDomain(fault.targetIndex));
        return async () => {
            await new Promise(resolve => setTimeout(resolve, evacuationMilliseconds));
            end();
        };
    };
    const returnFromCopy = (): void => {
        const ageMilliseconds = minCopyAgeMilliseconds + random.below(maxCopyAgeMilliseconds - minCopyAgeMilliseconds);
        store.returnFromCopy(ageMilliseconds, random.fraction() < 0.5 ? 0 : rewriteDelayMilliseconds);
    };
    const injectReturn = async (returnCount: number): Promise<void> => {
        for (let index = 0; index < returnCount; index += 1) {
            // Some returns are not preceded by a time in which the store is away.
            if (random.fraction() < 0.7) {
                store.setMode(emulator.StoreMode.away);
                await pause(Math.min(fault.durationMilliseconds, maxAwayMilliseconds));
            }
            returnFromCopy();
            await pause(secondReturnMilliseconds);
        }
    };
    const injectReturns = (returnCount: number): () => Promise<void> => {
        const returned = injectReturn(returnCount);
        return () => returned;
    };
    const injections: Record<faults.FaultKindValue, () => () => void | Promise<void>> = {
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
        registryOddEntry: () => site.putOddEntry(fault.targetIndex),
        upstreamMalformed: () => injectUpstreamMode(emulator.UpstreamMode.malformed),
        upstreamLinkRefused: () =>
            injectRefusal(
                fault.targetIndex % 3 === 0 ? standins.LinkRefusal.alternating : standins.LinkRefusal.all,
            ),
        documentStorm: injectDocuments,
        settingsRereadStorm: injectSettings,
        instanceSignalSeries: injectSignalSeries,
        upstreamLeaving: injectLeaving,
        upstreamBusy: () => injectUpstreamMode(emulator.UpstreamMode.busy),
        upstreamMisdirecting: () => injectUpstreamMode(emulator.UpstreamMode.misdirecting),
        domainEvacuated: injectEvacuation,
        storeReturned: () => injectReturns(1),
        storeReturnedTwice: () => injectReturns(2),
        callersUnusual: () => startUnusualCallers(instance, fault),
    };
    return injections[fault.kind]();
};
