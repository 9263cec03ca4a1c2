/** Builds timelines of requests and keys from the event logs of instances. */
export { parseLines } from "./logLine";
export type { LogLine } from "./logLine";
export { describeOutcome } from "./outcome";
export { createKeyTimeline, createRequestTimeline } from "./timeline";
export type { Timeline } from "./timeline";
