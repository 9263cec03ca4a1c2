/** A server killed, and another frozen: time until each of its keys is served again. */
import { createSite, historyClock, loadExample, sendRequest, type Site, wait } from "@mulberryseam/site";
import * as undici from "undici";
import { runArrivals } from "./clock";
import { findGaps, judgeKill } from "./ownershipGaps";
import type { Figures, Scenario, ScenarioRun } from "./scenario";
import { createTally, summarize } from "./tally";

const lookupsPerSecond = 300;
const quietMilliseconds = 2000;
const observedMilliseconds = 7000;
const startTimeoutMilliseconds = 30_000;

/**
 * Sends lookups of random keys to all running instances.
 *
 * @param site - the site
 * @param seed - seed of the arrivals
 * @param durationMilliseconds - how long
 * @returns figures of the answers
 */
export const runLookups = async (site: Site, seed: number, durationMilliseconds: number): Promise<Figures> => {
    const [service] = site.document.services;
    const [rank] = site.document.ranks;
    const tally = createTally(rank.targetMilliseconds);
    const dispatcher = new undici.Agent({ connections: 64 });
    await runArrivals({
        seed,
        perSecond: lookupsPerSecond,
        durationMilliseconds,
        send: async index => {
            const running = site.instances.filter(instance => instance.process.isRunning());
            tally.take(
                await sendRequest({
                    instance: running[index % running.length].callers,
                    service: service.name,
                    rank: rank.name,
                    key: `key-${index}`,
                    dispatcher,
                }),
            );
        },
    });
    await dispatcher.close();
    return tally.figures();
};

const run = async ({ seed, owner, say }: ScenarioRun): Promise<Figures> => {
    const site = await createSite({ document: await loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [killed, frozen] = [...site.servers.keys()].sort();
    const lookups = runLookups(site, seed, quietMilliseconds + observedMilliseconds * 2);
    await wait(quietMilliseconds);
    say(`killing ${killed}`);
    await site.keepHistory(killed);
    const killedAt = historyClock();
    await site.servers.get(killed)?.process.kill();
    await wait(observedMilliseconds);
    say(`freezing ${frozen}`);
    const frozenAt = historyClock();
    site.servers.get(frozen)?.process.freeze();
    await wait(observedMilliseconds - quietMilliseconds);
    site.servers.get(frozen)?.process.resume();
    const answers = await lookups;
    const ownership = await site.ownership();
    const kill = judgeKill(ownership, killed, killedAt);
    return {
        targetMilliseconds: 2000,
        killed: { unavailableMilliseconds: summarize(kill.gaps) },
        frozen: { unavailableMilliseconds: summarize(findGaps(ownership, frozen, frozenAt)) },
        overlappingOwners: kill.overlappingOwners,
        lookups: answers,
    };
};

/** The scenario. */
export const takeoverScenario: Scenario = {
    name: "takeover",
    description: "a server is killed, another frozen and woken: time until each of its keys is served again",
    run,
};
