/** Types of the operators' document, with its routes, services and limits, and of registered upstreams. */

/** Determines whether the requests of a route may be retried. */
export const RouteKind = { idempotent: "idempotent", once: "once", upload: "upload" } as const;

/** A value of {@link RouteKind}. */
export type RouteKindValue = typeof RouteKind[keyof typeof RouteKind];

/** A service and its weight in the traffic split of a route. */
export interface Destination {
    service: string;
    /** Positive; relative to the sum of the weights of the route. */
    weight: number;
}

/** A route, which matches requests by host and path prefix. */
export interface Route {
    name: string;
    host: string;
    /** Starts and ends with a slash. */
    pathPrefix: string;
    kind: RouteKindValue;
    /** Deadline of a request, in milliseconds after its arrival. */
    timeoutMilliseconds: number;
    /** Response time within which a response has its full value, in milliseconds. */
    targetMilliseconds: number;
    /** Maximum number of upstreams on which one request may run. */
    maxAttempts: number;
    /** Priority of the requests; 0 is the most urgent. */
    rank: number;
    /** Services that receive the requests; at least one. */
    destinations: Destination[];
    /** Regions in which the requests may be handled; undefined without a restriction. */
    allowedRegions?: readonly string[];
}

/** How an upstream of a service is treated while it is cold. */
export interface Warmup {
    /** Time for which it stays cold after its start, in milliseconds. */
    milliseconds: number;
    /** Requests a second, of all instances together, that it tolerates while it is cold. */
    requestsPerSecond: number;
}

/** A service of the operators' document. */
export interface Service {
    name: string;
    /** Maximum number of connections that one upstream accepts from all instances together. */
    maxConnections: number;
    /** Whether each key of the service is owned by exactly one upstream. */
    isKeyed: boolean;
    /** Undefined if the rate of requests to cold upstreams is not limited. */
    warmup?: Warmup;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMilliseconds: number;
    idleTimeoutMilliseconds: number;
}

/** One version of the operators' document. */
export interface RoutingDocument {
    version: number;
    routes: Route[];
    services: Map<string, Service>;
    limits: CallerLimits;
    /** Descriptions of values that cannot be used and are ignored, for the log. */
    ignored?: readonly string[];
}

/** A running upstream, as described by its registry entry. */
export interface Upstream {
    /** Identifies the upstream; its incarnations differ in {@link Upstream.startedAt}. */
    identifier: string;
    service: string;
    host: string;
    port: number;
    failureDomain: string;
    slots: number;
    isDraining: boolean;
    /** Warm-up time, in milliseconds, that remained when the entry was written; the upstream is slower until then. */
    warmupMilliseconds: number;
    /** Start of the incarnation in milliseconds since the epoch. Compared only with other starts. */
    startedAt: number;
}
