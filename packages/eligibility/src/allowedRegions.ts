/** Restricts routes, and the keys of their services, to regions. */
import type * as routing from "@mulberryseam/routing";

/** The regions that a route allows; undefined if it allows all of them. */
export type AllowedRegions = readonly string[] | undefined;

/**
 * Whether a route allows a region.
 *
 * @param region - the region; undefined if it is unknown
 * @param allowedRegions - the regions that the route allows
 * @returns whether requests of the route may reach the region; false for an unknown region of a restricted route
 */
export const isRegionAllowed = (region: string | undefined, allowedRegions: AllowedRegions): boolean =>
    allowedRegions === undefined || (region !== undefined && allowedRegions.includes(region));

/** A document whose routes name only regions of the site. */
export interface RestrictedDocument {
    document: routing.RoutingDocument;
    /** Descriptions of the region names that were removed, for the log. */
    ignored: readonly string[];
}

const restrictRoute = (
    route: routing.Route,
    knownRegions: ReadonlySet<string>,
    ignored: string[],
): routing.Route => {
    const { allowedRegions, ...unrestricted } = route;
    const unknown = allowedRegions?.filter(region => !knownRegions.has(region)) ?? [];
    if (allowedRegions === undefined || unknown.length === 0) {
        return route;
    }
    const known = allowedRegions.filter(region => knownRegions.has(region));
    const consequence = known.length === 0 ? ", so it is unrestricted" : "";
    ignored.push(`route ${route.name}: unknown region ${unknown.join(", ")}${consequence}`);
    return known.length === 0 ? unrestricted : { ...unrestricted, allowedRegions: known };
};

/**
 * Removes the regions that the site does not have from the routes of a document. A route without a known region left becomes
 * unrestricted: refusing all of its requests because of a misspelt name would be the greater damage.
 *
 * @param document - the operators' document
 * @param knownRegions - the regions of the site
 * @returns the document, with the same routes if they name no unknown region
 */
export const restrictToKnownRegions = (
    document: routing.RoutingDocument,
    knownRegions: ReadonlySet<string>,
): RestrictedDocument => {
    const ignored: string[] = [];
    const routes = document.routes.map(route => restrictRoute(route, knownRegions, ignored));
    return { document: ignored.length === 0 ? document : { ...document, routes }, ignored };
};

/** Returns the regions that all routes to a service allow, which may be none; undefined without a restriction. */
const findCommonRegions = ({ routes }: routing.RoutingDocument, service: string): AllowedRegions =>
    routes
        .filter(({ destinations }) => destinations.some(destination => destination.service === service))
        .map(route => route.allowedRegions)
        .reduce(
            (common, allowed) => common === undefined ? allowed : common.filter(name => isRegionAllowed(name, allowed)),
            undefined,
        );

/**
 * Returns the regions in which the keys of a service may be placed.
 *
 * @param document - the operators' document
 * @param service - name of the service
 * @returns the regions that every route to the service allows; undefined, for all regions, if there is none in common
 */
export const findPlacementRegions = (document: routing.RoutingDocument, service: string): AllowedRegions => {
    const common = findCommonRegions(document, service);
    return common?.length === 0 ? undefined : common;
};

/**
 * Lists the keyed services whose routes allow no common region, so that their keys are placed in all regions.
 *
 * @param document - the operators' document
 * @returns the names of the services
 */
export const listServicesWithoutCommonRegion = (document: routing.RoutingDocument): string[] =>
    [...document.services.values()]
        .filter(({ name, isKeyed }) => isKeyed && findCommonRegions(document, name)?.length === 0)
        .map(({ name }) => name);
