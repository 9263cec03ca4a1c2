/** Defines routes, services and upstreams, and selects the service of a request. */
export { RouteKind } from "./document";
export type {
    CallerLimits,
    Destination,
    Route,
    RouteKindValue,
    RoutingDocument,
    Service,
    Upstream,
    Warmup,
} from "./document";
export { compareDocuments } from "./documentChange";
export type { DocumentChange, NameChanges } from "./documentChange";
export { createRouteTable, createSplitter } from "./routeTable";
export type { RouteEntry, RouteTable, Splitter } from "./routeTable";
export { createUpstreamDirectory, findIncarnation, reregistrationMilliseconds } from "./upstreamDirectory";
export type { DirectoryEntry, Incarnation, LeavingIncarnation, UpstreamDirectory } from "./upstreamDirectory";
