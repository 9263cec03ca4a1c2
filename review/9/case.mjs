/**
 * Machines are added around a return of the store from a copy that is older than two desired states. Checks that the newest version is in
 * force at every instance, also at the one that was added last.
 */
import * as fs from "node:fs";
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
const lastVersion = 3;
/** For how long the store is away, in milliseconds. */
const awayMilliseconds = 600;
/** The copy has version 1 only: it is made shortly before version 2, or earlier. Times in milliseconds. */
const copyMarginMilliseconds = 100;
const minCopyAgeMilliseconds = 2500;
const maxCopyAgeMilliseconds = 6000;
/** Time from version 3 until the store is away, and from its return until the last machine is added, in milliseconds. */
const settleMilliseconds = 500;
const calmMilliseconds = 4000;
/** Bounds of the settings: after the one, machines are in touch; after the other, a version is in force. */
const stableWindowMilliseconds = 4000;
const configApplyMilliseconds = 2500;
/** Time for which requests are sent once both bounds have passed. */
const watchMilliseconds = 8000;
const requestIntervalMilliseconds = 100;

/** Publishes a version: the last one moves a route to the other service and adds a route. */
const publish = (store, version) =>
    document.publish(store, version, [
        document.createRoute(
            "sign",
            host,
            "/sign/",
            "unsafe",
            version === lastVersion ? newService : oldService,
            `${1000 + version}ms`,
        ),
        ...(version === lastVersion ? [document.createRoute("cut", host, "/cut/", "unsafe", newService, "1s")] : []),
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
    let batch = 0;
    /** Starts instances and waits until they are ready. */
    const addInstances = async ownZones => {
        batch += 1;
        const batchFolder = `${folder}/${batch}`;
        fs.mkdirSync(batchFolder);
        const added = await instances.startInstances({
            zones: ownZones,
            regions,
            storePort: store.port,
            folder: batchFolder,
        }, onCleanup);
        let readyCount = 0;
        const readiness = setInterval(async () => {
            readyCount = (await Promise.all(added.map(caller.isReady))).filter(isReady => isReady).length;
        }, 50);
        await runCase.waitUntil(() => readyCount === added.length, "added instances are ready", 30_000);
        clearInterval(readiness);
        return added;
    };

    publish(store, 1);
    const first = (await addInstances(zones)).map(front => ({ ...front, name: `first ${front.name}` }));
    record("three instances are ready");
    await runCase.pause(5000);

    const copiedBefore = performance.now() - copyMarginMilliseconds;
    publish(store, 2);
    record("version 2 is confirmed");
    const [second] = await addInstances([zones[0]]);
    record("a fourth instance is added and ready");
    publish(store, lastVersion);
    record("version 3 is confirmed");
    await runCase.pause(settleMilliseconds);
    if (runCase.hasTrouble) {
        store.leave();
        record(`the store is away; keyed.op ends at ${store.endOf("keyed.op")}`);
        await runCase.pause(awayMilliseconds);
        const copiedAt = Math.min(copiedBefore, performance.now() - minCopyAgeMilliseconds);
        const copyAge = performance.now() - copiedAt;
        if (copyAge > maxCopyAgeMilliseconds) {
            throw new Error(`the copy is ${Math.round(copyAge)} ms old`);
        }
        store.returnFromCopy(copiedAt);
        record(
            `the store is back from a copy that is ${Math.round(copyAge)} ms old; `
                + `keyed.op ends at ${store.endOf("keyed.op")}, with version 3 written again`,
        );
    }
    await runCase.pause(calmMilliseconds);
    const [third] = await addInstances([zones[1]]);
    record("a fifth instance is added and ready");
    await runCase.pause(Math.max(stableWindowMilliseconds, configApplyMilliseconds) + 1000);

    const fronts = [...first, { ...second, name: "fourth" }, { ...third, name: "fifth" }];
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
