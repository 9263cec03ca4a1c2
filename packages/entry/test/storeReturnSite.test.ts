/** Tests with processes of a site whose store returns from an older copy. */
import * as emulator from "@mulberryseam/emulator";
import * as earl from "earl";
import * as test from "node:test";
import * as entrySite from "./fixtures/entrySite";

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Time for which the store is away, in milliseconds. */
const awayMilliseconds = 300;
/** Time after the return at which operators and upstreams write again, in milliseconds: late, but within their time. */
const rewriteDelayMilliseconds = 1800;
const maxTestMilliseconds = 120_000;

const versionsOf = (instance: entrySite.EntryProcess): unknown[] =>
    instance.events("document-in-force").map(({ version }) => version);

/** Publishes a version with another route, and lets the store lose it; returns the age of the copy in milliseconds. */
const publishAndLeave = async (site: entrySite.EntrySite): Promise<number> => {
    // The copy contains the first assignment.
    await pause(500);
    const publishedAt = performance.now();
    const version = site.publish(resources => resources.push(entrySite.createRoute("orders", "safe", "added")));
    await site.waitForLine(line => line.event === "document-in-force" && line.version === version);
    site.store.setMode(emulator.StoreMode.away);
    await pause(awayMilliseconds);
    return performance.now() - publishedAt + 100;
};

test.describe("a site whose store returns from an older copy", () => {
    // Guards against instances that go back to an older version, and against a return that operators cannot see.
    test.it("serves all keys by the last version meanwhile, and tells what was lost and stored again", {
        timeout: maxTestMilliseconds,
    }, () =>
        entrySite.withEntrySite({ instances: 2, upstreamsPerService: 2 }, async site => {
            const age = await publishAndLeave(site);
            site.store.returnFromCopy(age, rewriteDelayMilliseconds);
            const [first, second] = site.instances;
            const outcomes = new Set<number | string>();
            await entrySite.waitUntil(async () => {
                outcomes.add(entrySite.describeOutcome(await site.send(first, 100)));
                outcomes.add(entrySite.describeOutcome(await site.send(second, 60_000)));
                return site.instances.every(instance => instance.events("store-return-settled").length === 2);
            }, "the store has settled");
            earl.expect([...outcomes]).toEqual([200]);
            earl.expect(site.instances.map(versionsOf)).toEqual([[1, 2], [1, 2]]);
            const returned = site.instances.flatMap(instance =>
                instance.events("store-returned").filter(({ topic }) => topic === "keyed.op")
            );
            earl.expect(returned.map(({ previousEra, era }) => [previousEra, era])).toEqual([[1, 2], [1, 2]]);
            // The leader finds the older version in the store, and sends its follower the one that it knows.
            earl.expect(returned.map(({ older }) => older).sort()).toEqual([0, 1]);
            const storedAgain = site.instances.flatMap(instance => instance.events("ownership-stored-again"));
            earl.expect(storedAgain.map(({ services }) => services)).toEqual([1]);
        }));

    // Guards against an instance that calls itself ready by a copy that lacks the last version.
    test.it(
        "has no ready instance that knows an older version, if all were lost and start before the rest is written again",
        {
            timeout: maxTestMilliseconds,
        },
        () =>
            entrySite.withEntrySite({ instances: 2 }, async site => {
                const age = await publishAndLeave(site);
                const leftAt = performance.now();
                site.instances.forEach(instance => instance.child.kill("SIGKILL"));
                const started = await site.startInstance();
                await entrySite.waitUntil(
                    () => started.events("document-read-failed").length > 0,
                    "the new instance reads",
                );
                site.store.returnFromCopy(age + performance.now() - leftAt, rewriteDelayMilliseconds);
                await entrySite.waitUntil(() => entrySite.isReady(started), "the new instance is ready");
                // Only the last version has the route.
                const { status } = await entrySite.sendRequest({
                    host: started.host,
                    port: started.callerPort,
                    target: "/added/1",
                    headers: { "host": "site.example", "request-id": "request-added", "request-deadline-ms": "4000" },
                });
                earl.expect(status).toEqual(200);
                await entrySite.waitUntil(() => versionsOf(started).includes(2), "the last version is in force");
                earl.expect(versionsOf(started)).toEqual([1, 2]);
            }),
    );
});
