/** Policies of request handling without I/O: admission, windows, upstream selection, ejection, retries and links. */
export { createAdaptiveWindow } from "./adaptiveWindow";
export type { AdaptiveWindow } from "./adaptiveWindow";
export { createEjection } from "./ejection";
export type { Ejection } from "./ejection";
export { createLinkBudget } from "./linkBudget";
export type { LinkBudget } from "./linkBudget";
export { createLoadCounter } from "./loadCounter";
export type { LoadCounter } from "./loadCounter";
export { AttemptResult, canRetry, Outcome, outcomeOf } from "./outcome";
export type { AttemptResultKind, OutcomeKind } from "./outcome";
export { createRankQueue, RefusalReason } from "./rankQueue";
export type { QueuedRequest, QueueRefusal, RankPolicy, RankQueue } from "./rankQueue";
export { createRetryBudget } from "./retryBudget";
export type { RetryBudget } from "./retryBudget";
export { selectBulkUpstreams, selectUpstream } from "./upstreamSelection";
export type { Candidate } from "./upstreamSelection";
