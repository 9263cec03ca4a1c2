/**
 * The store turns the leader away, so it grants long leases; the next leader has lost its path to an upstream and is stopped as planned. As it
 * resigns it says how long the leases are that it granted itself, not those that it took over.
 */
import * as callers from "../harness/caller.mjs";
import { document } from "../harness/document.mjs";
import { watchHolders } from "../harness/holders.mjs";
import { hasTrouble, runCase } from "../harness/runCase.mjs";
import * as sites from "../harness/site.mjs";
import * as stores from "../harness/store.mjs";
import * as upstreams from "../harness/upstream.mjs";

const keyCount = 65_536;
const instanceCount = 8;
/** Instances with a larger part of a core: these lead, if they can. Two of them lose their path to roster-1. */
const largeCount = 3;
const largeCpuShare = 0.54;
const smallCpuShare = 0.27;
const upstreamCount = 5;
/** The rule allows two upstreams to hold the same keys for so long. */
const allowedMilliseconds = 500;
const turnedAwayMilliseconds = 7000;
const cutMilliseconds = 10_000;
/** Grants for longer than this are those of a leader that the store does not confirm. */
const longHoldMilliseconds = 5000;

const isLeaseCommand = request => request.url.startsWith("/mulberryseam/");

await runCase(import.meta.dirname, async record => {
    const store = await stores.startStore();
    store.put("keyed.op", "config", document);
    const storePaths = [];
    for (let index = 1; index <= instanceCount; index += 1) {
        storePaths.push(await store.openFor());
    }
    let isCut = false;
    /** Connections of the first leader, whose path is not cut. */
    const leaderSockets = new WeakSet();
    let onLongGrant = () => undefined;
    const running = [];
    for (let index = 1; index <= upstreamCount; index += 1) {
        running.push(
            await upstreams.startUpstream({
                identifier: `roster-${index}`,
                service: "roster-read",
                store,
                record,
                isKeyed: true,
                slots: 3,
                // Callers use other instances than the two whose path is cut, so only lease commands come by the cut path.
                isCut: request => {
                    if (index !== 1 || !isLeaseCommand(request)) {
                        return false;
                    }
                    if (!isCut) {
                        leaderSockets.add(request.socket);
                    }
                    return isCut && !leaderSockets.has(request.socket);
                },
                onGrant: body => index === 1 && parseFloat(body.hold_time) > longHoldMilliseconds && onLongGrant(),
            }),
        );
    }
    const site = await sites.startInstances({
        count: instanceCount,
        record,
        storePortOf: index => storePaths[index - 1].port,
        cpuShareOf: index => index <= largeCount ? largeCpuShare : smallCpuShare,
    });
    await site.waitUntilReady();
    await sites.pause(5000);
    const term = line => Number(/"term":(\d+)/.exec(line)[1]);
    const won = () => site.logLines(/"event":"leadership-won"/).sort((left, right) => term(right) - term(left));
    const leaderIndex = () => site.instances.findIndex(({ name }) => won()[0].startsWith(`${name}:`));
    const first = leaderIndex();
    if (first >= largeCount) {
        throw new Error("a small instance leads, and the case needs a large one");
    }
    const lostPath = site.instances.slice(0, largeCount).filter((_, index) => index !== first);
    let number = 0;
    const results = [];
    const all = site.instances.slice(largeCount).flatMap(instance =>
        Array.from({ length: 3 }, () =>
            callers.startCaller({
                instance,
                intervalMilliseconds: 40,
                createRequest: () => {
                    number += 1;
                    const headers = { "Shard-Key": String(number * 7919 % keyCount) };
                    return { method: "GET", path: "/lookup/fitter", headers, deadlineMilliseconds: 1200 };
                },
                onResult: result => {
                    results.push(result);
                    record(`caller at ${result.instance}: ${result.requestIdentifier} for key ${result.headers["Shard-Key"]} got ${result.status}`);
                },
            }))
    );
    const holders = watchHolders(running, record);
    if (hasTrouble) {
        const hasLongGrant = new Promise(resolve => {
            onLongGrant = resolve;
        });
        record(`the store turns the leader, ${site.instances[first].name}, away`);
        storePaths[first].setTurnedAway(true);
        setTimeout(() => storePaths[first].setTurnedAway(false), turnedAwayMilliseconds);
        await hasLongGrant;
        await sites.pause(100);
        record(`roster-1 loses its path to ${lostPath.map(({ name }) => name).join(" and ")}`);
        isCut = true;
        setTimeout(() => {
            record("roster-1 has its path again");
            isCut = false;
        }, cutMilliseconds);
        await sites.waitUntil(() => leaderIndex() !== first, 5000, "the next leader");
        record(`${site.instances[leaderIndex()].name} leads`);
        await sites.pause(700);
    }
    // Planned work: a stop of the instance that leads.
    const stopped = site.instances[leaderIndex()];
    site.signal(stopped, "SIGTERM");
    await sites.waitUntil(() => site.instances[leaderIndex()] !== stopped, 5000, "the next leader");
    record(`${site.instances[leaderIndex()].name} leads`);
    await sites.pause(12_000);
    await Promise.all(all.map(caller => caller.stop()));
    const pairs = holders.stop().filter(({ milliseconds }) => milliseconds > allowedMilliseconds);
    site.logLines(/leadership|owner-ended/).forEach(line => record(`log of ${line.slice(0, 300)}`));
    record(`${results.length} requests, ${results.filter(({ status }) => status === 200).length} answered with 200`);
    await site.close();
    running.forEach(upstream => upstream.close());
    store.close();
    return pairs.map(({ pair, key, milliseconds }) => `OWNER: ${pair} both held key ${key} for ${Math.round(milliseconds)} ms`);
});
