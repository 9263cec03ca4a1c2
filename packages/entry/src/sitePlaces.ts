/** Connects the decision which upstreams may get requests and own keys to the document, the registry and the evacuations. */
import * as eligibilities from "@mulberryseam/eligibility";
import type * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import type * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import type * as topicTask from "./topicTask";

/** Dependencies of the places of a site. */
export interface SitePlacesOptions {
    /** The failure domains with their regions, and the time after which no request may reach an evacuated one. */
    settings: Pick<platform.InstanceSettings, "regions" | "evacuationMilliseconds">;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    documentInForce: () => relay.DocumentInForce | undefined;
    warmupRates: eligibilities.WarmupRates;
}

/** What is left in a failure domain that is being evacuated. */
export interface EvacuationRemains {
    failureDomain: string;
    /** Requests of this instance without a response from there. */
    requests: number;
    /** Keys that upstreams there own, if this instance leads; 0 otherwise, so that the sum over all instances counts each key once. */
    keys: number;
}

/** Counts what is left in a failure domain. */
export interface RemainsCounters {
    openAttemptCount: (failureDomain: string) => number;
    ownedKeyCount: (isCounted: (owner: routing.Incarnation) => boolean) => number;
}

/** Where requests and keys may go. */
export interface SitePlaces {
    eligibility: eligibilities.Eligibility;
    evacuations: eligibilities.Evacuations;
    /** Whether an upstream of a service may own keys, as far as its place decides that. */
    mayOwnKeys: (service: string, upstream: routing.Upstream) => boolean;
    /** Finds a registered incarnation. */
    findUpstream: (incarnation: routing.Incarnation) => routing.Upstream | undefined;
    /** Applies a record of an evacuation, which begins, or is over once the record is deleted. */
    onEvacuationRecord: (failureDomain: string, isEvacuated: boolean, origin: topicTask.ChangeOrigin) => void;
    /** Returns what is left in each failure domain that is evacuated. */
    listRemains: (counters: RemainsCounters) => EvacuationRemains[];
}

/**
 * Portion of the time for an evacuation that is reserved, in milliseconds: for what has been sent and not arrived, and for an instance that
 * is behind with its work. The time for learning of the evacuation is not part of it, but counted from the last state without it.
 */
const evacuationMarginMilliseconds = 700;

/**
 * Creates the places of a site.
 *
 * @param options - dependencies
 * @returns the places, without evacuations
 */
export const createSitePlaces = (options: SitePlacesOptions): SitePlaces => {
    const { directory, timers, log } = options;
    const { regions, evacuationMilliseconds } = options.settings;
    const evacuations = eligibilities.createEvacuations();
    const ownerGraceMilliseconds = Math.max(0, evacuationMilliseconds - evacuationMarginMilliseconds);
    const eligibility = eligibilities.createEligibility({
        regions,
        evacuations,
        ownerGraceMilliseconds,
        warmupRates: options.warmupRates,
    });
    const findUpstream: SitePlaces["findUpstream"] = incarnation => routing.findIncarnation(directory, incarnation);
    const begin = (failureDomain: string, { source, maxAgeMilliseconds }: topicTask.ChangeOrigin): void => {
        const now = timers.now();
        const earliestBeginAt = now - maxAgeMilliseconds;
        if (!evacuations.begin({ failureDomain, knownSince: now, earliestBeginAt })) {
            return;
        }
        log.write("evacuation-begun", {
            failureDomain,
            source,
            maxAge: Number.isFinite(maxAgeMilliseconds) ? Math.round(maxAgeMilliseconds) : undefined,
            upstreams: [...directory.all()].filter(({ upstream }) => upstream.failureDomain === failureDomain).length,
        });
        const graceMilliseconds = earliestBeginAt + ownerGraceMilliseconds - now;
        if (graceMilliseconds > 0) {
            // Requests to owners that still wait for a connection then are cancelled.
            timers.onDelay(graceMilliseconds, evacuations.notifyChange);
        }
    };
    const end = (failureDomain: string): void => {
        const now = timers.now();
        const ended = evacuations.end(failureDomain, now);
        if (ended !== undefined) {
            log.write("evacuation-ended", { failureDomain, milliseconds: Math.round(now - ended.knownSince) });
        }
    };
    return {
        eligibility,
        evacuations,
        findUpstream,
        mayOwnKeys: (service, upstream) => {
            const document = options.documentInForce()?.document;
            // Until the document is known, there is nothing to place.
            return document === undefined
                || eligibility.mayOwnKeys(upstream, eligibilities.findPlacementRegions(document, service));
        },
        onEvacuationRecord: (failureDomain, isEvacuated, origin) => {
            if (!isEvacuated) {
                end(failureDomain);
            }
            else if (Object.hasOwn(regions, failureDomain)) {
                begin(failureDomain, origin);
            }
            else {
                log.write("evacuation-ignored", { failureDomain, reason: "the site has no such failure domain" });
            }
        },
        listRemains: ({ openAttemptCount, ownedKeyCount }) =>
            evacuations.list().map(({ failureDomain }) => ({
                failureDomain,
                requests: openAttemptCount(failureDomain),
                keys: ownedKeyCount(owner => findUpstream(owner)?.failureDomain === failureDomain),
            })),
    };
};
