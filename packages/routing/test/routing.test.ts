/** Tests the route table, traffic splits and the upstream directory. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";

const createRoute = (name: string, pathPrefix: string, host = "a.example"): routing.Route => ({
    name,
    host,
    pathPrefix,
    kind: routing.RouteKind.idempotent,
    timeoutMilliseconds: 1000,
    targetMilliseconds: 400,
    maxAttempts: 2,
    rank: 0,
    destinations: [{ service: "records", weight: 1 }],
});

const createUpstream = (identifier: string, overrides: Partial<routing.Upstream> = {}): routing.Upstream => ({
    identifier,
    service: "records",
    host: "10.0.0.1",
    port: 8000,
    failureDomain: "north-a",
    slots: 4,
    isDraining: false,
    warmupMilliseconds: 0,
    startedAt: 100,
    ...overrides,
});

const readyIdentifiers = (directory: routing.UpstreamDirectory): string[] =>
    directory.findByService("records").filter(entry => entry.leavingSince === undefined).map(entry =>
        entry.upstream.identifier
    );

test.describe("the route table", () => {
    test.it("finds the longest path prefix of a host and ignores the port and letter case of the host", () => {
        const table = routing.createRouteTable([createRoute("short", "/a/"), createRoute("long", "/a/b/")]);
        earl.expect(table.find("a.example", "/a/b/c")?.route.name).toEqual("long");
        earl.expect(table.find("A.example:8080", "/a/c")?.route.name).toEqual("short");
        earl.expect(table.find("a.example", "/ab")?.route.name).toEqual(undefined);
        earl.expect(table.find("b.example", "/a/b/c")?.route.name).toEqual(undefined);
    });

    test.it("splits requests by weight within every batch of requests", () => {
        const nextService = routing.createSplitter([{ service: "x", weight: 90 }, { service: "y", weight: 10 }]);
        for (let batch = 0; batch < 5; batch += 1) {
            const services = [...new Array(100)].map(() => nextService(() => 0));
            earl.expect(services.filter(service => service === "y").length).toEqual(10);
        }
    });

    test.it("sends expensive requests elsewhere and stays within two requests of the weights", () => {
        const random = foundation.createRandom(3);
        const nextService = routing.createSplitter([{ service: "keyed", weight: 74 }, { service: "open", weight: 26 }]);
        let keyed = 0;
        let bytes = 0;
        let keyedBytes = 0;
        for (let count = 1; count <= 2000; count += 1) {
            const size = random.fraction();
            const cost = random.fraction() < 2 / 3 ? size : 0;
            const isKeyed = nextService(service => service === "keyed" ? cost : 0) === "keyed";
            keyed += isKeyed ? 1 : 0;
            bytes += cost;
            keyedBytes += isKeyed ? cost : 0;
            earl.expect(Math.abs(keyed - count * 0.74) <= 2).toEqual(true);
        }
        earl.expect(keyedBytes < bytes * 0.62).toEqual(true);
    });
});

test.describe("the upstream directory", () => {
    test.it("treats upstreams as leaving when they drain or their entry is removed", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onEntry(createUpstream("b", { port: 8001 }), 0);
        directory.onEntry(createUpstream("a", { isDraining: true }), 10);
        directory.onRemoval("b", 20);
        earl.expect(readyIdentifiers(directory)).toEqual([]);
        earl.expect(directory.find("b") !== undefined).toEqual(true);
        directory.expire(5000);
        earl.expect(directory.find("b")).toEqual(undefined);
    });

    test.it("keeps entries that expire while the store is unreachable until some time after its recovery", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onStoreUnreachable(100);
        directory.onRemoval("a", 5000);
        directory.onStoreReachable(5100);
        directory.expire(7000);
        earl.expect(readyIdentifiers(directory)).toEqual(["a"]);
        directory.expire(7400);
        earl.expect(readyIdentifiers(directory)).toEqual([]);
    });

    test.it("keeps an upstream that renews its entry in time after the store's recovery", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onStoreUnreachable(100);
        directory.onStoreReachable(5000);
        directory.onRemoval("a", 5100);
        directory.onEntry(createUpstream("a"), 6000);
        directory.expire(9000);
        earl.expect(readyIdentifiers(directory)).toEqual(["a"]);
    });

    test.it("uses the upstream that started last at an address, and the earlier one again when that entry is gone", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onEntry(createUpstream("a", { startedAt: 200 }), 100);
        earl.expect(readyIdentifiers(directory)).toEqual(["a"]);
        directory.onEntry(createUpstream("c", { startedAt: 300, service: "other" }), 200);
        earl.expect(readyIdentifiers(directory)).toEqual([]);
        earl.expect(directory.find("a")).toEqual(undefined);
        earl.expect([...directory.all()].map(entry => entry.upstream.identifier)).toEqual(["c"]);
        directory.onRemoval("c", 300);
        earl.expect(readyIdentifiers(directory)).toEqual(["a"]);
    });

    test.it("does not lose what an upstream reports while a later one is registered at its address", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("c", { startedAt: 300, service: "other" }), 0);
        directory.onEntry(createUpstream("a"), 100);
        directory.onEntry(createUpstream("b", { startedAt: 50 }), 100);
        directory.onRemoval("b", 200);
        directory.onEntry(createUpstream("a", { isDraining: true }), 250);
        directory.onRemoval("c", 300);
        earl.expect(readyIdentifiers(directory)).toEqual([]);
        earl.expect(directory.find("a")?.leavingSince).toEqual(250);
    });

    test.it("keeps an upstream that announced that it is leaving so, whatever entries of that incarnation say", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        earl.expect(directory.onLeavingAnnounced({ identifier: "a", startedAt: 100 }, 10)).toEqual(true);
        earl.expect(directory.onLeavingAnnounced({ identifier: "a", startedAt: 100 }, 20)).toEqual(false);
        directory.onEntry(createUpstream("a"), 30);
        earl.expect(directory.find("a")?.leavingSince).toEqual(10);
        directory.onRemoval("a", 40);
        directory.expire(5000);
        earl.expect(directory.find("a")).toEqual(undefined);
        directory.onEntry(createUpstream("a"), 6000);
        earl.expect(directory.find("a")?.leavingSince).toEqual(10);
        earl.expect(directory.announcedLeaving()).toEqual([{ identifier: "a", startedAt: 100, since: 10 }]);
    });

    test.it("applies an announcement only to the incarnation that made it", () => {
        const directory = routing.createUpstreamDirectory();
        earl.expect(directory.onLeavingAnnounced({ identifier: "a", startedAt: 100 }, 0)).toEqual(true);
        directory.onEntry(createUpstream("a", { startedAt: 200 }), 10);
        earl.expect(readyIdentifiers(directory)).toEqual(["a"]);
        earl.expect(directory.announcedLeaving()).toEqual([]);
        earl.expect(directory.onLeavingAnnounced({ identifier: "a", startedAt: 100 }, 20)).toEqual(false);
        earl.expect(readyIdentifiers(directory)).toEqual(["a"]);
    });

    test.it("ignores an entry of an earlier incarnation that is written late", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a", { startedAt: 200 }), 0);
        directory.onEntry(createUpstream("a", { startedAt: 100, isDraining: true }), 10);
        directory.onEntry(createUpstream("b", { startedAt: 100 }), 20);
        earl.expect(readyIdentifiers(directory)).toEqual(["a"]);
        earl.expect(directory.find("b")).toEqual(undefined);
    });
});
