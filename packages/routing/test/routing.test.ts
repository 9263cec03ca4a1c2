/** Routes, splits and the directory of upstreams. */
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
    maximumAttempts: 2,
    rank: 0,
    destinations: [{ service: "records", weight: 1 }],
});

const createUpstream = (identifier: string, change: Partial<routing.Upstream> = {}): routing.Upstream => ({
    identifier,
    service: "records",
    host: "10.0.0.1",
    port: 8000,
    failureDomain: "north-a",
    slots: 4,
    isDraining: false,
    warmupMilliseconds: 0,
    startedAt: 100,
    ...change,
});

const names = (directory: routing.UpstreamDirectory): string[] =>
    directory.ofService("records").filter(entry => entry.leavingSince === undefined).map(entry =>
        entry.upstream.identifier
    );

test.describe("the table of routes", () => {
    test.it("takes the longest prefix of the host, whatever the port in its name", () => {
        const table = routing.createRouteTable([createRoute("short", "/a/"), createRoute("long", "/a/b/")]);
        earl.expect(table.find("a.example", "/a/b/c")?.route.name).toEqual("long");
        earl.expect(table.find("A.example:8080", "/a/c")?.route.name).toEqual("short");
        earl.expect(table.find("a.example", "/ab")?.route.name).toEqual(undefined);
        earl.expect(table.find("b.example", "/a/b/c")?.route.name).toEqual(undefined);
    });

    test.it("divides requests by weight in every stretch of them", () => {
        const next = routing.createSplitter([{ service: "x", weight: 90 }, { service: "y", weight: 10 }]);
        for (let stretch = 0; stretch < 5; stretch += 1) {
            const services = [...new Array(100)].map(() => next(() => 0));
            earl.expect(services.filter(service => service === "y").length).toEqual(10);
        }
    });

    test.it("sends the dear requests of a route elsewhere, and keeps its weights within a request or two", () => {
        const random = foundation.createRandom(3);
        const next = routing.createSplitter([{ service: "keyed", weight: 74 }, { service: "open", weight: 26 }]);
        let keyed = 0;
        let bytes = 0;
        let keyedBytes = 0;
        for (let count = 1; count <= 2000; count += 1) {
            const size = random.fraction();
            const cost = random.fraction() < 2 / 3 ? size : 0;
            const isKeyed = next(service => service === "keyed" ? cost : 0) === "keyed";
            keyed += isKeyed ? 1 : 0;
            bytes += cost;
            keyedBytes += isKeyed ? cost : 0;
            earl.expect(Math.abs(keyed - count * 0.74) <= 2).toEqual(true);
        }
        earl.expect(keyedBytes < bytes * 0.62).toEqual(true);
    });
});

test.describe("the directory of upstreams", () => {
    test.it("lets one leave that drains, and one whose entry is gone", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onEntry(createUpstream("b", { port: 8001 }), 0);
        directory.onEntry(createUpstream("a", { isDraining: true }), 10);
        directory.onRemoval("b", 20);
        earl.expect(names(directory)).toEqual([]);
        earl.expect(directory.find("b") !== undefined).toEqual(true);
        directory.expire(5000);
        earl.expect(directory.find("b")).toEqual(undefined);
    });

    test.it("keeps entries that lapse while the store is away until it has been back for a while", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onContactLost(100);
        directory.onRemoval("a", 5000);
        directory.onContact(5100);
        directory.expire(7000);
        earl.expect(names(directory)).toEqual(["a"]);
        directory.expire(7400);
        earl.expect(names(directory)).toEqual([]);
    });

    test.it("takes an entry back that returns in time", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onContactLost(100);
        directory.onContact(5000);
        directory.onRemoval("a", 5100);
        directory.onEntry(createUpstream("a"), 6000);
        directory.expire(9000);
        earl.expect(names(directory)).toEqual(["a"]);
    });

    test.it("takes an upstream as ended when another has its address, not when it starts anew there", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a"), 0);
        directory.onEntry(createUpstream("a", { startedAt: 200 }), 100);
        earl.expect(directory.takeEnded()).toEqual([]);
        directory.onEntry(createUpstream("c", { startedAt: 300, service: "other" }), 200);
        earl.expect(directory.takeEnded().map(ended => ended.identifier)).toEqual(["a"]);
        earl.expect(names(directory)).toEqual([]);
    });

    test.it("ignores an entry of an earlier life that is written late", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(createUpstream("a", { startedAt: 200 }), 0);
        directory.onEntry(createUpstream("a", { startedAt: 100, isDraining: true }), 10);
        directory.onEntry(createUpstream("b", { startedAt: 100 }), 20);
        earl.expect(names(directory)).toEqual(["a"]);
    });
});
