/** Connects the rates of cold upstreams to what the instance knows of its site, its log and its metrics. */
import * as eligibility from "@mulberryseam/eligibility";
import type * as foundation from "@mulberryseam/foundation";
import type * as protocol from "@mulberryseam/protocol";
import * as routing from "@mulberryseam/routing";
import type * as ownershipTask from "./ownershipTask";
import type * as inForce from "./settingsInForce";
import type * as siteView from "./siteView";

/** Dependencies of the cold upstreams. */
export interface ColdUpstreamsOptions {
    settings: inForce.SettingsInForce;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    view: Pick<siteView.SiteView, "documentInForce" | "registryAge">;
    /** Returns what is known of the other instances. */
    ownership: () => Pick<ownershipTask.OwnershipTask, "identifier" | "reportedInstanceCount" | "delegates">;
    /** Returns when the last evacuation of a failure domain ended; undefined if there was none. */
    evacuationEndedAt: (failureDomain: string) => number | undefined;
}

/** The cold upstreams, as known to an instance. */
export interface ColdUpstreams {
    rates: eligibility.LearningWarmupRates;
    /** Whether a service limits the rate of requests to its cold upstreams. */
    limitsRate: (service: string) => boolean;
    /** Records that an incarnation has said in a response for how much longer it is cold. */
    onReported: (incarnation: routing.Incarnation, milliseconds: number) => void;
    /** Whether only other instances may send requests to an incarnation. */
    isLeftToOthers: (incarnation: routing.Incarnation) => boolean;
    /** Notes cold periods that have begun or ended by time; called at intervals. */
    update: () => void;
    /** Number of cold upstreams at the last update. */
    count: () => number;
}

/**
 * Age of the registry from which every upstream of a service with a warm-up rate may be cold, in milliseconds: an instance reads the
 * registry itself once it is 800 ms old, and one failed or late read is repeated within this time.
 */
export const staleRegistryMilliseconds = 2000;

/**
 * Creates the cold upstreams of an instance.
 *
 * @param options - what the instance knows of its site
 * @returns the cold upstreams; none is known
 */
export const createColdUpstreams = (options: ColdUpstreamsOptions): ColdUpstreams => {
    const { settings, directory, timers, log, view, ownership } = options;
    const findService = (name: string): routing.Service | undefined =>
        view.documentInForce()?.document.services.get(name);
    const failureDomainCount = Object.keys(settings.current().regions).length;
    let coldCount = 0;
    let knownDelegates: readonly protocol.Delegate[] | undefined;
    let neighbours: readonly string[] = [];
    const listNeighbours = (): readonly string[] => {
        const delegates = ownership().delegates();
        if (delegates !== knownDelegates) {
            knownDelegates = delegates;
            neighbours = delegates.map(({ identifier }) => identifier);
        }
        return neighbours;
    };
    const rates = eligibility.createWarmupRates({
        warmupOf: service => findService(service)?.warmup,
        findSharers: eligibility.createRateSharerFinder(() => ({
            identifier: ownership().identifier,
            instanceCount: ownership().reportedInstanceCount(),
            failureDomainCount,
            neighbours: listNeighbours(),
        })),
        isRegistryStale: () => view.registryAge() > staleRegistryMilliseconds,
        endedAt: options.evacuationEndedAt,
        overshoot: () => settings.current().warmupOvershoot,
        slack: () => settings.current().warmupSlack,
        random: options.random,
        onCold: ({ identifier, service }, cause, milliseconds) =>
            log.write("upstream-cold", {
                upstream: identifier,
                service,
                cause,
                milliseconds: Math.round(milliseconds),
            }),
        onWarm: ({ identifier }) => log.write("upstream-warm", { upstream: identifier }),
    });
    return {
        rates,
        limitsRate: service => findService(service)?.warmup !== undefined,
        onReported: (incarnation, milliseconds) => {
            const upstream = routing.findIncarnation(directory, incarnation);
            if (upstream !== undefined) {
                rates.onReported(upstream, milliseconds, timers.now());
            }
        },
        isLeftToOthers: incarnation => {
            const upstream = routing.findIncarnation(directory, incarnation);
            return upstream !== undefined && rates.isLeftToOthers(upstream, timers.now());
        },
        update: () => {
            coldCount = rates.update([...directory.all()].map(({ upstream }) => upstream), timers.now());
        },
        count: () => coldCount,
    };
};
