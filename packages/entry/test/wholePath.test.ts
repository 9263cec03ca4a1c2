/**
 * End-to-end test with separate processes: two instances on the emulated platform lose an upstream, the leader and the
 * store.
 */
import * as emulator from "@mulberryseam/emulator";
import * as earl from "earl";
import * as test from "node:test";
import * as entrySite from "./fixtures/entrySite";

const { waitUntil, isReady } = entrySite;

/** Default of the platform's drain time, in milliseconds. */
const drainMilliseconds = 2500;

const keys = [0, 300, 20_000, 45_000, 65_535];

const areKeysServed = async (site: entrySite.EntrySite, instance: entrySite.EntryProcess): Promise<boolean> => {
    const responses = await Promise.all(keys.map(key => site.send(instance, key)));
    return responses.every(({ status }) => status === 200);
};

const waitUntilKeysServed = async (
    site: entrySite.EntrySite,
    ...instances: entrySite.EntryProcess[]
): Promise<void> => {
    for (const instance of instances) {
        await waitUntil(() => areKeysServed(site, instance), `${instance.host} serves every key`);
    }
};

/** Returns the upstreams of the service that has keys. */
const keyedUpstreamsOf = (site: entrySite.EntrySite): emulator.EmulatedUpstream[] =>
    site.upstreams.filter(({ identifier }) => identifier.startsWith("records-"));

test.describe("two instances on the platform", () => {
    test.it("move the keys of an upstream that announces that it is leaving, and then send it no request", () => {
        const allArrivals: emulator.EmulatedArrival[] = [];
        const options: entrySite.EntrySiteOptions = {
            instances: 2,
            upstreamsPerService: 2,
            onArrival: arrival => allArrivals.push(arrival),
        };
        return entrySite.withEntrySite(options, async site => {
            const areAllServed = async (): Promise<boolean> => {
                const served = await Promise.all(site.instances.map(instance => areKeysServed(site, instance)));
                return served.every(isServed => isServed);
            };
            const upstreams = keyedUpstreamsOf(site);
            await waitUntil(areAllServed, "every key is served");
            earl.expect(keys.some(key => upstreams[0].ownsKey(key))).toEqual(true);

            upstreams[0].setMode(emulator.UpstreamMode.leaving);
            await waitUntil(
                async () => await areAllServed() && keys.every(key => upstreams[1].ownsKey(key)),
                "the keys move",
            );
            const arrivals = allArrivals.filter(({ upstream }) => upstream === upstreams[0]);
            earl.expect(arrivals.length > 0).toEqual(true);
            const announcements = arrivals.filter(arrival => arrival.isLeaving).map(arrival => arrival.answeredAt ?? 0);
            // The leader may also have learned of it before any request did.
            const announcedAt = Math.min(performance.now(), ...announcements);
            await waitUntil(async () => {
                await areAllServed();
                return performance.now() > announcedAt + drainMilliseconds + 1000;
            }, "the drain time passes");
            await waitUntil(areAllServed, "every key is served after the drain time");
            const late = allArrivals.filter(({ upstream, arrivedAt }) =>
                upstream === upstreams[0] && arrivedAt > announcedAt + drainMilliseconds
            );
            earl.expect(late.length).toEqual(0);
        });
    });

    test.it("own every key exactly once, serve every key after each loss, and stop on SIGTERM", () =>
        entrySite.withEntrySite({ instances: 2, upstreamsPerService: 2 }, async site => {
            const { store, instances } = site;
            const [first, second] = instances;
            const upstreams = keyedUpstreamsOf(site);
            await waitUntilKeysServed(site, first, second);
            for (const key of keys) {
                earl.expect(upstreams.filter(upstream => upstream.ownsKey(key)).length).toEqual(1);
            }
            const unknown = { target: "/none/", headers: { host: "site.example" } };
            const response = await entrySite.sendRequest({ host: first.host, port: first.callerPort, ...unknown });
            earl.expect(response.status).toEqual(404);

            await upstreams[0].stop();
            store.put("keyed.servers", upstreams[0].identifier, "");
            await waitUntilKeysServed(site, first, second);

            first.child.kill("SIGKILL");
            await waitUntilKeysServed(site, second);
            store.setMode(emulator.StoreMode.busy);
            earl.expect(await areKeysServed(site, second)).toEqual(true);
            store.setMode(emulator.StoreMode.serving);

            // Its only peer is gone; without the store, it cannot know whether keys have moved.
            store.setMode(emulator.StoreMode.silent);
            await waitUntil(async () => !await isReady(second), "the isolated instance is not ready");
            store.setMode(emulator.StoreMode.serving);
            await waitUntil(() => isReady(second), "the instance is ready again");

            second.child.kill("SIGTERM");
            await waitUntil(async () => !await isReady(second), "the stopping instance is not ready");
            // After a second signal the instance still completes the requests in flight and exits by itself.
            second.child.kill("SIGTERM");
            earl.expect(await second.exited()).toEqual(0);
        }));
});
