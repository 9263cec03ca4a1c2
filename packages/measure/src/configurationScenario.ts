/** Two operators repeatedly publish at the same time: time until the accepted document is in force on every instance. */
import * as sites from "@mulberryseam/site";
import * as resultCounters from "./resultCounters";
import type * as scenario from "./scenario";

const races = 12;
const pollMilliseconds = 10;
const startTimeoutMilliseconds = 30_000;
const inForceTimeoutMilliseconds = 15_000;

interface VersionTracker {
    reverts: number;
    versions: Map<string, number>;
}

const readVersions = async (site: sites.Site, tracker: VersionTracker): Promise<number[]> => {
    const statuses = await Promise.all(site.instances.map(instance => instance.status()));
    return statuses.map((status, index) => {
        const name = site.instances[index].name;
        const version = status?.environmentVersion ?? -1;
        const previousVersion = tracker.versions.get(name) ?? -1;
        tracker.reverts += version < previousVersion ? 1 : 0;
        tracker.versions.set(name, Math.max(previousVersion, version));
        return version;
    });
};

const runRace = async (
    site: sites.Site,
    raceNumber: number,
): Promise<{ acceptedVersions: number[]; refusedCount: number; }> => {
    const publications = ["amina", "talei"].map(async operator => {
        const document = { ...site.document, description: `${operator} ${raceNumber}` };
        return site.publish(document);
    });
    const settled = await Promise.allSettled(publications);
    const acceptedVersions = settled.filter(result => result.status === "fulfilled").map(result => result.value);
    return { acceptedVersions, refusedCount: settled.length - acceptedVersions.length };
};

const run = async ({ owner }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
    const site = await sites.createSite({ document: await sites.loadExample("vatuwaqa"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const tracker: VersionTracker = { reverts: 0, versions: new Map() };
    const inForceDurations: number[] = [];
    let accepted = 0;
    let refused = 0;
    for (let raceNumber = 0; raceNumber < races; raceNumber++) {
        const startedAt = performance.now();
        const { acceptedVersions, refusedCount } = await runRace(site, raceNumber);
        accepted += acceptedVersions.length;
        refused += refusedCount;
        const latestVersion = Math.max(...acceptedVersions);
        while ((await readVersions(site, tracker)).some(version => version < latestVersion)) {
            if (performance.now() - startedAt > inForceTimeoutMilliseconds) {
                break;
            }
            await sites.wait(pollMilliseconds);
        }
        inForceDurations.push(performance.now() - startedAt);
    }
    return {
        targetMilliseconds: 12_000,
        races,
        accepted,
        refused,
        inForceMilliseconds: resultCounters.summarize(inForceDurations),
        reverts: tracker.reverts,
    };
};

/** Measures how long a document takes to be in force on every instance, and counts reverts to an older version. */
export const configurationScenario: scenario.Scenario = {
    name: "configuration",
    description: "operators race with competing documents: time until the winner's is in force on all instances",
    run,
};
