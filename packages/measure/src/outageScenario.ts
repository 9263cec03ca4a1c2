/** The log down for 20 s, a server and an instance lost meanwhile. */
import * as sites from "@mulberryseam/site";
import * as ownershipGaps from "./ownershipGaps";
import type * as scenario from "./scenario";
import * as takeoverScenario from "./takeoverScenario";
import * as tally from "./tally";

const outageMilliseconds = 20_000;
const beforeLossMilliseconds = 5000;
const afterMilliseconds = 4000;
const startTimeoutMilliseconds = 30_000;

const run = async ({ seed, owner, say }: scenario.ScenarioRun): Promise<scenario.Figures> => {
    const site = await sites.createSite({ document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [killed] = [...site.servers.keys()].sort();
    const lookups = takeoverScenario.runLookups(site, seed, outageMilliseconds + afterMilliseconds);
    await site.setLogFaults({ isDown: true });
    say("the log is down");
    await sites.wait(beforeLossMilliseconds);
    say(`killing ${killed} and ${site.instances[3].name}`);
    await site.saveHistory(killed);
    const killedAt = sites.currentHistoryTime();
    await site.servers.get(killed)?.process.kill();
    await site.instances[3].process.kill();
    await sites.wait(outageMilliseconds - beforeLossMilliseconds);
    await site.setLogFaults({ isDown: false });
    say("the log is up");
    const answers = await lookups;
    const kill = ownershipGaps.judgeKill(await site.ownershipIntervals(), killed, killedAt);
    const offered = answers.offered as number;
    return {
        targetMilliseconds: 2000,
        unavailableMilliseconds: tally.summarize(kill.gaps),
        overlappingOwners: kill.overlappingOwners,
        answeredShare: Number(((answers.answered as number) / offered).toFixed(4)),
        lookups: answers,
    };
};

/** The scenario. */
export const outageScenario: scenario.Scenario = {
    name: "outage",
    description: "the log is down for 20 s, a server and an instance are lost meanwhile",
    run,
};
