/** Decides which upstream gets a request, how many requests it may have, and which request goes first. */
export { isAdmissible, queueLimit, retryAfterMilliseconds } from "./admission";
export type { AdmissionInput, QueueLimitInput } from "./admission";
export { createConcurrencyWindow, limitToCapacity } from "./concurrencyWindow";
export type { ConcurrencyWindow, QueueLimit } from "./concurrencyWindow";
export { createHoldOffs } from "./holdOff";
export type { HoldOffs } from "./holdOff";
export { createSlownessAverage, expectedSlowness } from "./machineSlowness";
export type { ExpectedSlowness, SlownessAverage, SlownessReport } from "./machineSlowness";
export { createQueueCapacity } from "./queueCapacity";
export type { QueueCapacity, SilenceEvidence } from "./queueCapacity";
export { createReturningCallers } from "./returningCallers";
export type { ReturningCallers } from "./returningCallers";
export { createServiceObservations } from "./serviceObservations";
export type { ServiceObservations } from "./serviceObservations";
export { createServiceTail, tailStartFactor } from "./serviceTime";
export type { ServiceTail } from "./serviceTime";
export { latestResponseAt, usualResponseMilliseconds } from "./silence";
export type { SilenceInput } from "./silence";
export { chooseUpstream, estimateResponseTime, estimateWait } from "./upstreamCost";
export type { Candidate, Choice } from "./upstreamCost";
export { createUpstreamHealth, HealthSignal } from "./upstreamHealth";
export type { HealthSignalValue, LoadReport, OutstandingAttempt, UpstreamHealth } from "./upstreamHealth";
export { assumedCapacity, createUpstreamMemory, largestUploadBytes } from "./upstreamMemory";
export type { UpstreamLoad, UpstreamMemory } from "./upstreamMemory";
export { createWaitingOrder, OrderPolicies } from "./waitingOrder";
export type {
    OrderDecision,
    OrderInput,
    OrderPolicy,
    QueuedRequest,
    RefusedRequest,
    Room,
    WaitingOrder,
} from "./waitingOrder";
