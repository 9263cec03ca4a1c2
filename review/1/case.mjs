/** Another writer puts one entry without `born` into the registry, at the address of an upstream that holds keys. */
import * as callers from "../harness/caller.mjs";
import { document } from "../harness/document.mjs";
import { watchHolders } from "../harness/holders.mjs";
import { hasTrouble, runCase } from "../harness/runCase.mjs";
import * as sites from "../harness/site.mjs";
import * as stores from "../harness/store.mjs";
import * as upstreams from "../harness/upstream.mjs";

const keyCount = 65_536;
/** The rule allows two upstreams to hold the same keys for so long. */
const allowedMilliseconds = 500;

await runCase(import.meta.dirname, async record => {
    const store = await stores.startStore();
    store.put("keyed.op", "config", document);
    const running = [];
    for (let index = 1; index <= 4; index += 1) {
        running.push(
            await upstreams.startUpstream({ identifier: `roster-${index}`, service: "roster-read", store, record, isKeyed: true, slots: 3 }),
        );
    }
    const site = await sites.startInstances({ count: 3, storePort: store.port, record });
    await site.waitUntilReady();
    const holders = watchHolders(running, record);
    let number = 0;
    const results = [];
    const all = site.instances.flatMap(instance =>
        Array.from({ length: 4 }, () =>
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
                    record(
                        `caller at ${result.instance}: ${result.requestIdentifier} for key ${result.headers["Shard-Key"]} got `
                            + `${result.status || `no answer (${result.detail})`} after ${result.milliseconds} ms`,
                    );
                },
            }))
    );
    await sites.pause(6000);
    const calm = results.length;
    if (hasTrouble) {
        record("another writer puts the entry roster-copy without born, at the address of roster-1");
        store.put(
            "keyed.servers",
            "roster-copy",
            JSON.stringify({
                service: "roster-read",
                address: `127.0.0.1:${running[0].port}`,
                zone: "lautoka-a",
                version: "v1",
                slots: 3,
                state: "ready",
                warmupLeft: "0ms",
                sequence: 1,
            }),
        );
        // The store removes an entry after three intervals of silence.
        setTimeout(() => store.put("keyed.servers", "roster-copy", ""), 4500);
    }
    await sites.pause(10_000);
    await Promise.all(all.map(caller => caller.stop()));
    const pairs = holders.stop().filter(({ milliseconds }) => milliseconds > allowedMilliseconds);
    site.logLines(/owner-ended/).forEach(line => record(`log of ${line.slice(0, 300)}`));
    record(`${results.length} requests, ${calm} of them before the disruption; ${results.filter(({ status }) => status === 200).length} answered with 200`);
    await site.close();
    running.forEach(upstream => upstream.close());
    store.close();
    return pairs.map(({ pair, key, milliseconds }) => `OWNER: ${pair} both held key ${key} for ${Math.round(milliseconds)} ms`);
});
