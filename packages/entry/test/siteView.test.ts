/** Which registry entries an instance uses. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as siteView from "../src/siteView";

interface SiteViewFixture {
    directory: routing.UpstreamDirectory;
    view: siteView.SiteView;
    /** Returns the lines of an event. */
    events: (name: string) => (foundation.EventFields | undefined)[];
    /** Stores a registry entry, or removes it. */
    putEntry: (identifier: string, change: object | undefined) => Promise<void>;
    putDocument: (version: number, services: readonly string[], routes?: readonly object[]) => Promise<void>;
    now: () => number;
    owner: foundation.Owner;
}

const stepMilliseconds = 50;

const createRoute = (name: string, allowedRegions: unknown): object => ({
    resourceType: "routes",
    metadata: { name },
    spec: {
        host: "site.example",
        pathPrefix: `/${name}/`,
        routeType: "safe",
        timeout: "2s",
        targetLatency: "1s",
        priority: 0,
        maxAttempts: 2,
        service: "records",
        allowedRegions,
    },
});

const encodeDocument = (version: number, services: readonly string[], routes: readonly object[]): Buffer =>
    Buffer.from(JSON.stringify({
        version: `r${version}`,
        resources: [
            ...routes,
            ...services.map(name => ({
                resourceType: "services",
                metadata: { name },
                spec: { maxConnections: 110, sharded: true },
            })),
            {
                resourceType: "limits",
                metadata: {},
                spec: { maxHeaderBytes: 16384, maxBodyBytes: 1000, headerTimeout: "3s", idleTimeout: "15000ms" },
            },
        ],
    }));

const createSiteViewFixture = (): SiteViewFixture => {
    const timers = foundation.createVirtualTimerService(1000);
    const owner = foundation.createOwner();
    const directory = routing.createUpstreamDirectory();
    const records = new Map<platform.TopicName, platform.StoredRecord[]>();
    const recordsOf = (topic: platform.TopicName): platform.StoredRecord[] => records.get(topic) ?? [];
    const store: platform.StoreClient = {
        readSnapshot: topic => Promise.resolve({ records: recordsOf(topic), end: recordsOf(topic).length }),
        readFrom: async (topic, offset) => {
            await foundation.pause(timers, stepMilliseconds);
            return { records: recordsOf(topic).slice(offset), end: recordsOf(topic).length, isHistoryExpired: false };
        },
        append: () => Promise.reject(new Error("not used")),
        close: () => undefined,
    };
    const lines: [string, foundation.EventFields | undefined][] = [];
    const view = siteView.createSiteView({
        store,
        directory,
        regions: { "north-a": "north", "south-a": "south" },
        timers,
        random: foundation.createRandom(1),
        log: { write: (event, fields) => lines.push([event, fields]), sample: () => undefined },
        isLeading: () => true,
        relayRecords: () => undefined,
        failures: foundation.createTransparentFailureBoundary(),
        onDocument: () => undefined,
    }, owner);
    view.start();
    const put = async (topic: platform.TopicName, key: string, value: Buffer | undefined): Promise<void> => {
        records.set(topic, [...recordsOf(topic), { key, value, offset: recordsOf(topic).length }]);
        for (let elapsed = 0; elapsed < 500; elapsed += stepMilliseconds) {
            timers.advance(stepMilliseconds);
            await new Promise(resolve => setImmediate(resolve));
            directory.expire(timers.now());
        }
    };
    const entry = {
        service: "records",
        address: "10.0.0.9:8080",
        zone: "north-a",
        slots: 6,
        state: "ready",
        version: "v1",
        sequence: 1,
        warmupLeft: "0ms",
        born: 1000,
    };
    return {
        directory,
        view,
        events: name => lines.filter(([event]) => event === name).map(([, fields]) => fields),
        putEntry: (identifier, change) => {
            const value = change === undefined ? undefined : Buffer.from(JSON.stringify({ ...entry, ...change }));
            return put(platform.Topic.upstreams, identifier, value);
        },
        putDocument: (version, services, routes = []) =>
            put(platform.Topic.documents, platform.documentKey, encodeDocument(version, services, routes)),
        now: timers.now,
        owner,
    };
};

test.describe("the registry as an instance sees it", () => {
    test.it("keeps an upstream when an entry of a service that the document does not name has its address or identifier", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putDocument(1, ["records"]);
        await fixture.putEntry("upstream-1", {});
        await fixture.putEntry("odd-1", { service: "unheard-of", born: 2000 });
        await fixture.putEntry("upstream-1", { service: "unheard-of", born: 2000 });
        earl.expect(fixture.directory.find("upstream-1")?.upstream.service).toEqual("records");
        earl.expect(fixture.directory.find("odd-1")).toEqual(undefined);
        await fixture.putEntry("odd-1", undefined);
        earl.expect(fixture.directory.findByService("records").length).toEqual(1);
        await fixture.owner.dispose();
    });

    test.it("uses an upstream of a service once a document names it, and counts its leaving from when it was seen", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putEntry("upstream-1", {});
        await fixture.putEntry("upstream-2", { address: "10.0.0.9:8081" });
        await fixture.putEntry("upstream-2", { address: "10.0.0.9:8081", state: "draining" });
        const drainingBy = fixture.now();
        await fixture.putEntry("upstream-3", { address: "10.0.0.9:8082" });
        await fixture.putEntry("upstream-3", undefined);
        await fixture.putDocument(1, ["other"]);
        earl.expect([...fixture.directory.all()]).toEqual([]);
        await fixture.putDocument(2, ["records"]);
        earl.expect(fixture.directory.find("upstream-1")?.leavingSince).toEqual(undefined);
        earl.expect((fixture.directory.find("upstream-2")?.leavingSince ?? Infinity) <= drainingBy).toEqual(true);
        earl.expect([...fixture.directory.all()].length).toEqual(2);
        await fixture.owner.dispose();
    });
});

test.describe("the regions of a document as an instance sees it", () => {
    const allowedRegions = (fixture: SiteViewFixture): unknown =>
        fixture.view.documentInForce()?.document.routes.map(route => route.allowedRegions);

    // Guards against a route that is refused everywhere because of a misspelt region, and against a line for each request.
    test.it("are those of the site; one line for each document names the others and malformed values", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putDocument(1, ["records"], [createRoute("a", ["north"]), createRoute("b", undefined)]);
        earl.expect(allowedRegions(fixture)).toEqual([["north"], undefined]);
        earl.expect(fixture.events("document-values-ignored")).toEqual([]);
        const routes = [createRoute("a", ["nroth", "south"]), createRoute("b", ["nroth"]), createRoute("c", "north")];
        await fixture.putDocument(2, ["records"], routes);
        earl.expect(allowedRegions(fixture)).toEqual([["south"], undefined, undefined]);
        earl.expect(fixture.events("document-values-ignored")).toEqual([{
            version: 2,
            count: 3,
            values: "route c: allowedRegions is not a list of names,route a: unknown region nroth,"
                + "route b: unknown region nroth, so it is unrestricted",
        }]);
        earl.expect(fixture.events("placement-unrestricted")).toEqual([]);
        await fixture.owner.dispose();
    });

    test.it("are reported once if the routes to a keyed service have none in common", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putDocument(1, ["records"], [createRoute("a", ["north"]), createRoute("b", ["south"])]);
        earl.expect(fixture.events("placement-unrestricted")).toEqual([{ version: 1, services: "records" }]);
        await fixture.owner.dispose();
    });
});
