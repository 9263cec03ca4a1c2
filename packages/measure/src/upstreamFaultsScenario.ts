/** Upstreams that shed while they report no load, and one that swallows answers, against the plainest router. */
import * as foundation from "@mulberryseam/foundation";
import * as sites from "@mulberryseam/site";
import * as baselines from "./baseline";
import * as rankedLoad from "./rankedLoad";
import type * as scenario from "./scenario";

const durationMilliseconds = 10_000;
const startTimeoutMilliseconds = 30_000;
const service = "booking-desk";
const pauseMilliseconds = 2500;
const faultyAfterMilliseconds = 1000;

const createLoad = (
    rank: string,
    perSecond: number,
    workMilliseconds: number,
    bodyBytes: number,
    deadlineMilliseconds: number,
): rankedLoad.RankLoad => ({
    rank,
    perSecond,
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

const runAgainst = async (site: sites.Site, seed: number, entries: readonly string[]): Promise<scenario.Figures> => {
    const targetOf = (rank: string): number =>
        site.document.ranks.find(entry => entry.name === rank)?.targetMilliseconds ?? 0;
    const running = rankedLoad.runRankedLoad({
        seed,
        entries: () => entries,
        service,
        loads,
        durationMilliseconds,
        targetOf,
    });
    await sites.wait(faultyAfterMilliseconds);
    await setFaults(site, true);
    const results = await running;
    await setFaults(site, false);
    return {
        ranks: Object.fromEntries(results.map(result => [result.rank, result.figures])),
        ...await rankedLoad.judgeRuns(site, service, results, loads),
    };
};

/** The scenario. */
export const upstreamFaultsScenario: scenario.Scenario = {
    name: "upstream-faults",
    description:
        "one of 12 upstreams never answers and two shed while they report no load, against the plainest router",
    run: async ({ seed, owner }: scenario.ScenarioRun): Promise<scenario.Figures> => {
        const site = await sites.createSite({ document: await sites.loadExample("vatuwaqa"), instanceCount: 8 }, owner);
        const baselineOwner = foundation.createOwner();
        owner.onCleanup(baselineOwner.dispose);
        const baselineEntries = await baselines.startBaseline(site, baselineOwner);
        await site.waitUntilServing(startTimeoutMilliseconds);
        const baseline = await runAgainst(site, seed, baselineEntries);
        // The plain routers would go on holding connections that upstreams count.
        await baselineOwner.dispose();
        await sites.wait(pauseMilliseconds);
        const ours = await runAgainst(site, seed, site.instances.map(instance => instance.callers));
        return { ...ours, baseline };
    },
};
