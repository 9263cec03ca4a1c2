/** Floods of the least urgent and of the most urgent rank, compared with the baseline router in the same run. */
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as baselines from "./baseline";
import * as rankedLoad from "./rankedLoad";
import type * as scenario from "./scenario";

const normalMilliseconds = 4000;
const floodMilliseconds = 8000;
const pauseBetweenRunsMilliseconds = 2500;
const startTimeoutMilliseconds = 30_000;
const service = "media-intake";

const normalLoads: readonly rankedLoad.RankLoad[] = [
    { rank: "lookup", requestsPerSecond: 80, workMilliseconds: 50, bodyBytes: 0, isIdempotent: true },
    { rank: "booking", requestsPerSecond: 80, workMilliseconds: 60, bodyBytes: 300, isIdempotent: false },
    {
        rank: "media",
        requestsPerSecond: 40,
        workMilliseconds: 200,
        bodyBytes: 40_000,
        isIdempotent: false,
        deadlineMilliseconds: 5000,
    },
];

const createFloodLoads = (rank: string, requestsPerSecond: number): readonly rankedLoad.RankLoad[] =>
    normalLoads.map(load => load.rank === rank ? { ...load, requestsPerSecond } : load);

const measureRouters = async (
    site: sites.Site,
    seed: number,
    addresses: readonly string[],
    floodLoads: readonly rankedLoad.RankLoad[],
): Promise<scenario.Measurements> => {
    const getTargetMilliseconds = (rank: string): number =>
        site.document.ranks.find(entry => entry.name === rank)?.targetMilliseconds ?? 0;
    const commonOptions = { getAddresses: () => addresses, service, getTargetMilliseconds };
    const normalResults = await rankedLoad.runRankedLoad({
        ...commonOptions,
        seed,
        loads: normalLoads,
        durationMilliseconds: normalMilliseconds,
    });
    const floodResults = await rankedLoad.runRankedLoad({
        ...commonOptions,
        seed: seed + 1,
        loads: floodLoads,
        durationMilliseconds: floodMilliseconds,
    });
    return {
        ranks: rankedLoad.compareWithNormalLoad(normalResults, floodResults),
        calm: Object.fromEntries(normalResults.map(result => [result.rank, result.measurements])),
        ...await rankedLoad.countExecutionErrors(site, service, [...normalResults, ...floodResults], normalLoads),
    };
};

const createFloodScenario = (
    name: string,
    description: string,
    rank: string,
    requestsPerSecond: number,
): scenario.Scenario => ({
    name,
    description,
    run: async ({ seed, owner, reportProgress }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
        const site = await sites.createSite({ document: await sites.loadExample("vatuwaqa"), instanceCount: 8 }, owner);
        const baselineOwner = foundation.createOwner();
        owner.onCleanup(baselineOwner.dispose);
        const baselineAddresses = await baselines.startBaselineRouters(site, baselineOwner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        const floodLoads = createFloodLoads(rank, requestsPerSecond);
        reportProgress("measuring the baseline router");
        const baseline = await measureRouters(site, seed, baselineAddresses, floodLoads);
        // Running baseline routers would hold connections that count against the upstreams' connection limits.
        await baselineOwner.dispose();
        await sites.wait(pauseBetweenRunsMilliseconds);
        reportProgress("measuring this version");
        const ours = await measureRouters(site, seed, site.instances.map(instance => instance.callers), floodLoads);
        return { ...ours, baseline };
    },
});

/** Scenarios in which one rank exceeds the capacity. */
export const floodScenarios: readonly scenario.Scenario[] = [
    createFloodScenario(
        "flood-bulk",
        "media uploads at several times the capacity, against the baseline router",
        "media",
        500,
    ),
    createFloodScenario("flood-urgent", "lookups at twice the capacity, against the baseline router", "lookup", 1600),
];
