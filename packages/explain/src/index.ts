/** Stories of requests and keys out of the logs of instances. */
export { causeOf } from "./cause";
export { parseLines } from "./logLine";
export type { LogLine } from "./logLine";
export { tellKey, tellRequest } from "./story";
export type { Story } from "./story";
