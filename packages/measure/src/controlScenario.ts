/** What control alone costs an instance, by the number of instances: nothing is asked of the site. */
import type * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as fit from "./fit";
import * as processUsage from "./processUsage";
import type * as scenario from "./scenario";

const instanceCounts = [2, 4, 8, 12];
const settleMilliseconds = 1500;
const observedMilliseconds = 4000;
const startTimeoutMilliseconds = 30_000;

interface ControlCost {
    coreShare: number;
    residentMegabytes: number;
}

const measureSite = async (document: configuration.Environment, instanceCount: number): Promise<ControlCost> => {
    const owner = foundation.createOwner();
    try {
        const site = await sites.createSite({ document, instanceCount }, owner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        await sites.wait(settleMilliseconds);
        const identifiers = site.instances.map(instance => instance.process.processIdentifier());
        const before = identifiers.map(processUsage.readUsage);
        await sites.wait(observedMilliseconds);
        const after = identifiers.map(processUsage.readUsage);
        const seconds = after.reduce(
            (sum, usage, index) => sum + usage.processorSeconds - before[index].processorSeconds,
            0,
        );
        const resident = after.reduce((sum, usage) => sum + usage.residentBytes, 0);
        return {
            coreShare: seconds / instanceCount / (observedMilliseconds / 1000),
            residentMegabytes: resident / instanceCount / 1_048_576,
        };
    }
    finally {
        await owner.dispose();
    }
};

const run = async ({ say }: scenario.ScenarioRun): Promise<scenario.Figures> => {
    const document = await sites.loadExample("dar-el-sikka");
    const shares: fit.Point[] = [];
    const memory: fit.Point[] = [];
    for (const instanceCount of instanceCounts) {
        say(`${instanceCount} instances`);
        const cost = await measureSite(document, instanceCount);
        shares.push({ size: instanceCount, value: cost.coreShare });
        memory.push({ size: instanceCount, value: cost.residentMegabytes });
    }
    return {
        coreShareByInstances: fit.fitLine(shares, "share of a core an instance"),
        residentByInstances: fit.fitLine(memory, "MB an instance"),
    };
};

/** The scenario. */
export const controlScenario: scenario.Scenario = {
    name: "control",
    description: "processor time and memory of idle instances, by their number",
    run,
};
