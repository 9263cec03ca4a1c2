/** Connects the decision which upstreams may get requests and own keys to the document and the registry. */
import * as eligibilities from "@mulberryseam/eligibility";
import type * as relay from "@mulberryseam/relay";
import type * as routing from "@mulberryseam/routing";

/** Dependencies of the places of a site. */
export interface SitePlacesOptions {
    /** Region of each failure domain. */
    regions: Readonly<Record<string, string>>;
    directory: routing.UpstreamDirectory;
    documentInForce: () => relay.DocumentInForce | undefined;
    warmupRates: eligibilities.WarmupRates;
}

/** Where requests and keys may go. */
export interface SitePlaces {
    eligibility: eligibilities.Eligibility;
    /** Whether an upstream of a service may own keys, as far as its place decides that. */
    mayOwnKeys: (service: string, upstream: routing.Upstream) => boolean;
    /** Finds a registered incarnation. */
    findUpstream: (incarnation: routing.Incarnation) => routing.Upstream | undefined;
}

/**
 * Creates the places of a site.
 *
 * @param options - dependencies
 * @returns the places
 */
export const createSitePlaces = (
    { regions, directory, documentInForce, warmupRates }: SitePlacesOptions,
): SitePlaces => {
    const eligibility = eligibilities.createEligibility({
        regions,
        evacuations: eligibilities.noEvacuations,
        warmupRates,
    });
    return {
        eligibility,
        mayOwnKeys: (service, upstream) => {
            const document = documentInForce()?.document;
            // Until the document is known, there is nothing to place.
            return document === undefined
                || eligibility.mayOwnKeys(upstream, eligibilities.findPlacementRegions(document, service));
        },
        findUpstream: ({ identifier, startedAt }) => {
            const upstream = directory.find(identifier)?.upstream;
            return upstream?.startedAt === startedAt ? upstream : undefined;
        },
    };
};
