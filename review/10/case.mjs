/**
 * The store comes back from a copy that is older than the first assignment of a service's keys and, some time later, the leader stops for
 * good. Checks that no two upstreams hold a key for over half a second, and that each owner of a key has a higher token than those before
 * it.
 */
import * as http from "node:http";
import * as caller from "../harness-2/caller.mjs";
import * as document from "../harness-2/document.mjs";
import * as holders from "../harness-2/holders.mjs";
import * as instances from "../harness-2/instance.mjs";
import * as runCase from "../harness-2/runCase.mjs";
import * as stores from "../harness-2/store.mjs";
import * as upstreams from "../harness-2/upstream.mjs";

const regions = { "tunis-medina": "tunis", "tunis-charguia": "tunis", "tunis-port": "tunis" };
const zones = Object.keys(regions);
const host = "desk.example";
const service = "desk";
const upstreamCount = 5;
const requestsPerSecond = 60;
const workMilliseconds = 40;
/** Time from the assignment of the keys until the store is away, for how long it is, and how old its copy is when it comes back. */
const settleMilliseconds = 500;
const awayMilliseconds = 1000;
const copyAgeMilliseconds = 3000;
/** Time from the return of the store until the leader stops, in milliseconds. */
const calmMilliseconds = 10_000;
/** Time for which the site is watched after the stop. */
const watchMilliseconds = 12_000;

await runCase.runCase(import.meta.url, async ({ record, onCleanup, folder }) => {
    const store = await stores.startStore(onCleanup);
    const runs = [];
    const all = [];
    for (let index = 1; index <= upstreamCount; index += 1) {
        all.push(
            await upstreams.startUpstream({
                identifier: `i-${index}`,
                service,
                zone: zones[index % zones.length],
                store,
                isKeyed: true,
                onRun: run => runs.push(run),
                respond: async ({ response, headers }) => {
                    await runCase.pause(workMilliseconds);
                    const text = "drawing";
                    response.writeHead(200, { ...headers, "Content-Length": text.length });
                    response.end(text);
                },
            }, onCleanup),
        );
    }
    document.publish(store, 1, [
        document.createRoute("lookup", host, "/lookup/", "safe", service, "2s"),
        document.createService(service, true),
    ]);
    const fronts = await instances.startInstances({ zones, regions, storePort: store.port, folder }, onCleanup);
    const hasEvent = name => fronts.some(({ events }) => events().some(({ event }) => event === name));
    await runCase.waitUntil(() => hasEvent("leadership-won"), "an instance leads", 20_000);
    const electedAt = performance.now();
    await runCase.waitUntil(() => hasEvent("assignment"), "the keys are assigned", 20_000);
    record(`the keys are assigned ${Math.round(performance.now() - electedAt)} ms after the election`);

    const agent = new http.Agent({ keepAlive: true });
    onCleanup(() => agent.destroy());
    const statuses = new Map();
    let callersOf = fronts;
    const traffic = setInterval(async () => {
        const instance = callersOf[Math.floor(Math.random() * callersOf.length)];
        const { status } = await caller.send(instance, {
            path: "/lookup/drawing",
            host,
            key: Math.floor(Math.random() * 65_536),
            deadlineMilliseconds: 1000,
            identifier: caller.createIdentifier(),
            agent,
        });
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
    }, 1000 / requestsPerSecond);
    onCleanup(() => clearInterval(traffic));
    await runCase.pause(settleMilliseconds);
    if (runCase.hasTrouble) {
        store.leave();
        record(`the store is away; keyed.ownership ends at ${store.endOf("keyed.ownership")}`);
        await runCase.pause(awayMilliseconds);
        const copiedAt = performance.now() - copyAgeMilliseconds;
        if (copiedAt <= electedAt) {
            throw new Error("the copy is older than the election");
        }
        store.returnFromCopy(copiedAt);
        record(
            `the store is back from a copy that is ${copyAgeMilliseconds} ms old; keyed.ownership ends at `
                + `${store.endOf("keyed.ownership")}`,
        );
    }
    else {
        await runCase.pause(awayMilliseconds);
    }
    await runCase.pause(calmMilliseconds);

    const { front: stopped, term } = instances.findLeader(fronts);
    callersOf = fronts.filter(front => front !== stopped);
    stopped.signal("SIGTERM");
    record(`SIGTERM to ${stopped.name}, which leads in term ${term}`);
    await runCase.pause(watchMilliseconds);
    clearInterval(traffic);
    record(
        `statuses: ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(", ")}; ${runs.length} runs`,
    );
    for (const { name, events } of fronts) {
        for (const { time, event, ...fields } of events()) {
            if (
                ["leadership-won", "leadership-lost", "append-failed", "assignment", "internal-error"].includes(event)
            ) {
                record(`${name} ${time} ${event} ${JSON.stringify(fields)}`);
            }
        }
    }
    fronts.filter(front => front !== stopped && front.end() !== undefined)
        .forEach(({ name }) => record(`${name} ended by itself`));
    return holders.findHolderViolations(all, performance.now());
});
