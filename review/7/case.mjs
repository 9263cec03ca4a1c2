/**
 * The keys of an upstream that drains move to others; shortly after, the store comes back from a copy that is older than the move.
 * Checks that no two upstreams hold a key for over half a second, and that each owner of a key has a higher token than those before it.
 */
import * as http from "node:http";
import * as caller from "../harness-2/caller.mjs";
import * as document from "../harness-2/document.mjs";
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
const awayMilliseconds = 800;
const copyAgeMilliseconds = 3000;
/** Time for which an upstream that drains goes on serving. */
const servingMilliseconds = 5000;
/** Time for which the site is watched after the store is back. */
const watchMilliseconds = 12_000;
const maxSharedMilliseconds = 500;

const findViolations = (all, untilAt) => {
    const violations = [];
    const spans = all.flatMap(({ identifier, spans: own }) =>
        own.filter(span => span.until > span.since).map(span => ({ ...span, identifier }))
    ).sort((left, right) => left.since - right.since);
    spans.forEach((later, index) => {
        for (const earlier of spans.slice(0, index)) {
            const first = Math.max(earlier.from, later.from);
            const last = Math.min(earlier.target, later.target);
            if (earlier.identifier === later.identifier || first > last) {
                continue;
            }
            const shared = Math.min(earlier.until, later.until, untilAt) - later.since;
            const keys = `keys ${first} to ${last}`;
            if (shared > maxSharedMilliseconds) {
                violations.push({
                    kind: "holders",
                    at: later.since,
                    text: `${keys}: held by ${earlier.identifier} (token ${earlier.fence}) and ${later.identifier} `
                        + `(token ${later.fence}) for ${Math.round(shared)} ms`,
                });
            }
            if (later.fence <= earlier.fence) {
                violations.push({
                    kind: "token",
                    at: later.since,
                    text: `${keys}: ${later.identifier} took them with token ${later.fence}, after ${earlier.identifier} `
                        + `had had them with token ${earlier.fence}`,
                });
            }
        }
    });
    return violations;
};

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
    const traffic = setInterval(async () => {
        const instance = fronts[Math.floor(Math.random() * fronts.length)];
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

    const drainedAt = performance.now();
    const [leaving] = all;
    leaving.drain();
    record(`${leaving.identifier} announces that it is leaving`);
    setTimeout(() => {
        leaving.leave();
        record(`${leaving.identifier} has left`);
    }, servingMilliseconds);
    await runCase.pause(moveMilliseconds);
    const heldByLeaving = leaving.spans.filter(({ until }) => until > performance.now()).length;
    record(`${leaving.identifier} holds ${heldByLeaving} ranges ${Math.round(performance.now() - drainedAt)} ms later`);
    if (runCase.hasTrouble) {
        store.leave();
        const lostFrom = performance.now() + awayMilliseconds - copyAgeMilliseconds;
        record(`the store is away; keyed.ownership ends at ${store.endOf("keyed.ownership")}`);
        await runCase.pause(awayMilliseconds);
        store.returnFromCopy(lostFrom);
        record(
            `the store is back from a copy that is ${copyAgeMilliseconds} ms old; keyed.ownership ends at `
                + `${store.endOf("keyed.ownership")}`,
        );
    }
    await runCase.pause(watchMilliseconds);
    clearInterval(traffic);
    record(`statuses: ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(", ")}; ${runs.length} runs`);
    for (const { name, events } of fronts) {
        for (const { time, event, ...fields } of events()) {
            if (["leadership-won", "leadership-lost", "append-failed", "assignment", "internal-error"].includes(event)) {
                record(`${name} ${time} ${event} ${JSON.stringify(fields)}`);
            }
        }
    }
    const endedItself = fronts.filter(({ end }) => end() !== undefined);
    endedItself.forEach(({ name }) => record(`${name} ended by itself`));
    return findViolations(all, performance.now()).map(({ text }) => text);
});
