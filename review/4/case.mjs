/**
 * A rolling restart reaches two leaders in a row shortly after an outage of the store, while an upstream is cut off from the instances. The
 * second leader says how long the leases are that it granted itself, not those that it took over.
 */
import { document } from "../harness/document.mjs";
import { watchHolders } from "../harness/holders.mjs";
import { hasTrouble, runCase } from "../harness/runCase.mjs";
import * as sites from "../harness/site.mjs";
import * as stores from "../harness/store.mjs";
import * as upstreams from "../harness/upstream.mjs";

const upstreamCount = 5;
/** The rule allows two upstreams to hold the same keys for so long. */
const allowedMilliseconds = 500;
const outageMilliseconds = 3000;
const cutMilliseconds = 10_000;
/** Time between two SIGTERM of the rolling restart. */
const restartGapMilliseconds = 1200;

await runCase(import.meta.dirname, async record => {
    const store = await stores.startStore();
    store.put("keyed.op", "config", document);
    let isCut = false;
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
                // Cut off from the instances, not from the store. What is sent to it meanwhile is lost.
                isCut: () => isCut && index === 1,
            }),
        );
    }
    const site = await sites.startInstances({ count: 4, storePort: store.port, record });
    await site.waitUntilReady();
    await sites.pause(5000);
    const leaders = () => site.logLines(/"event":"leadership-won"/);
    const leader = () => site.instances.find(({ name }) => leaders().sort((left, right) => term(right) - term(left))[0].startsWith(`${name}:`));
    const term = line => Number(/"term":(\d+)/.exec(line)[1]);
    const newestTerm = () => Math.max(...leaders().map(term));
    const holders = watchHolders(running, record);
    if (hasTrouble) {
        record("the store is down");
        store.setDown(true);
        await sites.pause(outageMilliseconds - 50);
        record("roster-1 is cut off from the instances");
        isCut = true;
        setTimeout(() => {
            record("roster-1 is reached again");
            isCut = false;
        }, cutMilliseconds);
        await sites.pause(50);
        record("the store is back");
        store.setDown(false);
    }
    await sites.pause(300);
    for (let restart = 0; restart < 2; restart += 1) {
        const before = newestTerm();
        site.signal(leader(), "SIGTERM");
        await sites.waitUntil(() => newestTerm() > before, 5000, "the next leader");
        await sites.pause(restart === 0 ? Math.max(0, restartGapMilliseconds - 300) : 0);
    }
    await sites.pause(12_000);
    const pairs = holders.stop().filter(({ milliseconds }) => milliseconds > allowedMilliseconds);
    site.logLines(/leadership|owner-ended/).forEach(line => record(`log of ${line.slice(0, 300)}`));
    await site.close();
    running.forEach(upstream => upstream.close());
    store.close();
    return pairs.map(({ pair, key, milliseconds }) => `OWNER: ${pair} both held key ${key} for ${Math.round(milliseconds)} ms`);
});
