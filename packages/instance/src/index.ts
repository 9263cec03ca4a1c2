/** One instance: its tasks, put together from settings. */
export { createInstance } from "./instance";
export type { Instance } from "./instance";
export type { ExplainAnswer, OperatorStatus } from "./operatorApi";
