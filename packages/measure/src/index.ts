/** The load and experiment tool. */
export type { Figures, Scenario, ScenarioRun } from "./scenario";
export { scenarios } from "./scenarios";
