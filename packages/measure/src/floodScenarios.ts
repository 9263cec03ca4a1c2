/** Floods of the least urgent and of the most urgent work, against the plainest router in the same run. */
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as baselines from "./baseline";
import * as rankedLoad from "./rankedLoad";
import type * as scenario from "./scenario";

const calmMilliseconds = 4000;
const floodMilliseconds = 8000;
const pauseMilliseconds = 2500;
const startTimeoutMilliseconds = 30_000;
const service = "media-intake";

const calmLoads: readonly rankedLoad.RankLoad[] = [
    { rank: "lookup", perSecond: 80, workMilliseconds: 50, bodyBytes: 0, isIdempotent: true },
    { rank: "booking", perSecond: 80, workMilliseconds: 60, bodyBytes: 300, isIdempotent: false },
    {
        rank: "media",
        perSecond: 40,
        workMilliseconds: 200,
        bodyBytes: 40_000,
        isIdempotent: false,
        deadlineMilliseconds: 5000,
    },
];

const withFlood = (rank: string, perSecond: number): readonly rankedLoad.RankLoad[] =>
    calmLoads.map(load => load.rank === rank ? { ...load, perSecond } : load);

const runAgainst = async (
    site: sites.Site,
    seed: number,
    entries: readonly string[],
    floodLoads: readonly rankedLoad.RankLoad[],
): Promise<scenario.Figures> => {
    const targetOf = (rank: string): number =>
        site.document.ranks.find(entry => entry.name === rank)?.targetMilliseconds ?? 0;
    const common = { entries: () => entries, service, targetOf };
    const calm = await rankedLoad.runRankedLoad({
        ...common,
        seed,
        loads: calmLoads,
        durationMilliseconds: calmMilliseconds,
    });
    const flood = await rankedLoad.runRankedLoad({
        ...common,
        seed: seed + 1,
        loads: floodLoads,
        durationMilliseconds: floodMilliseconds,
    });
    return {
        ranks: rankedLoad.compareWithCalm(calm, flood),
        calm: Object.fromEntries(calm.map(result => [result.rank, result.figures])),
        ...await rankedLoad.judgeRuns(site, service, [...calm, ...flood], calmLoads),
    };
};

const createFlood = (name: string, description: string, rank: string, perSecond: number): scenario.Scenario => ({
    name,
    description,
    run: async ({ seed, owner, say }: scenario.ScenarioRun): Promise<scenario.Figures> => {
        const site = await sites.createSite({ document: await sites.loadExample("vatuwaqa"), instanceCount: 8 }, owner);
        const baselineOwner = foundation.createOwner();
        owner.onCleanup(baselineOwner.dispose);
        const baselineEntries = await baselines.startBaseline(site, baselineOwner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        const floodLoads = withFlood(rank, perSecond);
        say("against the plainest router");
        const baseline = await runAgainst(site, seed, baselineEntries, floodLoads);
        // The plain routers would go on holding connections that upstreams count.
        await baselineOwner.dispose();
        await sites.wait(pauseMilliseconds);
        say("against this version");
        const ours = await runAgainst(site, seed, site.instances.map(instance => instance.callers), floodLoads);
        return { ...ours, baseline };
    },
});

/** The scenarios. */
export const floodScenarios: readonly scenario.Scenario[] = [
    createFlood("flood-bulk", "media uploads at several times the capacity, against the plainest router", "media", 500),
    createFlood("flood-urgent", "lookups at twice the capacity, against the plainest router", "lookup", 1600),
];
