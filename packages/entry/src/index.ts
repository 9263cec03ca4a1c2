/** Starts an entry instance of a site. */
export { startEntry } from "./entry";
export type { Entry } from "./entry";
