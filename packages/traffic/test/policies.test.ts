/** Tests adaptive windows, upstream selection, ejection, retries, link budgets, outcomes and load counters. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const createCandidate = (name: string, overrides: Partial<traffic.Candidate> = {}): traffic.Candidate => ({
    name,
    region: "north",
    outstanding: 0,
    limit: 4,
    latencyMilliseconds: 5,
    isEjected: false,
    isDraining: false,
    acceptsBulk: true,
    ...overrides,
});

const attemptKinds: traffic.AttemptResultKind[] = ["answered", "notSent", "refused", "lost"];

test.describe("the adaptive window", () => {
    test.it("starts at its fair share and never falls below one request", () => {
        const window = traffic.createAdaptiveWindow({ fairShare: 0.75, maxLimit: 6 });
        earl.expect(window.limit()).toEqual(1);
        for (let time = 0; time < 10; time++) {
            window.onShed(time * 1000);
        }
        earl.expect(window.limit()).toEqual(1);
    });

    test.it("grows up to the total capacity when responses arrive while it is full", () => {
        const window = traffic.createAdaptiveWindow({ fairShare: 1, maxLimit: 6 });
        for (let response = 0; response < 200; response++) {
            window.onResponse(window.limit());
        }
        earl.expect(window.limit()).toEqual(6);
    });

    test.it("does not grow while it is unused", () => {
        const window = traffic.createAdaptiveWindow({ fairShare: 2, maxLimit: 6 });
        for (let response = 0; response < 200; response++) {
            window.onResponse(0);
        }
        earl.expect(window.limit()).toEqual(2);
    });

    test.it("decreases only once per burst of refusals", () => {
        const window = traffic.createAdaptiveWindow({ fairShare: 2, maxLimit: 100 });
        for (let response = 0; response < 3000; response++) {
            window.onResponse(window.limit());
        }
        const limitBefore = window.limit();
        window.onShed(1000);
        window.onShed(1001);
        window.onShed(1002);
        earl.expect(window.limit() >= Math.floor(limitBefore * 0.69)).toEqual(true);
    });
});

test.describe("upstream selection", () => {
    const options = {
        region: "north",
        canCrossTo: () => true,
        excluded: [],
        isBulk: false,
        random: foundation.createRandom(1),
    };

    test.it("selects the upstream with less outstanding work", () => {
        const candidates = [createCandidate("busy", { outstanding: 3 }), createCandidate("idle")];
        earl.expect(traffic.selectUpstream(candidates, options)?.name).toEqual("idle");
    });

    test.it("skips upstreams that are draining, ejected, full or already tried", () => {
        const candidates = [
            createCandidate("draining", { isDraining: true }),
            createCandidate("ejected", { isEjected: true }),
            createCandidate("full", { outstanding: 4 }),
            createCandidate("tried"),
        ];
        earl.expect(traffic.selectUpstream(candidates, { ...options, excluded: ["tried"] })).toEqual(undefined);
    });

    test.it("prefers the local region and crosses to another one only if allowed", () => {
        const remote = createCandidate("far", { region: "south" });
        earl.expect(traffic.selectUpstream([remote, createCandidate("near", { outstanding: 3 })], options)?.name)
            .toEqual(
                "near",
            );
        earl.expect(traffic.selectUpstream([remote], { ...options, canCrossTo: () => false })).toEqual(undefined);
        earl.expect(traffic.selectUpstream([remote], options)?.name).toEqual("far");
    });
});

test.describe("bulk requests", () => {
    const upstreams = [...Array(12).keys()].map(index => ({
        name: `upstream-${index}`,
        region: `region-${index % 3}`,
    }));

    test.it("use a fixed fraction of each region's upstreams, the same on every instance", () => {
        const selected = traffic.selectBulkUpstreams(upstreams, 0.5);
        earl.expect(selected).toEqual(traffic.selectBulkUpstreams([...upstreams].reverse(), 0.5));
        earl.expect(
            ["region-0", "region-1", "region-2"].map(region =>
                upstreams.filter(upstream => upstream.region === region && selected.has(upstream.name)).length
            ),
        ).toEqual([2, 2, 2]);
    });

    test.it("never use the remaining upstreams, which other requests prefer", () => {
        const options = { region: "north", canCrossTo: () => true, excluded: [], random: foundation.createRandom(1) };
        const withoutBulk = createCandidate("free", { acceptsBulk: false, outstanding: 3 });
        const withBulk = createCandidate("bulk");
        earl.expect(traffic.selectUpstream([withoutBulk, withBulk], { ...options, isBulk: false })?.name).toEqual(
            "free",
        );
        earl.expect(traffic.selectUpstream([withoutBulk, withBulk], { ...options, isBulk: true })?.name).toEqual(
            "bulk",
        );
        earl.expect(traffic.selectUpstream([withoutBulk], { ...options, isBulk: true })).toEqual(undefined);
    });
});

test.describe("ejection", () => {
    test.it("ejects an upstream after consecutive failures and readmits it later", () => {
        const ejection = traffic.createEjection();
        ejection.setUpstreams(["a", "b"]);
        [1, 2, 3].forEach(now => ejection.onFailure("a", now));
        earl.expect(ejection.isEjected("a", 4)).toEqual(true);
        earl.expect(ejection.isEjected("a", 1100)).toEqual(false);
    });

    test.it("never ejects more than half of the upstreams", () => {
        const ejection = traffic.createEjection();
        ejection.setUpstreams(["a", "b", "c", "d"]);
        for (const name of ["a", "b", "c", "d"]) {
            [1, 2, 3, 4, 5].forEach(now => ejection.onFailure(name, now));
        }
        earl.expect(["a", "b", "c", "d"].filter(name => ejection.isEjected(name, 10)).length).toEqual(2);
    });
});

test.describe("the retry budget", () => {
    test.it("limits retries to a tenth of the requests", () => {
        const budget = traffic.createRetryBudget();
        let retries = 0;
        for (let request = 0; request < 10_000; request++) {
            budget.onRequest();
            retries += budget.tryConsume() ? 1 : 0;
        }
        earl.expect(retries <= 10_000 * 0.1 + 20).toEqual(true);
    });
});

test.describe("the link budget", () => {
    test.it("limits a rank to its fraction of the rate", () => {
        const link = traffic.createLinkBudget(8_000_000, () => 0.5);
        let sent = 0;
        for (let now = 0; now < 10_000; now += 10) {
            if (link.canTransfer("scan", now)) {
                link.onBytes("scan", 100_000, now);
                sent += 100_000;
            }
        }
        earl.expect(sent <= 500_000 * 11 + 100_000).toEqual(true);
        earl.expect(sent >= 500_000 * 9).toEqual(true);
    });

    test.it("refuses a rank whose fraction is zero", () => {
        earl.expect(traffic.createLinkBudget(8_000_000, () => 0).canTransfer("scan", 0)).toEqual(false);
    });
});

test.describe("outcomes", () => {
    test.it("are not-run only if no attempt can have run", () => {
        const property = fastCheck.property(
            fastCheck.array(fastCheck.constantFrom(...attemptKinds), { maxLength: 6 }),
            attempts => {
                const outcome = traffic.outcomeOf(attempts);
                const mayHaveRun = attempts.includes("lost") || attempts[attempts.length - 1] === "answered";
                earl.expect(outcome === "not-run").toEqual(!mayHaveRun);
            },
        );
        fastCheck.assert(property, { seed: 3, numRuns: 300 });
    });

    test.it("do not allow a retry that could run a non-idempotent request twice", () => {
        const property = fastCheck.property(
            fastCheck.array(fastCheck.constantFrom<traffic.AttemptResultKind>("notSent", "refused", "lost"), {
                maxLength: 6,
            }),
            attempts => {
                const canRetry = traffic.canRetry({
                    attempts,
                    isIdempotent: false,
                    isBodyReplayable: true,
                    remainingMilliseconds: 100,
                });
                earl.expect(canRetry && attempts.includes("lost")).toEqual(false);
            },
        );
        fastCheck.assert(property, { seed: 3, numRuns: 300 });
    });

    test.it("do not allow a retry after part of the body is consumed or the deadline has passed", () => {
        const context = { attempts: [], isIdempotent: true, isBodyReplayable: true, remainingMilliseconds: 100 };
        earl.expect(traffic.canRetry(context)).toEqual(true);
        earl.expect(traffic.canRetry({ ...context, isBodyReplayable: false })).toEqual(false);
        earl.expect(traffic.canRetry({ ...context, remainingMilliseconds: 0 })).toEqual(false);
    });
});

test.describe("the load counter", () => {
    test.it("reports the busiest slots and drops idle ones", () => {
        const counter = traffic.createLoadCounter(0);
        [...Array(100).keys()].forEach(() => counter.onRequest("records", 7));
        counter.onRequest("records", 8);
        counter.sample(1000);
        earl.expect(counter.busiestSlots()[0]).toEqual({ service: "records", slot: 7, requestsPerSecond: 50 });
        [2000, 3000, 4000, 5000, 6000, 7000, 8000].forEach(counter.sample);
        earl.expect(counter.busiestSlots()).toEqual([]);
    });
});
