/** Whether an upstream may get a request or own keys. */
import * as eligibility from "@mulberryseam/eligibility";
import * as earl from "earl";
import * as test from "node:test";
import * as documentFixture from "./fixtures/documentFixture";

const { createUpstream } = documentFixture;
const regions = { "north-a": "north", "south-a": "south" };

const createEligibility = (change: Partial<eligibility.EligibilityOptions> = {}): eligibility.Eligibility =>
    eligibility.createEligibility({
        regions,
        evacuations: eligibility.noEvacuations,
        warmupRates: eligibility.unlimitedWarmupRates,
        ...change,
    });

test.describe("an upstream", () => {
    // Guards against changed decisions for documents and sites that use none of the limits.
    test.it("may get every request and own every key if nothing is restricted, also in an unknown failure domain", () => {
        for (const failureDomain of ["north-a", "south-a", "elsewhere"]) {
            const upstream = createUpstream(failureDomain);
            earl.expect(createEligibility().findIneligibility(upstream, undefined, 0)).toEqual(undefined);
            earl.expect(createEligibility().mayOwnKeys(upstream, undefined)).toEqual(true);
        }
    });

    test.it("may get only the requests, and own only the keys, that its region is allowed to have", () => {
        const { findIneligibility, mayOwnKeys } = createEligibility();
        const ineligibility = { reason: "region" as const, waitMilliseconds: Infinity };
        earl.expect(findIneligibility(createUpstream("north-a"), ["north"], 0)).toEqual(undefined);
        earl.expect(findIneligibility(createUpstream("south-a"), ["north"], 0)).toEqual(ineligibility);
        earl.expect(findIneligibility(createUpstream("elsewhere"), ["north"], 0)).toEqual(ineligibility);
        earl.expect(mayOwnKeys(createUpstream("north-a"), ["north"])).toEqual(true);
        earl.expect(mayOwnKeys(createUpstream("south-a"), ["north"])).toEqual(false);
    });

    test.it("gets none for a time if the instance has used its share of the rate, and may own keys", () => {
        const warmupRates = { ...eligibility.unlimitedWarmupRates, waitMilliseconds: () => 70 };
        const { findIneligibility, mayOwnKeys } = createEligibility({ warmupRates });
        const ineligibility = { reason: "warmup" as const, waitMilliseconds: 70 };
        earl.expect(findIneligibility(createUpstream("north-a"), undefined, 0)).toEqual(ineligibility);
        earl.expect(findIneligibility(createUpstream("south-a"), ["north"], 0)?.reason).toEqual("region");
        earl.expect(mayOwnKeys(createUpstream("north-a"), undefined)).toEqual(true);
    });
});
