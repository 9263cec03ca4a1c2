/** Facilities that every other package builds on: ownership of resources, time, randomness, hashing, logs, metrics. */
export { createOwner } from "./cleanup";
export type { Cleanup, Owner } from "./cleanup";
export { connectionHeaders } from "./connectionHeaders";
export { createEventLog } from "./eventLog";
export type { EventFields, EventLog, EventSink } from "./eventLog";
export { hashText, rendezvousOrder } from "./hashing";
export { listenOn } from "./listening";
export { createLogger, createSilentLogger, LogLevel } from "./logging";
export type { Logger } from "./logging";
export { createMetrics, createSilentMetrics } from "./metrics";
export type { Metrics, MetricsOptions } from "./metrics";
export { createRandom } from "./random";
export type { Random } from "./random";
export { createTimerService, pause } from "./timerService";
export type { Subscription, TimerService } from "./timerService";
export { createVirtualTimerService } from "./virtualTimerService";
export type { VirtualTimerService } from "./virtualTimerService";
