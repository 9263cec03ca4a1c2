/** What control alone costs an instance, by the number of instances: nothing is asked of the site. */
import type { Environment } from "@mulberryseam/configuration";
import { createOwner } from "@mulberryseam/foundation";
import { createSite, loadExample, wait } from "@mulberryseam/site";
import { fitLine, type Point } from "./fit";
import { readUsage } from "./processUsage";
import type { Figures, Scenario, ScenarioRun } from "./scenario";

const instanceCounts = [2, 4, 8, 12];
const settleMilliseconds = 1500;
const observedMilliseconds = 4000;
const startTimeoutMilliseconds = 30_000;

interface ControlCost {
    coreShare: number;
    residentMegabytes: number;
}

const measureSite = async (document: Environment, instanceCount: number): Promise<ControlCost> => {
    const owner = createOwner();
    try {
        const site = await createSite({ document, instanceCount }, owner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        await wait(settleMilliseconds);
        const identifiers = site.instances.map(instance => instance.process.processIdentifier());
        const before = identifiers.map(readUsage);
        await wait(observedMilliseconds);
        const after = identifiers.map(readUsage);
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

const run = async ({ say }: ScenarioRun): Promise<Figures> => {
    const document = await loadExample("dar-el-sikka");
    const shares: Point[] = [];
    const memory: Point[] = [];
    for (const instanceCount of instanceCounts) {
        say(`${instanceCount} instances`);
        const cost = await measureSite(document, instanceCount);
        shares.push({ size: instanceCount, value: cost.coreShare });
        memory.push({ size: instanceCount, value: cost.residentMegabytes });
    }
    return {
        coreShareByInstances: fitLine(shares, "share of a core an instance"),
        residentByInstances: fitLine(memory, "MB an instance"),
    };
};

/** The scenario. */
export const controlScenario: Scenario = {
    name: "control",
    description: "processor time and memory of idle instances, by their number",
    run,
};
