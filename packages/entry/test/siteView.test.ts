/** Which registry entries an instance uses. */
import * as eligibilities from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as sitePlaces from "../src/sitePlaces";
import * as siteView from "../src/siteView";
import * as storeReturns from "../src/storeReturns";

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
    places: sitePlaces.SitePlaces;
    /** Stores the record of an evacuation, or deletes it. */
    putEvacuation: (failureDomain: string, isEvacuated: boolean) => Promise<void>;
    /** Discards the history behind records that are appended without being read. */
    expireHistory: (appendLast: () => void) => Promise<void>;
    /** Deletes the record of an evacuation; the instance has not read it afterwards. */
    appendEvacuationEnd: (failureDomain: string) => void;
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

const createSiteViewFixture = (
    { initialUpstreams = [], initialEvacuation }: {
        initialUpstreams?: readonly string[];
        initialEvacuation?: string;
    } = {},
): SiteViewFixture => {
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
    if (initialEvacuation !== undefined) {
        const record = { key: `evacuate/${initialEvacuation}`, value: Buffer.from("{}"), offset: 0 };
        records.set(platform.Topic.documents, [record]);
    }
    /** Offset from which the history of each topic is kept. */
    let historyStart = 0;
    const store: platform.StoreClient = {
        readSnapshot: topic => {
            const newest = new Map(recordsOf(topic).map(record => [record.key, record]));
            const present = [...newest.values()].filter(record => record.value !== undefined);
            return Promise.resolve({ records: present, end: { era: 1, offset: recordsOf(topic).length } });
        },
        readFrom: async (topic, { offset }) => {
            await foundation.pause(timers, stepMilliseconds);
            const end = { era: 1, offset: recordsOf(topic).length };
            return { records: recordsOf(topic).slice(offset), end, isHistoryExpired: offset < historyStart };
        },
        append: () => Promise.reject(new Error("not used")),
        eraSeenAt: () => 0,
        close: () => undefined,
    };
    const lines: [string, foundation.EventFields | undefined][] = [];
    const log: foundation.EventLog = { write: (event, fields) => lines.push([event, fields]), sample: () => undefined };
    const regions = { "north-a": "north", "south-a": "south" };
    const places = sitePlaces.createSitePlaces({
        settings: { regions, evacuationMilliseconds: 5000 },
        directory,
        timers,
        log,
        documentInForce: () => undefined,
        warmupRates: eligibilities.unlimitedWarmupRates,
    });
    const view = siteView.createSiteView({
        isEraEstablished: () => true,
        storeReturns: storeReturns.createStoreReturns(log),
        store,
        directory,
        regions,
        timers,
        random: foundation.createRandom(1),
        log,
        isLeading: () => true,
        relayRecords: (topic, changes) => topic === platform.Topic.upstreams && relayedRecords.push(...changes),
        failures: foundation.createTransparentFailureBoundary(),
        onDocument: () => undefined,
        onUpstreamEntry: (upstream, isInitial) => appliedEntries.push([upstream, isInitial]),
        onEvacuationRecord: places.onEvacuationRecord,
    }, owner);
    view.start();
    const appendRecord = (topic: platform.TopicName, key: string, value: Buffer | undefined): void => {
        records.set(topic, [...recordsOf(topic), { key, value, offset: recordsOf(topic).length }]);
    };
    const put = async (topic: platform.TopicName, key: string, value: Buffer | undefined): Promise<void> => {
        appendRecord(topic, key, value);
        await settle();
    };
    const settle = async (): Promise<void> => {
        for (let elapsed = 0; elapsed < 500; elapsed += stepMilliseconds) {
            timers.advance(stepMilliseconds);
            await new Promise(resolve => setImmediate(resolve));
            directory.expire(timers.now());
        }
    };
    return {
        directory,
        view,
        places,
        putEvacuation: (failureDomain, isEvacuated) =>
            put(platform.Topic.documents, `evacuate/${failureDomain}`, isEvacuated ? Buffer.from("{}") : undefined),
        expireHistory: async appendLast => {
            appendLast();
            historyStart = recordsOf(platform.Topic.documents).length;
            await settle();
        },
        appendEvacuationEnd: failureDomain =>
            appendRecord(platform.Topic.documents, `evacuate/${failureDomain}`, undefined),
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
        const fixture = createSiteViewFixture({ initialUpstreams: ["upstream-1"] });
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

test.describe("the evacuations as an instance sees them", () => {
    const evacuated = ({ places }: SiteViewFixture): string[] =>
        places.evacuations.list().map(({ failureDomain }) => failureDomain);

    test.it("begin with the record of a failure domain and end when it is deleted, with a line each", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putDocument(1, ["records"]);
        const before = fixture.now();
        await fixture.putEvacuation("south-a", true);
        earl.expect(evacuated(fixture)).toEqual(["south-a"]);
        // It cannot have begun before the last state without it.
        earl.expect((fixture.places.evacuations.find("south-a")?.earliestBeginAt ?? 0) >= before - 100).toEqual(true);
        earl.expect(fixture.events("evacuation-begun").map(line => [line?.failureDomain, line?.source])).toEqual([
            ["south-a", "store"],
        ]);
        await fixture.putDocument(2, ["records"]);
        await fixture.putEvacuation("south-a", false);
        earl.expect(evacuated(fixture)).toEqual([]);
        earl.expect(fixture.events("evacuation-ended").map(line => line?.failureDomain)).toEqual(["south-a"]);
        earl.expect((fixture.places.evacuations.endedAt("south-a") ?? 0) > before).toEqual(true);
        earl.expect(fixture.places.evacuations.endedAt("north-a")).toEqual(undefined);
        await fixture.owner.dispose();
    });

    // Guards against a misspelt name that evacuates nothing without a word, or throws.
    test.it("leave out a failure domain that the site does not have, with one line", async () => {
        const fixture = createSiteViewFixture();
        for (const name of ["south-z", "", "toString"]) {
            await fixture.putEvacuation(name, true);
            await fixture.putEvacuation(name, false);
        }
        earl.expect(evacuated(fixture)).toEqual([]);
        earl.expect(fixture.events("evacuation-ignored").map(line => line?.failureDomain)).toEqual([
            "south-z",
            "",
            "toString",
        ]);
        earl.expect(fixture.events("evacuation-ended")).toEqual([]);
        earl.expect(fixture.events("internal-error")).toEqual([]);
        await fixture.owner.dispose();
    });

    // Guards against an evacuation that never ends because its end was compacted away.
    test.it("end when the record is missing in a snapshot", async () => {
        const fixture = createSiteViewFixture();
        await fixture.putEvacuation("south-a", true);
        await fixture.putEvacuation("north-a", true);
        await fixture.expireHistory(() => fixture.appendEvacuationEnd("south-a"));
        earl.expect(evacuated(fixture)).toEqual(["north-a"]);
        earl.expect(fixture.events("evacuation-ended").map(line => line?.failureDomain)).toEqual(["south-a"]);
        await fixture.owner.dispose();
    });

    // Guards against requests to owners by an instance that starts long after the evacuation, and cannot know its age.
    test.it("of the first snapshot are known with the document, and may have begun at any time", async () => {
        const fixture = createSiteViewFixture({ initialEvacuation: "south-a" });
        await fixture.putDocument(1, ["records"]);
        earl.expect(evacuated(fixture)).toEqual(["south-a"]);
        earl.expect(fixture.places.evacuations.find("south-a")?.earliestBeginAt).toEqual(-Infinity);
        await fixture.owner.dispose();
    });
});
