/** Kills one server and freezes another: time until each of their keys is served again. */
import * as sites from "@mulberryseam/site";
import * as undici from "undici";
import * as openLoopLoad from "./openLoopLoad";
import * as ownershipGaps from "./ownershipGaps";
import * as resultCounters from "./resultCounters";
import type * as scenario from "./scenario";

const lookupsPerSecond = 300;
const faultFreeMilliseconds = 2000;
const observationMilliseconds = 7000;
const startTimeoutMilliseconds = 30_000;

/**
 * Sends lookups, each for a different key, to the running instances in turn.
 *
 * @param site - the site
 * @param seed - the seed of the arrivals
 * @param durationMilliseconds - the duration of the load
 * @returns the measurements of the responses
 */
export const runLookups = async (
    site: sites.Site,
    seed: number,
    durationMilliseconds: number,
): Promise<scenario.Measurements> => {
    const [service] = site.document.services;
    const [rank] = site.document.ranks;
    const counters = resultCounters.createResultCounters(rank.targetMilliseconds);
    const dispatcher = new undici.Agent({ connections: 64 });
    await openLoopLoad.runOpenLoopLoad({
        seed,
        requestsPerSecond: lookupsPerSecond,
        durationMilliseconds,
        send: async index => {
            const runningInstances = site.instances.filter(instance => instance.process.isRunning());
            counters.recordResponse(
                await sites.sendRequest({
                    instance: runningInstances[index % runningInstances.length].callers,
                    service: service.name,
                    rank: rank.name,
                    key: `key-${index}`,
                    dispatcher,
                }),
            );
        },
    });
    await dispatcher.close();
    return counters.measurements();
};

const run = async ({ seed, owner, reportProgress }: scenario.ScenarioContext): Promise<scenario.Measurements> => {
    const site = await sites.createSite({ document: await sites.loadExample("dar-el-sikka"), instanceCount: 8 }, owner);
    await site.waitUntilServing(startTimeoutMilliseconds);
    const [killedServer, frozenServer] = [...site.servers.keys()].sort();
    const lookups = runLookups(site, seed, faultFreeMilliseconds + observationMilliseconds * 2);
    await sites.wait(faultFreeMilliseconds);
    reportProgress(`killing ${killedServer}`);
    await site.saveHistory(killedServer);
    const killedAt = sites.currentHistoryTime();
    await site.servers.get(killedServer)?.process.kill();
    await sites.wait(observationMilliseconds);
    reportProgress(`freezing ${frozenServer}`);
    const frozenAt = sites.currentHistoryTime();
    site.servers.get(frozenServer)?.process.suspend();
    await sites.wait(observationMilliseconds - faultFreeMilliseconds);
    site.servers.get(frozenServer)?.process.resume();
    const lookupMeasurements = await lookups;
    const ownershipIntervals = await site.ownershipIntervals();
    const killResult = ownershipGaps.measureKill(ownershipIntervals, killedServer, killedAt);
    return {
        targetMilliseconds: 2000,
        killed: { unavailableMilliseconds: resultCounters.summarize(killResult.gaps) },
        frozen: {
            unavailableMilliseconds: resultCounters.summarize(
                ownershipGaps.measureGaps(ownershipIntervals, frozenServer, frozenAt),
            ),
        },
        overlappingOwners: killResult.overlappingOwners,
        lookups: lookupMeasurements,
    };
};

/** Measures how long keys are unavailable when a server is killed or frozen. */
export const takeoverScenario: scenario.Scenario = {
    name: "takeover",
    description: "a server is killed, another frozen and woken: time until each of its keys is served again",
    run,
};
