/** Which regions a document allows, for requests and for keys. */
import * as eligibility from "@mulberryseam/eligibility";
import type * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as documentFixture from "./fixtures/documentFixture";

const { createDocument, createRoute } = documentFixture;
const knownRegions = new Set(["north", "south", "west"]);

const allowedRegionsOf = (document: routing.RoutingDocument): eligibility.AllowedRegions[] =>
    document.routes.map(route => route.allowedRegions);

test.describe("a region", () => {
    // Guards against a request that leaves its regions because the region of an upstream is unknown.
    test.it("is allowed only if the route names it or has no restriction", () => {
        earl.expect(eligibility.isRegionAllowed("north", undefined)).toEqual(true);
        earl.expect(eligibility.isRegionAllowed(undefined, undefined)).toEqual(true);
        earl.expect(eligibility.isRegionAllowed("north", ["south", "north"])).toEqual(true);
        earl.expect(eligibility.isRegionAllowed("west", ["south", "north"])).toEqual(false);
        earl.expect(eligibility.isRegionAllowed(undefined, ["north"])).toEqual(false);
    });
});

test.describe("the regions of a document", () => {
    // Guards against changed decisions for documents without the field.
    test.it("leave a document alone that restricts no route, or names known regions only", () => {
        for (const regions of [undefined, ["north"], ["west", "south"]]) {
            const document = createDocument([createRoute("a", regions)]);
            const restricted = eligibility.restrictToKnownRegions(document, knownRegions);
            earl.expect(restricted.document === document).toEqual(true);
            earl.expect(restricted.ignored).toEqual([]);
        }
    });

    // Guards against a route that is refused everywhere because of a misspelt name.
    test.it("ignore unknown names, and a restriction without a known name", () => {
        const document = createDocument([createRoute("a", ["nroth", "south"]), createRoute("b", ["nroth", "suoth"])]);
        const restricted = eligibility.restrictToKnownRegions(document, knownRegions);
        earl.expect(allowedRegionsOf(restricted.document)).toEqual([["south"], undefined]);
        earl.expect("allowedRegions" in restricted.document.routes[1]).toEqual(false);
        earl.expect(restricted.ignored).toEqual([
            "route a: unknown region nroth",
            "route b: unknown region nroth, suoth, so it is unrestricted",
        ]);
    });
});

test.describe("the keys of a service", () => {
    const placementRegions = (...regions: (readonly string[] | undefined)[]): eligibility.AllowedRegions =>
        eligibility.findPlacementRegions(
            createDocument(regions.map((names, index) => createRoute(`route-${index}`, names))),
            "records",
        );

    // Guards against owners that a restricted route to the service may not reach.
    test.it("may be placed in the regions that all routes to the service allow", () => {
        earl.expect(placementRegions()).toEqual(undefined);
        earl.expect(placementRegions(undefined, undefined)).toEqual(undefined);
        earl.expect(placementRegions(undefined, ["north", "south"])).toEqual(["north", "south"]);
        earl.expect(placementRegions(["north", "south"], undefined, ["west", "south"])).toEqual(["south"]);
    });

    test.it("may be placed anywhere if the routes have no region in common, which is reported", () => {
        const routes = [createRoute("a", ["north"]), createRoute("b", ["south"]), createRoute("c", undefined)];
        earl.expect(placementRegions(["north"], ["south"])).toEqual(undefined);
        earl.expect(eligibility.listServicesWithoutCommonRegion(createDocument(routes))).toEqual(["records"]);
        earl.expect(eligibility.listServicesWithoutCommonRegion(createDocument(routes.slice(1)))).toEqual([]);
    });

    test.it("are not restricted by the routes to other services, and count for every service of a split", () => {
        const split = {
            ...createRoute("a", ["north"]),
            destinations: [{ service: "records", weight: 1 }, { service: "ledgers", weight: 1 }],
        };
        const document = createDocument([split, { ...createRoute("b", ["south"]), destinations: [] }]);
        earl.expect(eligibility.findPlacementRegions(document, "records")).toEqual(["north"]);
        earl.expect(eligibility.findPlacementRegions(document, "ledgers")).toEqual(["north"]);
        earl.expect(eligibility.findPlacementRegions(document, "orders")).toEqual(undefined);
    });
});
