/** Creates an instance of the router and its tasks from settings. */
export { createInstance } from "./instance";
export type { Instance } from "./instance";
export type { KeyExplanation, OperatorStatus } from "./operatorApi";
