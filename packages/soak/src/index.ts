/** Randomized soak test with fault injection that runs the real programs as separate processes on loopback. */
export { createDocument, createShape, plainShape } from "./documents";
export {
    createSchedule,
    evacuationKinds,
    FaultKind,
    leaseRefusalKinds,
    oddInputKinds,
    returnKinds,
    seriesKinds,
    withdrawalKinds,
} from "./faults";
export type { Fault, FaultKindValue, Schedule } from "./faults";
export { startInstance } from "./instances";
export type { InstanceOptions, SoakInstance } from "./instances";
export { checkInvariants } from "./invariantChecker";
export type { CallerRecord, ExecutionRecord, Observations } from "./invariantChecker";
export { createOddEntry } from "./oddEntries";
export { startSite } from "./site";
export type { Site, SiteOptions } from "./site";
export { runSoak } from "./soakRun";
export type { SoakOptions, SoakResult } from "./soakRun";
export type { ArrivalRecord, EvacuationSpan } from "./upstreamChecker";
