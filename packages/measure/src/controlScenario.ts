/** Cost of the control plane for an instance by the number of instances. The site receives no requests. */
import type * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as fit from "./fit";
import * as processUsage from "./processUsage";
import type * as scenario from "./scenario";

const instanceCounts = [2, 4, 8, 12];
const settleMilliseconds = 1500;
const observationMilliseconds = 4000;
const startTimeoutMilliseconds = 30_000;

interface ControlCost {
    coreFraction: number;
    residentMegabytes: number;
}

const measureControlCost = async (document: configuration.Environment, instanceCount: number): Promise<ControlCost> => {
    const owner = foundation.createOwner();
    try {
        const site = await sites.createSite({ document, instanceCount }, owner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        await sites.wait(settleMilliseconds);
        const processIdentifiers = site.instances.map(instance => instance.process.processIdentifier());
        const usagesBefore = processIdentifiers.map(processUsage.readUsage);
        await sites.wait(observationMilliseconds);
        const usagesAfter = processIdentifiers.map(processUsage.readUsage);
        const processorSeconds = usagesAfter.reduce(
            (sum, usage, index) => sum + usage.processorSeconds - usagesBefore[index].processorSeconds,
            0,
        );
        const residentBytes = usagesAfter.reduce((sum, usage) => sum + usage.residentBytes, 0);
        return {
            coreFraction: processorSeconds / instanceCount / (observationMilliseconds / 1000),
            residentMegabytes: residentBytes / instanceCount / 1_048_576,
        };
    }
    finally {
        await owner.dispose();
    }
};

const run = async ({ reportProgress }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
    const document = await sites.loadExample("dar-el-sikka");
    const coreFractions: fit.Point[] = [];
    const residentMemory: fit.Point[] = [];
    for (const instanceCount of instanceCounts) {
        reportProgress(`${instanceCount} instances`);
        const cost = await measureControlCost(document, instanceCount);
        coreFractions.push({ size: instanceCount, value: cost.coreFraction });
        residentMemory.push({ size: instanceCount, value: cost.residentMegabytes });
    }
    return {
        coreShareByInstances: fit.fitLine(coreFractions, "share of a core an instance"),
        residentByInstances: fit.fitLine(residentMemory, "MB an instance"),
    };
};

/** Measures processor time and memory of idle instances. */
export const controlScenario: scenario.Scenario = {
    name: "control",
    description: "processor time and memory of idle instances, by their number",
    run,
};
