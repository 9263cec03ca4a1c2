/**
 * The leader stops for good, its successor moves the keys of an upstream that drains, and shortly after the store comes back from a copy
 * that is older than the successor's term. Checks that no two upstreams hold a key for over half a second, and that each owner of a key
 * has a higher token than those before it.
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
const service = "desk";
const host = "desk.example";
const upstreamCount = 5;
const requestsPerSecond = 60;
const workMilliseconds = 40;
/** Time from the notice of the draining upstream until the store is away: the keys have moved by then. */
const moveMilliseconds = 1500;
/** For how long the store is away, and how old its copy is when it comes back. */
const awayMilliseconds = 1000;
const copyAgeMilliseconds = 3000;
/** Time for which an upstream that drains goes on serving. */
const servingMilliseconds = 5000;
/** Time for which the site is watched after the store is back. */
const watchMilliseconds = 16_000;
const maxElectionMilliseconds = 3000;

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
                onRun: run => runs.push({ ...run, at: performance.now() }),
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
    let readyCount = 0;
    const readiness = setInterval(async () => {
        readyCount = (await Promise.all(fronts.map(caller.isReady))).filter(isReady => isReady).length;
    }, 250);
    await runCase.waitUntil(() => readyCount === fronts.length, "all instances are ready", 30_000);
    clearInterval(readiness);
    record("all instances are ready");

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
    // Grants of the start have been renewed, and nothing moves.
    await runCase.pause(9000);

    const { front: stopped, term } = instances.findLeader(fronts);
    callersOf = fronts.filter(front => front !== stopped);
    stopped.signal("SIGTERM");
    const stoppedAt = performance.now();
    record(`SIGTERM to ${stopped.name}, which leads in term ${term}`);
    await runCase.waitUntil(() => instances.findLeader(fronts).term > term, "another instance leads", maxElectionMilliseconds);
    const { front: successor, term: nextTerm } = instances.findLeader(fronts);
    record(`${successor.name} leads in term ${nextTerm}, ${Math.round(performance.now() - stoppedAt)} ms later`);

    const [leaving] = all;
    leaving.drain();
    record(`${leaving.identifier} announces that it is leaving`);
    setTimeout(() => {
        leaving.leave();
        record(`${leaving.identifier} has left`);
    }, servingMilliseconds);
    await runCase.pause(moveMilliseconds);
    const heldByLeaving = leaving.spans.filter(({ until }) => until > performance.now()).length;
    record(`${leaving.identifier} holds ${heldByLeaving} ranges`);
    if (runCase.hasTrouble) {
        store.leave();
        const copiedAt = performance.now() + awayMilliseconds - copyAgeMilliseconds;
        record(`the store is away; keyed.ownership ends at ${store.endOf("keyed.ownership")}`);
        if (copiedAt > stoppedAt) {
            throw new Error("the copy is not older than the stop of the leader");
        }
        await runCase.pause(awayMilliseconds);
        store.returnFromCopy(copiedAt);
        record(
            `the store is back from a copy that is ${copyAgeMilliseconds} ms old; keyed.ownership ends at `
                + `${store.endOf("keyed.ownership")}`,
        );
    }
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
