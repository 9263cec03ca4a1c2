/** Upstreams that shed while they report no load and one that never responds, compared with the baseline router. */
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as baselines from "./baseline";
import * as rankedLoad from "./rankedLoad";
import type * as scenario from "./scenario";

const durationMilliseconds = 10_000;
const startTimeoutMilliseconds = 30_000;
const service = "booking-desk";
const pauseBetweenRunsMilliseconds = 2500;
const faultDelayMilliseconds = 1000;

const createLoad = (
    rank: string,
    requestsPerSecond: number,
    workMilliseconds: number,
    bodyBytes: number,
    deadlineMilliseconds: number,
): rankedLoad.RankLoad => ({
    rank,
    requestsPerSecond,
    workMilliseconds,
    bodyBytes,
    deadlineMilliseconds,
    isIdempotent: bodyBytes === 0,
});

const loads: readonly rankedLoad.RankLoad[] = [
    createLoad("lookup", 120, 20, 0, 2000),
    createLoad("booking", 60, 60, 300, 3000),
    createLoad("media", 20, 150, 20_000, 5000),
];

const setFaults = async (site: sites.Site, isFaulty: boolean): Promise<void> => {
    await site.setUpstreamFaults("booking-1", { swallowsAnswers: isFaulty });
    await site.setUpstreamFaults("booking-2", { sheds: isFaulty, misreportsLoad: isFaulty });
    await site.setUpstreamFaults("booking-3", { sheds: isFaulty, misreportsLoad: isFaulty });
};

const measureRouters = async (
    site: sites.Site,
    seed: number,
    addresses: readonly string[],
): Promise<scenario.Measurements> => {
    const getTargetMilliseconds = (rank: string): number =>
        site.document.ranks.find(entry => entry.name === rank)?.targetMilliseconds ?? 0;
    const pendingResults = rankedLoad.runRankedLoad({
        seed,
        getAddresses: () => addresses,
        service,
        loads,
        durationMilliseconds,
        getTargetMilliseconds,
    });
    await sites.wait(faultDelayMilliseconds);
    await setFaults(site, true);
    const results = await pendingResults;
    await setFaults(site, false);
    return {
        ranks: Object.fromEntries(results.map(result => [result.rank, result.measurements])),
        ...await rankedLoad.countExecutionErrors(site, service, results, loads),
    };
};

/** Measures the effect of faulty upstreams on callers. */
export const upstreamFaultsScenario: scenario.Scenario = {
    name: "upstream-faults",
    description:
        "one of 12 upstreams never answers and two shed while they report no load, against the baseline router",
    run: async ({ seed, owner }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
        const site = await sites.createSite({ document: await sites.loadExample("vatuwaqa"), instanceCount: 8 }, owner);
        const baselineOwner = foundation.createOwner();
        owner.onCleanup(baselineOwner.dispose);
        const baselineAddresses = await baselines.startBaselineRouters(site, baselineOwner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        const baseline = await measureRouters(site, seed, baselineAddresses);
        // Running baseline routers would hold connections that count against the upstreams' connection limits.
        await baselineOwner.dispose();
        await sites.wait(pauseBetweenRunsMilliseconds);
        const ours = await measureRouters(site, seed, site.instances.map(instance => instance.callers));
        return { ...ours, baseline };
    },
};
