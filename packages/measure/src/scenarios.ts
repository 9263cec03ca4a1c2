/** Every scenario. */
import { churnScenario } from "./churnScenario";
import { configurationScenario } from "./configurationScenario";
import { controlScenario } from "./controlScenario";
import { floodScenarios } from "./floodScenarios";
import { hopScenario } from "./hopScenario";
import { outageScenario } from "./outageScenario";
import { rollingStopScenario } from "./rollingStopScenario";
import type { Scenario } from "./scenario";
import { slopesScenario } from "./slopesScenario";
import { takeoverScenario } from "./takeoverScenario";
import { upstreamFaultsScenario } from "./upstreamFaultsScenario";

/** Every scenario, in the order in which they are listed. */
export const scenarios: readonly Scenario[] = [
    hopScenario,
    takeoverScenario,
    outageScenario,
    churnScenario,
    configurationScenario,
    ...floodScenarios,
    upstreamFaultsScenario,
    rollingStopScenario,
    controlScenario,
    slopesScenario,
];
