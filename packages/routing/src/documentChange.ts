/** Compares two versions of the operators' document. */
import type * as document from "./document";

/** Names of what a version adds, removes and changes. */
export interface NameChanges {
    added: string[];
    removed: string[];
    changed: string[];
}

/** Difference between two versions of the document. */
export interface DocumentChange {
    routes: NameChanges;
    services: NameChanges;
    /** Whether the limits on callers differ. */
    areLimitsChanged: boolean;
}

const isEqual = (left: unknown, right: unknown): boolean => JSON.stringify(left) === JSON.stringify(right);

const compareItems = (previous: ReadonlyMap<string, unknown>, next: ReadonlyMap<string, unknown>): NameChanges => ({
    added: [...next.keys()].filter(name => !previous.has(name)),
    removed: [...previous.keys()].filter(name => !next.has(name)),
    changed: [...next.keys()].filter(name => previous.has(name) && !isEqual(previous.get(name), next.get(name))),
});

const routesByName = (routes: readonly document.Route[]): ReadonlyMap<string, document.Route> =>
    new Map(routes.map(route => [route.name, route]));

/**
 * Compares two versions.
 *
 * @param previous - the version in force before; undefined for the first one, in which everything is added
 * @param next - the new version
 * @returns the names of the routes and services that differ
 */
export const compareDocuments = (
    previous: document.RoutingDocument | undefined,
    next: document.RoutingDocument,
): DocumentChange => ({
    routes: compareItems(routesByName(previous?.routes ?? []), routesByName(next.routes)),
    services: compareItems(previous?.services ?? new Map(), next.services),
    areLimitsChanged: previous !== undefined && !isEqual(previous.limits, next.limits),
});
