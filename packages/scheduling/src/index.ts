/** Decides which upstream gets a request, how many requests it may have, and which request goes first. */
export { isAdmissible, queueLimit, retryAfterMilliseconds } from "./admission";
export type { AdmissionInput, QueueLimitInput } from "./admission";
export { createConcurrencyWindow } from "./concurrencyWindow";
export type { ConcurrencyWindow, QueueLimit } from "./concurrencyWindow";
export { createHoldOffs } from "./holdOff";
export type { HoldOffs } from "./holdOff";
export { createReturningCallers } from "./returningCallers";
export type { ReturningCallers } from "./returningCallers";
export { latestResponseAt } from "./silence";
export type { SilenceInput } from "./silence";
export { chooseUpstream, estimateResponseTime, estimateWait } from "./upstreamCost";
export type { Candidate, Choice } from "./upstreamCost";
export { createUpstreamHealth, HealthSignal } from "./upstreamHealth";
export type { HealthSignalValue, LoadReport, OutstandingAttempt, UpstreamHealth } from "./upstreamHealth";
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
