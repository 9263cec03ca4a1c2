/** Policies of the path of a request, each pure: admission, windows, choice of upstream, ejection, retries, links. */
export { createAdaptiveWindow } from "./adaptiveWindow";
export type { AdaptiveWindow } from "./adaptiveWindow";
export { chooseBulkUpstreams, chooseUpstream } from "./choice";
export type { Candidate } from "./choice";
export { createEjection } from "./ejection";
export type { Ejection } from "./ejection";
export { createLinkBudget } from "./linkBudget";
export type { LinkBudget } from "./linkBudget";
export { createLoadCounter } from "./loadCounter";
export type { LoadCounter } from "./loadCounter";
export { AttemptResult, mayAttemptAgain, Outcome, outcomeOf } from "./outcome";
export type { AttemptResultKind, OutcomeKind } from "./outcome";
export { createRankQueue, RefusalReason } from "./rankQueue";
export type { QueueRefusal, RankPolicy, RankQueue, Waiting } from "./rankQueue";
export { createRetryBudget } from "./retryBudget";
export type { RetryBudget } from "./retryBudget";
