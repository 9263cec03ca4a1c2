/** The log service is down for 20 s; a server and an instance are killed during the outage. */
import * as sites from "@mulberryseam/site";
import * as ownershipGaps from "./ownershipGaps";
import * as resultCounters from "./resultCounters";
import type * as scenario from "./scenario";
import * as takeoverScenario from "./takeoverScenario";

const outageMilliseconds = 20_000;
const lossDelayMilliseconds = 5000;
const recoveryMilliseconds = 4000;
const startTimeoutMilliseconds = 30_000;

const run = async ({ seed, owner, reportProgress }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
    const site = await sites.createSite({ document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [killedServer] = [...site.servers.keys()].sort();
    const lookups = takeoverScenario.runLookups(site, seed, outageMilliseconds + recoveryMilliseconds);
    await site.setLogFaults({ isDown: true });
    reportProgress("the log is down");
    await sites.wait(lossDelayMilliseconds);
    reportProgress(`killing ${killedServer} and ${site.instances[3].name}`);
    await site.saveHistory(killedServer);
    const killedAt = sites.currentHistoryTime();
    await site.servers.get(killedServer)?.process.kill();
    await site.instances[3].process.kill();
    await sites.wait(outageMilliseconds - lossDelayMilliseconds);
    await site.setLogFaults({ isDown: false });
    reportProgress("the log is up");
    const lookupMeasurements = await lookups;
    const killResult = ownershipGaps.measureKill(await site.ownershipIntervals(), killedServer, killedAt);
    const offered = lookupMeasurements.offered as number;
    return {
        targetMilliseconds: 2000,
        unavailableMilliseconds: resultCounters.summarize(killResult.gaps),
        overlappingOwners: killResult.overlappingOwners,
        answeredShare: Number(((lookupMeasurements.answered as number) / offered).toFixed(4)),
        lookups: lookupMeasurements,
    };
};

/** Measures how long keys are unavailable when a server is lost during an outage of the log. */
export const outageScenario: scenario.Scenario = {
    name: "outage",
    description: "the log is down for 20 s, a server and an instance are lost meanwhile",
    run,
};
