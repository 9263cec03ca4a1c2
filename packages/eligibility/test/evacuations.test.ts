/** What an instance knows of evacuations, and which requests may still reach an evacuated failure domain. */
import * as eligibility from "@mulberryseam/eligibility";
import * as earl from "earl";
import * as test from "node:test";
import * as documentFixture from "./fixtures/documentFixture";

const { createUpstream } = documentFixture;

const evacuation = { failureDomain: "north-a", knownSince: 1000, earliestBeginAt: 900 };

test.describe("the record of evacuations", () => {
    test.it("knows since when a failure domain is evacuated, and since when no longer", () => {
        const evacuations = eligibility.createEvacuations();
        earl.expect([evacuations.isEvacuated("north-a"), evacuations.endedAt("north-a")]).toEqual([false, undefined]);
        earl.expect(evacuations.begin(evacuation)).toEqual(true);
        earl.expect(evacuations.isEvacuated("north-a")).toEqual(true);
        earl.expect(evacuations.isEvacuated("south-a")).toEqual(false);
        earl.expect(evacuations.list()).toEqual([evacuation]);
        earl.expect(evacuations.endedAt("north-a")).toEqual(undefined);
        earl.expect(evacuations.end("north-a", 5000)).toEqual(evacuation);
        earl.expect(evacuations.list()).toEqual([]);
        earl.expect(evacuations.endedAt("north-a")).toEqual(5000);
        earl.expect(evacuations.end("north-a", 6000)).toEqual(undefined);
        earl.expect(evacuations.endedAt("north-a")).toEqual(5000);
        evacuations.begin({ ...evacuation, knownSince: 7000 });
        earl.expect(evacuations.endedAt("north-a")).toEqual(undefined);
    });

    // Guards against a bound that begins anew when the record is written once more.
    test.it("keeps the first time at which it learned of an evacuation", () => {
        const evacuations = eligibility.createEvacuations();
        evacuations.begin(evacuation);
        earl.expect(evacuations.begin({ ...evacuation, knownSince: 3000, earliestBeginAt: 2900 })).toEqual(false);
        earl.expect(evacuations.find("north-a")).toEqual(evacuation);
    });

    test.it("calls back after each change until the subscription is cancelled", () => {
        const evacuations = eligibility.createEvacuations();
        let calls = 0;
        const subscription = evacuations.onChange(() => {
            calls += 1;
        });
        evacuations.begin(evacuation);
        evacuations.begin(evacuation);
        evacuations.end("north-a", 2000);
        evacuations.end("north-a", 2000);
        evacuations.notifyChange();
        earl.expect(calls).toEqual(3);
        subscription.cancel();
        evacuations.begin(evacuation);
        earl.expect(calls).toEqual(3);
    });
});

test.describe("an upstream in an evacuated failure domain", () => {
    const reason = { reason: "evacuated" as const, waitMilliseconds: Infinity };
    const upstream = createUpstream("north-a");
    const create = (ownerGraceMilliseconds?: number, earliestBeginAt = 900): eligibility.Eligibility => {
        const evacuations = eligibility.createEvacuations();
        evacuations.begin({ ...evacuation, earliestBeginAt });
        return eligibility.createEligibility({
            regions: { "north-a": "north", "south-a": "south" },
            evacuations,
            ownerGraceMilliseconds,
            warmupRates: eligibility.unlimitedWarmupRates,
        });
    };

    test.it("gets no request without a key, and may own no keys, from the first moment", () => {
        const { findIneligibility, mayOwnKeys } = create(4000);
        earl.expect(findIneligibility(upstream, undefined, 1000)).toEqual(reason);
        earl.expect(mayOwnKeys(upstream, undefined)).toEqual(false);
        earl.expect(findIneligibility(createUpstream("south-a"), undefined, 1000)).toEqual(undefined);
        earl.expect(mayOwnKeys(createUpstream("south-a"), undefined)).toEqual(true);
    });

    // Guards against requests after the bound, counted from the earliest begin and not from when the instance learned of it.
    test.it("gets requests for its keys for a time after the earliest begin", () => {
        const { findOwnerIneligibility } = create(4000);
        earl.expect(findOwnerIneligibility(upstream, undefined, 4899, false)).toEqual(undefined);
        earl.expect(findOwnerIneligibility(upstream, undefined, 4900, false)).toEqual(reason);
        earl.expect(create().findOwnerIneligibility(upstream, undefined, 1000, false)).toEqual(reason);
        earl.expect(create(4000, -Infinity).findOwnerIneligibility(upstream, undefined, 1000, false)).toEqual(reason);
    });

    test.it("gets no retry, and nothing that its region may not have", () => {
        const { findOwnerIneligibility } = create(4000);
        earl.expect(findOwnerIneligibility(upstream, undefined, 1000, true)).toEqual(reason);
        earl.expect(findOwnerIneligibility(upstream, ["south"], 1000, false)?.reason).toEqual("region");
        earl.expect(findOwnerIneligibility(createUpstream("south-a"), undefined, 9000, true)).toEqual(undefined);
    });
});
