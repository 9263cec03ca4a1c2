/** Which registry entries an instance uses. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as siteView from "../src/siteView";

type LogRecord = Record<string, unknown>;

/** What a document has beside its services. */
interface DocumentChange {
    /** Fields of each service that describe its warm-up. */
    warmup?: object;
    routes?: readonly object[];
}

interface SiteViewFixture {
    directory: routing.UpstreamDirectory;
    view: siteView.SiteView;
    /** Returns the lines of an event. */
    events: (name: string) => (foundation.EventFields | undefined)[];
    /** Stores a registry entry, or removes it. */
    putEntry: (identifier: string, change: object | undefined) => Promise<void>;
    putDocument: (version: number, services: readonly string[], change?: DocumentChange) => Promise<void>;
    now: () => number;
    /** Entries that were relayed to the followers. */
    relayedEntries: () => LogRecord[];
    /** Entries that were applied, and whether each was part of the first registry. */
    appliedEntries: [routing.Upstream, boolean][];
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

const encodeDocument = (
    version: number,
    services: readonly string[],
    { warmup, routes = [] }: DocumentChange,
): Buffer =>
    Buffer.from(JSON.stringify({
        version: `r${version}`,
        resources: [
            ...routes,
            ...services.map(name => ({
                resourceType: "services",
                metadata: { name },
                spec: { maxConnections: 110, sharded: true, ...warmup },
            })),
            {
                resourceType: "limits",
                metadata: {},
                spec: { maxHeaderBytes: 16384, maxBodyBytes: 1000, headerTimeout: "3s", idleTimeout: "15000ms" },
            },
        ],
    }));

const createSiteViewFixture = (initialUpstreams: readonly string[] = []): SiteViewFixture => {
    const timers = foundation.createVirtualTimerService(1000);
    const owner = foundation.createOwner();
    const directory = routing.createUpstreamDirectory();
    const records = new Map<platform.TopicName, platform.StoredRecord[]>();
    const relayedRecords: platform.StoredRecord[] = [];
    const appliedEntries: [routing.Upstream, boolean][] = [];
    const recordsOf = (topic: platform.TopicName): platform.StoredRecord[] => records.get(topic) ?? [];
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
    const encodeEntry = (change: object): Buffer => Buffer.from(JSON.stringify({ ...entry, ...change }));
    records.set(
        platform.Topic.upstreams,
        initialUpstreams.map((key, offset) => ({ key, value: encodeEntry({}), offset })),
    );
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
        relayRecords: (topic, changes) => topic === platform.Topic.upstreams && relayedRecords.push(...changes),
        failures: foundation.createTransparentFailureBoundary(),
        onDocument: () => undefined,
        onUpstreamEntry: (upstream, isInitial) => appliedEntries.push([upstream, isInitial]),
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
    return {
        directory,
        view,
        events: name => lines.filter(([event]) => event === name).map(([, fields]) => fields),
        putEntry: (identifier, change) => {
            const value = change === undefined ? undefined : encodeEntry(change);
            return put(platform.Topic.upstreams, identifier, value);
        },
        putDocument: (version, services, change = {}) =>
            put(platform.Topic.documents, platform.documentKey, encodeDocument(version, services, change)),
        now: timers.now,
        relayedEntries: () => relayedRecords.map(({ value }) => JSON.parse(value?.toString() ?? "{}") as LogRecord),
        appliedEntries,
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

    const warmup = { warmup: "3s", warmupPerS: 6 };
    /** Puts the heartbeats of an upstream, each 500 ms, with the times that it stays cold. */
    const putHeartbeats = async (
        { putEntry }: SiteViewFixture,
        warmupLeft: readonly number[],
        change: object = {},
    ): Promise<void> => {
        for (const [index, milliseconds] of warmupLeft.entries()) {
            await putEntry("upstream-1", { warmupLeft: `${milliseconds}ms`, sequence: index + 2, ...change });
        }
    };

    test.it("relays the beginning, a later end and the end of a cold period, and not each heartbeat of it", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putDocument(1, ["records"], { warmup });
        await putHeartbeats(fixture, [0, 0, 0]);
        earl.expect(fixture.relayedEntries().map(entry => entry.warmupLeft)).toEqual(["0ms"]);
        await putHeartbeats(fixture, [3000, 2500, 2000, 1500, 1000, 500, 0, 0]);
        earl.expect(fixture.relayedEntries().map(entry => entry.warmupLeft)).toEqual(["0ms", "3000ms", "0ms"]);
        // It turns cold once more before its cold period has ended.
        await putHeartbeats(fixture, [3000, 2500, 2000, 3000, 2500, 0]);
        earl.expect(fixture.relayedEntries().slice(3).map(entry => entry.warmupLeft))
            .toEqual(["3000ms", "3000ms", "0ms"]);
        earl.expect(fixture.appliedEntries.length).toEqual(fixture.relayedEntries().length);
        // It stays the same incarnation.
        earl.expect((fixture.directory.find("upstream-1")?.firstSeenAt ?? Infinity) < 3000).toEqual(true);
        await putHeartbeats(fixture, [2000], { born: 2000 });
        earl.expect(fixture.relayedEntries().at(-1)?.born).toEqual(2000);
        await fixture.owner.dispose();
    });

    test.it("relays no change of the warm-up time of a service whose rate is not limited", async () => {
        for (const malformed of [{}, { warmup: "3s", warmupPerS: "many" }, { warmupPerS: -1 }, { warmup: "3s" }]) {
            const fixture = createSiteViewFixture();
            await fixture.putDocument(1, ["records"], { warmup: malformed });
            await putHeartbeats(fixture, [3000, 2500, 0, 3000, 0]);
            earl.expect(fixture.relayedEntries().map(entry => entry.warmupLeft)).toEqual(["3000ms"]);
            await fixture.owner.dispose();
        }
    });

    test.it("tells the entries of the first registry from later ones, also if a document names their service later", async () => {
        const fixture = createSiteViewFixture(["upstream-1"]);
        await fixture.putEntry("upstream-2", { address: "10.0.0.9:8081" });
        await fixture.putDocument(1, ["records"], { warmup });
        const applied = fixture.appliedEntries.map(([{ identifier }, isInitial]) => [identifier, isInitial]);
        earl.expect(applied).toEqual([["upstream-1", true], ["upstream-2", false]]);
        await fixture.owner.dispose();
    });
});

test.describe("the regions of a document as an instance sees it", () => {
    const allowedRegions = (fixture: SiteViewFixture): unknown =>
        fixture.view.documentInForce()?.document.routes.map(route => route.allowedRegions);

    // Guards against a route that is refused everywhere because of a misspelt region, and against a line for each request.
    test.it("are those of the site; one line for each document names the others and malformed values", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putDocument(1, ["records"], {
            routes: [createRoute("a", ["north"]), createRoute("b", undefined)],
        });
        earl.expect(allowedRegions(fixture)).toEqual([["north"], undefined]);
        earl.expect(fixture.events("document-values-ignored")).toEqual([]);
        const routes = [createRoute("a", ["nroth", "south"]), createRoute("b", ["nroth"]), createRoute("c", "north")];
        await fixture.putDocument(2, ["records"], { routes });
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
        await fixture.putDocument(1, ["records"], {
            routes: [createRoute("a", ["north"]), createRoute("b", ["south"])],
        });
        earl.expect(fixture.events("placement-unrestricted")).toEqual([{ version: 1, services: "records" }]);
        await fixture.owner.dispose();
    });
});
