/** A randomized fault soak of the real programs as separate processes on loopback. */
export { createSchedule, FaultKind } from "./faults";
export type { Fault, FaultKindValue, Schedule } from "./faults";
export { judge } from "./judge";
export type { CallerRecord, Evidence, RunRecord } from "./judge";
export { runSoak } from "./soakRun";
export type { SoakOptions, SoakResult } from "./soakRun";
