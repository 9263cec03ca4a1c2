/** The list of scenarios. */
import * as churnScenario from "./churnScenario";
import * as configurationScenario from "./configurationScenario";
import * as controlScenario from "./controlScenario";
import * as floodScenarios from "./floodScenarios";
import * as hopScenario from "./hopScenario";
import * as outageScenario from "./outageScenario";
import * as rollingStopScenario from "./rollingStopScenario";
import type * as scenario from "./scenario";
import * as slopesScenario from "./slopesScenario";
import * as takeoverScenario from "./takeoverScenario";
import * as upstreamFaultsScenario from "./upstreamFaultsScenario";

/** All scenarios in the order that `--list` prints. */
export const scenarios: readonly scenario.Scenario[] = [
    hopScenario.hopScenario,
    takeoverScenario.takeoverScenario,
    outageScenario.outageScenario,
    churnScenario.churnScenario,
    configurationScenario.configurationScenario,
    ...floodScenarios.floodScenarios,
    upstreamFaultsScenario.upstreamFaultsScenario,
    rollingStopScenario.rollingStopScenario,
    controlScenario.controlScenario,
    slopesScenario.slopesScenario,
];
