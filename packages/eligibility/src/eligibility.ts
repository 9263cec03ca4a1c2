/**
 * Decides whether an upstream may get a request now, or own keys. Every send and every placement asks it, so that no path of a
 * request can miss one of the limits.
 */
import type * as foundation from "@mulberryseam/foundation";
import type * as routing from "@mulberryseam/routing";
import * as regionRules from "./allowedRegions";
import type * as evacuationRecord from "./evacuations";

/** Why an upstream may not get a request. */
export const IneligibilityReason = {
    /** The route does not allow the region of the upstream. */
    region: "region",
    /** The operators have evacuated the failure domain of the upstream. */
    evacuated: "evacuated",
    /** The upstream is cold, and this instance has used its share of the rate that it tolerates. */
    warmup: "warmup",
} as const;

/** One of {@link IneligibilityReason}. */
export type IneligibilityReasonValue = typeof IneligibilityReason[keyof typeof IneligibilityReason];

/** Why, and for how long, an upstream may not get a request. */
export interface Ineligibility {
    reason: IneligibilityReasonValue;
    /** Time until the upstream may get a request, in milliseconds; Infinity if it is unknown. */
    waitMilliseconds: number;
}

/** The rates at which this instance may send requests to cold upstreams. */
export interface WarmupRates {
    /** Returns the time until this instance may send another request to an upstream, in milliseconds; 0 if it may now. */
    waitMilliseconds: (upstream: routing.Upstream, now: number) => number;
    /** Records that this instance sends a request to an upstream. */
    onSent: (upstream: routing.Upstream, now: number) => void;
}

/** Configures {@link createEligibility}. */
export interface EligibilityOptions {
    /** Region of each failure domain. */
    regions: Readonly<Record<string, string>>;
    evacuations: evacuationRecord.Evacuations;
    /**
     * Time for which owners in an evacuated failure domain still get requests for their keys, in milliseconds after the evacuation may have
     * begun; 0 by default.
     */
    ownerGraceMilliseconds?: number;
    warmupRates: WarmupRates;
}

/** Decides whether upstreams may get requests or own keys. */
export interface Eligibility {
    /** Returns why an upstream may not get a request without a key of a route now; undefined if it may. */
    findIneligibility: (
        upstream: routing.Upstream,
        allowedRegions: regionRules.AllowedRegions,
        now: number,
    ) => Ineligibility | undefined;
    /**
     * Returns why the owner of a key may not get a request of a route for it now; undefined if it may. In an evacuated failure domain, it
     * may get requests until its keys have been moved, for a time, but none that is sent again.
     */
    findOwnerIneligibility: (
        upstream: routing.Upstream,
        allowedRegions: regionRules.AllowedRegions,
        now: number,
        isRetry: boolean,
    ) => Ineligibility | undefined;
    /** Records that a request is sent to an upstream. */
    onSent: (upstream: routing.Upstream, now: number) => void;
    /** Calls a function each time that upstreams may have become eligible or ineligible because of where they are. */
    onChange: (callback: () => void) => foundation.Subscription;
    /** Whether an upstream may own keys of a service whose routes all allow the given regions. */
    mayOwnKeys: (upstream: routing.Upstream, allowedRegions: regionRules.AllowedRegions) => boolean;
}

/** The rates of a site whose services limit the rate of cold upstreams nowhere. */
export const unlimitedWarmupRates: WarmupRates = { waitMilliseconds: () => 0, onSent: () => undefined };

/**
 * Creates the decision of an instance.
 *
 * @param options - the regions of the site and the state that limits sends
 * @returns the decision
 */
export const createEligibility = (
    { regions, evacuations, ownerGraceMilliseconds = 0, warmupRates }: EligibilityOptions,
): Eligibility => {
    const isPlaceAllowed = (upstream: routing.Upstream, allowedRegions: regionRules.AllowedRegions): boolean =>
        regionRules.isRegionAllowed(regions[upstream.failureDomain], allowedRegions);
    const findIneligibility = (
        upstream: routing.Upstream,
        allowedRegions: regionRules.AllowedRegions,
        now: number,
        isEvacuated: boolean,
    ): Ineligibility | undefined => {
        if (!isPlaceAllowed(upstream, allowedRegions)) {
            return { reason: IneligibilityReason.region, waitMilliseconds: Infinity };
        }
        if (isEvacuated) {
            return { reason: IneligibilityReason.evacuated, waitMilliseconds: Infinity };
        }
        const waitMilliseconds = warmupRates.waitMilliseconds(upstream, now);
        return waitMilliseconds > 0 ? { reason: IneligibilityReason.warmup, waitMilliseconds } : undefined;
    };
    return {
        findIneligibility: (upstream, allowedRegions, now) =>
            findIneligibility(upstream, allowedRegions, now, evacuations.isEvacuated(upstream.failureDomain)),
        findOwnerIneligibility: (upstream, allowedRegions, now, isRetry) => {
            const evacuation = evacuations.find(upstream.failureDomain);
            const isEvacuated = evacuation !== undefined
                && (isRetry || now - evacuation.earliestBeginAt >= ownerGraceMilliseconds);
            return findIneligibility(upstream, allowedRegions, now, isEvacuated);
        },
        onChange: evacuations.onChange,
        onSent: warmupRates.onSent,
        mayOwnKeys: (upstream, allowedRegions) =>
            isPlaceAllowed(upstream, allowedRegions) && !evacuations.isEvacuated(upstream.failureDomain),
    };
};
