/** Runs a site of separate processes on loopback (stand-ins and instances) and sends requests to it. */
export { bundleProgram } from "./bundles";
export { sendRequest } from "./caller";
export type { CallerRequest, CallerResponse } from "./caller";
export { startProcess } from "./childProcess";
export type { SiteProcess } from "./childProcess";
export { loadExample } from "./exampleDocument";
export { checkOwnership } from "./ownershipChecker";
export type { OwnedInterval, OwnershipCheckResult } from "./ownershipChecker";
export { reserveNetwork, reservePorts } from "./ports";
export { createSite } from "./site";
export type { InstanceProcess, ServerProcess, Site, SiteOptions } from "./site";
export { currentHistoryTime, wait } from "./wait";
