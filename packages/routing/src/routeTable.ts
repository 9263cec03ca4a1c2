/** Finds the route of a request and the service that takes it. */
import * as documents from "./document";

/** A route with what is needed to divide its requests. */
export interface RouteEntry {
    route: documents.Route;
    nextService: Splitter;
}

/**
 * Takes the next request's service. The cost, from 0 to 1, tells what the request would cost at a service beside other
 * requests of its route: the dear ones go elsewhere as long as the weights are kept.
 */
export type Splitter = (costOf: (service: string) => number) => string;

/** Routes of one document, ready to be searched. */
export interface RouteTable {
    find: (host: string, path: string) => RouteEntry | undefined;
}

/** Requests by which a service may be ahead or behind its weight for the sake of a cost of 1. */
const costPart = 0.8;

/**
 * Divides requests among destinations so that every prefix of the sequence is as close to the weights as costs allow.
 *
 * @param destinations - services with weights
 * @returns gives the next service
 */
export const createSplitter = (destinations: readonly documents.Destination[]): Splitter => {
    if (destinations.length === 1) {
        return () => destinations[0].service;
    }
    const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    const credits = destinations.map(() => 0);
    return costOf => {
        destinations.forEach((destination, index) => {
            credits[index] += destination.weight / total;
        });
        const merits = credits.map((credit, index) => credit - costPart * costOf(destinations[index].service));
        const chosen = merits.indexOf(Math.max(...merits));
        credits[chosen] -= 1;
        return destinations[chosen].service;
    };
};

const hostWithoutPort = (host: string): string => host.replace(/:\d+$/, "").toLowerCase();

/**
 * Indexes the routes of a document.
 *
 * @param routes - routes in any order
 * @returns the table; among routes of a host the longest prefix wins
 */
export const createRouteTable = (routes: readonly documents.Route[]): RouteTable => {
    const byHost = new Map<string, RouteEntry[]>();
    for (const route of routes) {
        const host = hostWithoutPort(route.host);
        const entries = byHost.get(host) ?? [];
        entries.push({ route, nextService: createSplitter(route.destinations) });
        byHost.set(host, entries);
    }
    for (const entries of byHost.values()) {
        entries.sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length);
    }
    return {
        find: (host, path) => byHost.get(hostWithoutPort(host))?.find(entry => path.startsWith(entry.route.pathPrefix)),
    };
};
