/** Finds the route of a request and selects the service that handles it. */
import * as documents from "./document";

/** A route with the splitter that distributes its requests among services. */
export interface RouteEntry {
    route: documents.Route;
    nextService: Splitter;
}

/**
 * Returns the service for the next request. `costOf` returns the cost of the request at a service, from 0 to 1,
 * relative to other requests of the route. Expensive requests are sent to other services as far as the weights allow.
 */
export type Splitter = (costOf: (service: string) => number) => string;

/** An index of the routes of one document. */
export interface RouteTable {
    find: (host: string, path: string) => RouteEntry | undefined;
}

/** Number of requests by which a service may deviate from its weight to avoid a cost of 1. */
const costWeight = 0.8;

/**
 * Creates a splitter that keeps every prefix of the request sequence as close to the weights as costs allow.
 *
 * @param destinations - services with their weights, at least one
 * @returns the splitter
 */
export const createSplitter = (destinations: readonly documents.Destination[]): Splitter => {
    if (destinations.length === 1) {
        return () => destinations[0].service;
    }
    const totalWeight = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    const credits = destinations.map(() => 0);
    return costOf => {
        destinations.forEach((destination, index) => {
            credits[index] += destination.weight / totalWeight;
        });
        const scores = credits.map((credit, index) => credit - costWeight * costOf(destinations[index].service));
        const selected = scores.reduce((best, score, index) => score > scores[best] ? index : best, 0);
        credits[selected] -= 1;
        return destinations[selected].service;
    };
};

const normalizeHost = (host: string): string => host.replace(/:\d+$/, "").toLowerCase();

/**
 * Indexes the routes of a document.
 *
 * @param routes - routes in any order
 * @returns the table, in which the longest matching path prefix of a host wins
 */
export const createRouteTable = (routes: readonly documents.Route[]): RouteTable => {
    const entriesByHost = new Map<string, RouteEntry[]>();
    for (const route of routes) {
        const host = normalizeHost(route.host);
        const entries = entriesByHost.get(host) ?? [];
        entries.push({ route, nextService: createSplitter(route.destinations) });
        entriesByHost.set(host, entries);
    }
    for (const entries of entriesByHost.values()) {
        entries.sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length);
    }
    return {
        find: (host, path) =>
            entriesByHost.get(normalizeHost(host))?.find(entry => path.startsWith(entry.route.pathPrefix)),
    };
};
