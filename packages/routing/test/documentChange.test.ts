/** Tests the comparison of two versions of the document. */
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";

const createRoute = (name: string, changes: Partial<routing.Route> = {}): routing.Route => ({
    name,
    host: "a.example",
    pathPrefix: `/${name}/`,
    kind: routing.RouteKind.idempotent,
    timeoutMilliseconds: 1000,
    targetMilliseconds: 400,
    maxAttempts: 2,
    rank: 0,
    destinations: [{ service: "records", weight: 1 }],
    ...changes,
});

const createDocument = (changes: Partial<routing.RoutingDocument> = {}): routing.RoutingDocument => ({
    version: 1,
    routes: [createRoute("a"), createRoute("b")],
    services: new Map([["records", { name: "records", maxConnections: 10, isKeyed: true }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    ...changes,
});

const noNames: routing.NameChanges = { added: [], removed: [], changed: [] };

test.describe("two versions of the document", () => {
    test.it("differ in what was added, removed and changed", () => {
        const next = createDocument({
            routes: [createRoute("a", { timeoutMilliseconds: 900 }), createRoute("c")],
            services: new Map([["orders", { name: "orders", maxConnections: 10, isKeyed: false }]]),
        });
        earl.expect(routing.compareDocuments(createDocument(), next)).toEqual({
            routes: { added: ["c"], removed: ["b"], changed: ["a"] },
            services: { added: ["orders"], removed: ["records"], changed: [] },
            areLimitsChanged: false,
        });
    });

    test.it("do not differ in their version only", () => {
        earl.expect(routing.compareDocuments(createDocument(), createDocument({ version: 2 }))).toEqual({
            routes: noNames,
            services: noNames,
            areLimitsChanged: false,
        });
    });

    test.it("differ in everything if there was none before, and in their limits", () => {
        earl.expect(routing.compareDocuments(undefined, createDocument()).routes.added).toEqual(["a", "b"]);
        const limits = { ...createDocument().limits, maxBodyBytes: 2 };
        earl.expect(routing.compareDocuments(createDocument(), createDocument({ limits })).areLimitsChanged)
            .toEqual(true);
    });
});
