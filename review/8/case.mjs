/**
 * The operator sends desired states in quick succession, and the store comes back from a copy that is older than two of them. Checks that
 * the version that is confirmed last comes into force at every instance.
 */
import * as caller from "../harness-2/caller.mjs";
import * as document from "../harness-2/document.mjs";
import * as instances from "../harness-2/instance.mjs";
import * as runCase from "../harness-2/runCase.mjs";
import * as stores from "../harness-2/store.mjs";
import * as upstreams from "../harness-2/upstream.mjs";

const regions = { "tunis-medina": "tunis", "tunis-charguia": "tunis", "tunis-port": "tunis" };
const zones = Object.keys(regions);
const host = "desk.example";
const oldService = "proof";
const newService = "order";
/** Time between two desired states, in milliseconds. */
const gapMilliseconds = 330;
/** For how long the store is away, and how old its copy is when it comes back. */
const awayMilliseconds = 1000;
const copyAgeMilliseconds = 2500;
/** Time from the return of the store to the next desired state. */
const nextVersionMilliseconds = 100;
/** Bounds of the settings: after the one, machines are in touch again; after the other, a version is in force. */
const stableWindowMilliseconds = 4000;
const configApplyMilliseconds = 2500;
/** Time for which requests are sent once both bounds have passed. */
const watchMilliseconds = 8000;
const requestIntervalMilliseconds = 100;

/** Publishes a version: the last one moves a route to the other service and adds a route. */
const publish = (store, version, isLast) =>
    document.publish(store, version, [
        document.createRoute("sign", host, "/sign/", "unsafe", isLast ? newService : oldService, `${1000 + version}ms`),
        ...(isLast ? [document.createRoute("cut", host, "/cut/", "unsafe", newService, "1s")] : []),
        document.createService(oldService, false),
        document.createService(newService, false),
    ]);

await runCase.runCase(import.meta.url, async ({ record, onCleanup, folder }) => {
    const store = await stores.startStore(onCleanup);
    /** The service that ran each request. */
    const ranAt = new Map();
    for (const service of [oldService, newService]) {
        for (let index = 1; index <= 3; index += 1) {
            await upstreams.startUpstream({
                identifier: `${service}-${index}`,
                service,
                zone: zones[index % zones.length],
                store,
                isKeyed: false,
                onRun: ({ request }) => ranAt.set(request, service),
                respond: async ({ response, headers }) => {
                    await runCase.pause(20);
                    response.writeHead(200, { ...headers, "Content-Length": 2 });
                    response.end("ok");
                },
            }, onCleanup);
        }
    }
    publish(store, 1, false);
    const fronts = await instances.startInstances({ zones, regions, storePort: store.port, folder }, onCleanup);
    let readyCount = 0;
    const readiness = setInterval(async () => {
        readyCount = (await Promise.all(fronts.map(caller.isReady))).filter(isReady => isReady).length;
    }, 250);
    await runCase.waitUntil(() => readyCount === fronts.length, "all instances are ready", 30_000);
    clearInterval(readiness);
    record("all instances are ready");
    await runCase.pause(5000);

    publish(store, 2, false);
    await runCase.pause(gapMilliseconds);
    publish(store, 3, false);
    record("versions 2 and 3 are confirmed");
    const confirmedAt = performance.now();
    await runCase.pause(copyAgeMilliseconds - awayMilliseconds - gapMilliseconds - 200);
    if (runCase.hasTrouble) {
        store.leave();
        record(`the store is away; keyed.op ends at ${store.endOf("keyed.op")}`);
        await runCase.pause(awayMilliseconds);
        store.returnFromCopy(performance.now() - copyAgeMilliseconds);
        record(
            `the store is back from a copy that is ${copyAgeMilliseconds} ms old, ${
                Math.round(performance.now() - confirmedAt)
            } ms after version 3; keyed.op ends at ${store.endOf("keyed.op")}, with version 3 written again`,
        );
    }
    await runCase.pause(nextVersionMilliseconds);
    publish(store, 4, true);
    record(`version 4 is confirmed; keyed.op ends at ${store.endOf("keyed.op")}`);
    await runCase.pause(Math.max(stableWindowMilliseconds, configApplyMilliseconds) + 1000);

    const violations = [];
    const results = new Map();
    const until = performance.now() + watchMilliseconds;
    while (performance.now() < until) {
        await Promise.all(fronts.flatMap(front =>
            ["/sign/1", "/cut/1"].map(async path => {
                const identifier = caller.createIdentifier();
                const { status } = await caller.send(front, {
                    method: "POST",
                    path,
                    host,
                    deadlineMilliseconds: 1000,
                    identifier,
                    agent: false,
                    body: "proof",
                });
                const service = ranAt.get(identifier);
                const result = `${front.name} ${path}: status ${status}, run by ${service ?? "none"}`;
                results.set(result, (results.get(result) ?? 0) + 1);
                if (status === 404 || service === oldService) {
                    violations.push(`${identifier}, sent after the bounds had passed: ${result}`);
                }
            })
        ));
        await runCase.pause(requestIntervalMilliseconds);
    }
    results.forEach((count, result) => record(`${count} times ${result}`));
    for (const { name, events } of fronts) {
        for (const { time, event, ...fields } of events()) {
            if (["document-in-force", "document-read-failed", "leadership-won"].includes(event)) {
                record(`${name} ${time} ${event} ${JSON.stringify(fields)}`);
            }
        }
    }
    return violations;
});
