/** The way of a request from a caller to an upstream and back. */
export { isServable, returnMilliseconds } from "./admission";
export type { FinishedRequest } from "./answering";
export { startAttempt } from "./attempt";
export type { Attempt, AttemptEnd, AttemptOptions, UpstreamAnswer } from "./attempt";
export { startCallerServer } from "./callerServer";
export type { CallerServer, CallerServerOptions } from "./callerServer";
export { choose, expectedAnswer, expectedWait } from "./choice";
export type { Choice, Option } from "./choice";
export { createRelay } from "./relay";
export type { InForce, Relay, RelayOptions } from "./relay";
export { createRetryWindow } from "./retryWindow";
export type { RetryAllowance, RetryWindow } from "./retryWindow";
export { createUpstreamConnections } from "./upstreamConnections";
export { AttemptSign, createUpstreamHealth } from "./upstreamHealth";
export type { UpstreamHealth } from "./upstreamHealth";
export { createUpstreamPool } from "./upstreamPool";
export type { PooledUpstream, UpstreamPool } from "./upstreamPool";
