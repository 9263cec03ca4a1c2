/** What operators ask for: routes, services and limits, in the words of this project. */

/** What may be repeated of a route's requests. */
export const RouteKind = { idempotent: "idempotent", once: "once", upload: "upload" } as const;

/** One of {@link RouteKind}. */
export type RouteKindValue = typeof RouteKind[keyof typeof RouteKind];

/** A service and its part of a route's requests. */
export interface Destination {
    service: string;
    /** Relative to the sum of the route's weights; above zero. */
    weight: number;
}

/** One route. */
export interface Route {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RouteKindValue;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    timeoutMilliseconds: number;
    /** Time within which an answer is worth most, in milliseconds. */
    targetMilliseconds: number;
    /** Largest number of upstreams that one request may run on. */
    maximumAttempts: number;
    /** 0 is the most urgent. */
    rank: number;
    /** At least one. */
    destinations: Destination[];
}

/** One service. */
export interface Service {
    name: string;
    /** Connections that one upstream takes from all instances together. */
    maximumConnections: number;
    /** Whether each of its keys is owned by one upstream. */
    isKeyed: boolean;
}

/** What callers may send. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerMilliseconds: number;
    idleMilliseconds: number;
}

/** One version of what operators ask for. */
export interface RoutingDocument {
    version: number;
    routes: Route[];
    services: Map<string, Service>;
    limits: CallerLimits;
}

/** A running upstream, as it registered itself. */
export interface Upstream {
    /** Names one upstream; a new start under the same name has another {@link Upstream.startedAt}. */
    identifier: string;
    service: string;
    host: string;
    port: number;
    failureDomain: string;
    slots: number;
    isDraining: boolean;
    /** How much longer it is slow after its start, in milliseconds, when the entry was written. */
    warmupMilliseconds: number;
    /** Its start in milliseconds since the epoch; 0 when unknown. Only compared for equality. */
    startedAt: number;
}
