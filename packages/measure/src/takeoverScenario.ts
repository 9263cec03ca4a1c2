/** A server killed, and another frozen: time until each of its keys is served again. */
import * as sites from "@mulberryseam/site";
import * as undici from "undici";
import * as clock from "./clock";
import * as ownershipGaps from "./ownershipGaps";
import type * as scenario from "./scenario";
import * as tallying from "./tally";

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
export const runLookups = async (
    site: sites.Site,
    seed: number,
    durationMilliseconds: number,
): Promise<scenario.Figures> => {
    const [service] = site.document.services;
    const [rank] = site.document.ranks;
    const tally = tallying.createTally(rank.targetMilliseconds);
    const dispatcher = new undici.Agent({ connections: 64 });
    await clock.runArrivals({
        seed,
        perSecond: lookupsPerSecond,
        durationMilliseconds,
        send: async index => {
            const running = site.instances.filter(instance => instance.process.isRunning());
            tally.take(
                await sites.sendRequest({
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

const run = async ({ seed, owner, say }: scenario.ScenarioRun): Promise<scenario.Figures> => {
    const site = await sites.createSite({ document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [killed, frozen] = [...site.servers.keys()].sort();
    const lookups = runLookups(site, seed, quietMilliseconds + observedMilliseconds * 2);
    await sites.wait(quietMilliseconds);
    say(`killing ${killed}`);
    await site.saveHistory(killed);
    const killedAt = sites.currentHistoryTime();
    await site.servers.get(killed)?.process.kill();
    await sites.wait(observedMilliseconds);
    say(`freezing ${frozen}`);
    const frozenAt = sites.currentHistoryTime();
    site.servers.get(frozen)?.process.suspend();
    await sites.wait(observedMilliseconds - quietMilliseconds);
    site.servers.get(frozen)?.process.resume();
    const answers = await lookups;
    const ownership = await site.ownershipIntervals();
    const kill = ownershipGaps.judgeKill(ownership, killed, killedAt);
    return {
        targetMilliseconds: 2000,
        killed: { unavailableMilliseconds: tallying.summarize(kill.gaps) },
        frozen: { unavailableMilliseconds: tallying.summarize(ownershipGaps.findGaps(ownership, frozen, frozenAt)) },
        overlappingOwners: kill.overlappingOwners,
        lookups: answers,
    };
};

/** The scenario. */
export const takeoverScenario: scenario.Scenario = {
    name: "takeover",
    description: "a server is killed, another frozen and woken: time until each of its keys is served again",
    run,
};
