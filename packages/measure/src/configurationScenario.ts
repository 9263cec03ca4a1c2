/** Two operators publish at once, again and again: time until the winner's document is in force everywhere. */
import * as sites from "@mulberryseam/site";
import type * as scenario from "./scenario";
import * as tally from "./tally";

const races = 12;
const pollMilliseconds = 10;
const startTimeoutMilliseconds = 30_000;
const inForceTimeoutMilliseconds = 15_000;

interface Watch {
    reverts: number;
    versions: Map<string, number>;
}

const readVersions = async (site: sites.Site, watch: Watch): Promise<number[]> => {
    const statuses = await Promise.all(site.instances.map(instance => instance.status()));
    return statuses.map((status, index) => {
        const name = site.instances[index].name;
        const version = status?.environmentVersion ?? -1;
        const before = watch.versions.get(name) ?? -1;
        watch.reverts += version < before ? 1 : 0;
        watch.versions.set(name, Math.max(before, version));
        return version;
    });
};

const race = async (site: sites.Site, number: number): Promise<{ winners: number[]; losers: number; }> => {
    const attempts = ["amina", "talei"].map(async operator => {
        const document = { ...site.document, description: `${operator} ${number}` };
        return site.publish(document);
    });
    const settled = await Promise.allSettled(attempts);
    const winners = settled.filter(result => result.status === "fulfilled").map(result => result.value);
    return { winners, losers: settled.length - winners.length };
};

const run = async ({ owner }: scenario.ScenarioRun): Promise<scenario.Figures> => {
    const site = await sites.createSite({ document: await sites.loadExample("vatuwaqa"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const watch: Watch = { reverts: 0, versions: new Map() };
    const times: number[] = [];
    let accepted = 0;
    let refused = 0;
    for (let number = 0; number < races; number++) {
        const startedAt = performance.now();
        const { winners, losers } = await race(site, number);
        accepted += winners.length;
        refused += losers;
        const latest = Math.max(...winners);
        while ((await readVersions(site, watch)).some(version => version < latest)) {
            if (performance.now() - startedAt > inForceTimeoutMilliseconds) {
                break;
            }
            await sites.wait(pollMilliseconds);
        }
        times.push(performance.now() - startedAt);
    }
    return {
        targetMilliseconds: 12_000,
        races,
        accepted,
        refused,
        inForceMilliseconds: tally.summarize(times),
        reverts: watch.reverts,
    };
};

/** The scenario. */
export const configurationScenario: scenario.Scenario = {
    name: "configuration",
    description: "operators race with competing documents: time until the winner's is in force on all instances",
    run,
};
