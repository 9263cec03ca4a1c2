/** One entry instance of the site. */
export { startEntry } from "./entry";
export type { Entry } from "./entry";
