/** Load of unsafe requests from callers that keep their connections, and the check of rule LOST on it. */
import * as callers from "./caller.mjs";
import { document } from "./document.mjs";
import * as sites from "./site.mjs";
import * as stores from "./store.mjs";
import * as upstreams from "./upstream.mjs";

const instanceCount = 3;
const upstreamCount = 4;
/** Time for which everything is calm before the disruption, longer than `stableWindow`. */
const calmMilliseconds = 5000;
/** Requests that the rule allows to be lost. */
const allowedLosses = 3;

/**
 * Runs callers of a service without keys on three instances and four upstreams, starts the disruption after a calm time, and checks
 * how many requests that a sound upstream ran were left without an answer on a kept connection.
 *
 * `createFaulty(isActive)` returns options of the first upstream, the only one that may be faulty; `disturb(store)` starts the disruption.
 */
export const runLostCheck = async ({
    record,
    hasTrouble,
    troubleMilliseconds,
    callersPerInstance,
    slots,
    serviceMilliseconds,
    createFaulty = undefined,
    disturb = () => undefined,
}) => {
    const store = await stores.startStore();
    store.put("keyed.op", "config", document);
    let isActive = false;
    const running = [];
    for (let index = 1; index <= upstreamCount; index += 1) {
        running.push(
            await upstreams.startUpstream({
                identifier: `desk-${index}`,
                service: "booking-desk",
                store,
                record,
                slots,
                serviceMilliseconds,
                ...(index === 1 ? createFaulty?.(() => isActive) : {}),
            }),
        );
    }
    const keyed = await upstreams.startUpstream({ identifier: "roster-1", service: "roster-read", store, record, isKeyed: true });
    const site = await sites.startInstances({ count: instanceCount, storePort: store.port, record });
    await site.waitUntilReady();
    const results = [];
    const all = site.instances.flatMap(instance =>
        Array.from({ length: callersPerInstance }, () =>
            callers.startCaller({
                instance,
                intervalMilliseconds: 40,
                createRequest: () => ({ method: "POST", path: "/booking/visit", body: Buffer.from("visit"), deadlineMilliseconds: 1500 }),
                onResult: result => {
                    results.push(result);
                    record(
                        `caller at ${result.instance}: ${result.requestIdentifier} got ${result.status || `no answer (${result.detail})`} `
                            + `after ${result.milliseconds} ms${result.isReused ? ", kept connection" : ""}`,
                    );
                },
            }))
    );
    await sites.pause(calmMilliseconds);
    if (hasTrouble) {
        record("the disruption starts");
        isActive = true;
        await disturb(store);
    }
    await sites.pause(troubleMilliseconds);
    isActive = false;
    await Promise.all(all.map(caller => caller.stop()));
    const soundRuns = new Set(running.slice(createFaulty === undefined ? 0 : 1)
        .flatMap(({ executions }) => executions.map(({ requestIdentifier }) => requestIdentifier)));
    const lost = results.filter(result => result.status === 0 && result.isReused && soundRuns.has(result.requestIdentifier));
    const ends = site.ownEnds();
    ends.forEach(({ name, code, signal }) => record(`${name} ended by itself (code ${code}, signal ${signal})`));
    site.logLines(/Error|throw/).slice(0, 6).forEach(line => record(`log of ${line.slice(0, 300)}`));
    record(`${results.length} requests, ${results.filter(({ status }) => status === 200).length} answered with 200, ${lost.length} run by a sound `
        + `upstream and left without an answer on a kept connection, ${ends.length} ends of instances by themselves`);
    await site.close();
    [...running, keyed].forEach(upstream => upstream.close());
    store.close();
    return lost.length > allowedLosses
        ? [`LOST: ${lost.length} requests that a sound upstream ran have no answer; instances ended by themselves ${ends.length} times`]
        : [];
};
