/** The log down for 20 s, a server and an instance lost meanwhile. */
import { createSite, historyClock, loadExample, wait } from "@mulberryseam/site";
import { judgeKill } from "./ownershipGaps";
import type { Figures, Scenario, ScenarioRun } from "./scenario";
import { runLookups } from "./takeoverScenario";
import { summarize } from "./tally";

const outageMilliseconds = 20_000;
const beforeLossMilliseconds = 5000;
const afterMilliseconds = 4000;
const startTimeoutMilliseconds = 30_000;

const run = async ({ seed, owner, say }: ScenarioRun): Promise<Figures> => {
    const site = await createSite({ document: await loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [killed] = [...site.servers.keys()].sort();
    const lookups = runLookups(site, seed, outageMilliseconds + afterMilliseconds);
    await site.setLogFaults({ isDown: true });
    say("the log is down");
    await wait(beforeLossMilliseconds);
    say(`killing ${killed} and ${site.instances[3].name}`);
    await site.keepHistory(killed);
    const killedAt = historyClock();
    await site.servers.get(killed)?.process.kill();
    await site.instances[3].process.kill();
    await wait(outageMilliseconds - beforeLossMilliseconds);
    await site.setLogFaults({ isDown: false });
    say("the log is up");
    const answers = await lookups;
    const kill = judgeKill(await site.ownership(), killed, killedAt);
    const offered = answers.offered as number;
    return {
        targetMilliseconds: 2000,
        unavailableMilliseconds: summarize(kill.gaps),
        overlappingOwners: kill.overlappingOwners,
        answeredShare: Number(((answers.answered as number) / offered).toFixed(4)),
        lookups: answers,
    };
};

/** The scenario. */
export const outageScenario: Scenario = {
    name: "outage",
    description: "the log is down for 20 s, a server and an instance are lost meanwhile",
    run,
};
