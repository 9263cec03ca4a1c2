/** Brings up a whole site of separate processes on loopback: stand-ins, instances, and work for them. */
export { bundleProgram } from "./bundles";
export { sendRequest } from "./caller";
export type { CallerAnswer, CallerRequest } from "./caller";
export { startProcess } from "./childProcess";
export type { SiteProcess } from "./childProcess";
export { loadExample } from "./exampleDocument";
export { judgeOwnership } from "./ownershipJudge";
export type { OwnedInterval, OwnershipJudgement } from "./ownershipJudge";
export { reservePorts } from "./ports";
export { createSite } from "./site";
export type { InstanceProcess, ServerProcess, Site, SiteOptions } from "./site";
export { historyClock, wait } from "./wait";
