/** Load generation and measurement scenarios. */
export type { Measurements, Scenario, ScenarioContext } from "./scenario";
export { scenarios } from "./scenarios";
