/** Stand-ins for the platform and for upstreams that implement their published protocols. Not shipped with the router. */
export { createGrantTable } from "./grantTable";
export type { GrantMessage, GrantResponse, GrantTable, OwnershipInterval } from "./grantTable";
export { createInstanceListStandIn } from "./instanceListStandIn";
export type { InstanceListStandIn } from "./instanceListStandIn";
export { createLinkStandIn, LinkRefusal } from "./linkStandIn";
export type { LinkOptions, LinkRefusalValue, LinkStandIn } from "./linkStandIn";
export { createLogServiceStandIn, createLogStore } from "./logServiceStandIn";
export type { LogFaults, LogStore } from "./logServiceStandIn";
export { createUpstreamStandIn } from "./upstreamStandIn";
export type { UpstreamStandIn, UpstreamStandInOptions } from "./upstreamStandIn";
