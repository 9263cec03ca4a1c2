/** Windows, choice, ejection, retries, links and outcomes. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const createCandidate = (name: string, change: Partial<traffic.Candidate> = {}): traffic.Candidate => ({
    name,
    region: "north",
    outstanding: 0,
    limit: 4,
    latencyMilliseconds: 5,
    isEjected: false,
    isDraining: false,
    takesBulk: true,
    ...change,
});

const attemptKinds: traffic.AttemptResultKind[] = ["answered", "notSent", "refused", "lost"];

test.describe("the adaptive window", () => {
    test.it("starts at its share and never falls below one request", () => {
        const window = traffic.createAdaptiveWindow({ share: 0.75, maximum: 6 });
        earl.expect(window.limit()).toEqual(1);
        for (let time = 0; time < 10; time++) {
            window.onShed(time * 1000);
        }
        earl.expect(window.limit()).toEqual(1);
    });

    test.it("grows while answers come and it is full, up to the whole capacity", () => {
        const window = traffic.createAdaptiveWindow({ share: 1, maximum: 6 });
        for (let answer = 0; answer < 200; answer++) {
            window.onAnswered(window.limit());
        }
        earl.expect(window.limit()).toEqual(6);
    });

    test.it("does not grow while it is not used", () => {
        const window = traffic.createAdaptiveWindow({ share: 2, maximum: 6 });
        for (let answer = 0; answer < 200; answer++) {
            window.onAnswered(0);
        }
        earl.expect(window.limit()).toEqual(2);
    });

    test.it("counts a burst of refusals once", () => {
        const window = traffic.createAdaptiveWindow({ share: 2, maximum: 100 });
        for (let answer = 0; answer < 3000; answer++) {
            window.onAnswered(window.limit());
        }
        const before = window.limit();
        window.onShed(1000);
        window.onShed(1001);
        window.onShed(1002);
        earl.expect(window.limit() >= Math.floor(before * 0.69)).toEqual(true);
    });
});

test.describe("the choice of an upstream", () => {
    const options = {
        region: "north",
        mayCross: () => true,
        excluded: [],
        isBulk: false,
        random: foundation.createRandom(1),
    };

    test.it("takes the one with less outstanding work", () => {
        const candidates = [createCandidate("busy", { outstanding: 3 }), createCandidate("idle")];
        earl.expect(traffic.chooseUpstream(candidates, options)?.name).toEqual("idle");
    });

    test.it("passes over what drains, is ejected, is full or was tried", () => {
        const candidates = [
            createCandidate("draining", { isDraining: true }),
            createCandidate("ejected", { isEjected: true }),
            createCandidate("full", { outstanding: 4 }),
            createCandidate("tried"),
        ];
        earl.expect(traffic.chooseUpstream(candidates, { ...options, excluded: ["tried"] })).toEqual(undefined);
    });

    test.it("stays in the region while it can, and crosses only where it may", () => {
        const far = createCandidate("far", { region: "south" });
        earl.expect(traffic.chooseUpstream([far, createCandidate("near", { outstanding: 3 })], options)?.name).toEqual(
            "near",
        );
        earl.expect(traffic.chooseUpstream([far], { ...options, mayCross: () => false })).toEqual(undefined);
        earl.expect(traffic.chooseUpstream([far], options)?.name).toEqual("far");
    });
});

test.describe("bulk", () => {
    const names = [...Array(12).keys()].map(index => ({ name: `upstream-${index}`, region: `region-${index % 3}` }));

    test.it("keeps to its share of each region's upstreams, the same for every instance", () => {
        const chosen = traffic.chooseBulkUpstreams(names, 0.5);
        earl.expect(chosen).toEqual(traffic.chooseBulkUpstreams([...names].reverse(), 0.5));
        earl.expect(
            ["region-0", "region-1", "region-2"].map(region =>
                names.filter(upstream => upstream.region === region && chosen.has(upstream.name)).length
            ),
        ).toEqual([2, 2, 2]);
    });

    test.it("never goes to the other upstreams, which other work prefers", () => {
        const options = { region: "north", mayCross: () => true, excluded: [], random: foundation.createRandom(1) };
        const free = createCandidate("free", { takesBulk: false, outstanding: 3 });
        const bulk = createCandidate("bulk");
        earl.expect(traffic.chooseUpstream([free, bulk], { ...options, isBulk: false })?.name).toEqual("free");
        earl.expect(traffic.chooseUpstream([free, bulk], { ...options, isBulk: true })?.name).toEqual("bulk");
        earl.expect(traffic.chooseUpstream([free], { ...options, isBulk: true })).toEqual(undefined);
    });
});

test.describe("ejection", () => {
    test.it("ejects after failures in a row and lets back in after a while", () => {
        const ejection = traffic.createEjection();
        ejection.setUpstreams(["a", "b"]);
        [1, 2, 3].forEach(now => ejection.onFailure("a", now));
        earl.expect(ejection.isEjected("a", 4)).toEqual(true);
        earl.expect(ejection.isEjected("a", 1100)).toEqual(false);
    });

    test.it("never ejects more than half", () => {
        const ejection = traffic.createEjection();
        ejection.setUpstreams(["a", "b", "c", "d"]);
        for (const name of ["a", "b", "c", "d"]) {
            [1, 2, 3, 4, 5].forEach(now => ejection.onFailure(name, now));
        }
        earl.expect(["a", "b", "c", "d"].filter(name => ejection.isEjected(name, 10)).length).toEqual(2);
    });
});

test.describe("the retry budget", () => {
    test.it("keeps retries to a tenth of the requests", () => {
        const budget = traffic.createRetryBudget();
        let retries = 0;
        for (let request = 0; request < 10_000; request++) {
            budget.onRequest();
            retries += budget.take() ? 1 : 0;
        }
        earl.expect(retries <= 10_000 * 0.1 + 20).toEqual(true);
    });
});

test.describe("the link budget", () => {
    test.it("holds a rank to its share of the rate", () => {
        const link = traffic.createLinkBudget(8_000_000, () => 0.5);
        let sent = 0;
        for (let now = 0; now < 10_000; now += 10) {
            if (link.mayUse("scan", now)) {
                link.onBytes("scan", 100_000, now);
                sent += 100_000;
            }
        }
        earl.expect(sent <= 500_000 * 11 + 100_000).toEqual(true);
        earl.expect(sent >= 500_000 * 9).toEqual(true);
    });

    test.it("refuses a rank without a share", () => {
        earl.expect(traffic.createLinkBudget(8_000_000, () => 0).mayUse("scan", 0)).toEqual(false);
    });
});

test.describe("outcomes", () => {
    test.it("are not-run only when nothing can have run", () => {
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

    test.it("allow no second run of work that is not idempotent", () => {
        const property = fastCheck.property(
            fastCheck.array(fastCheck.constantFrom<traffic.AttemptResultKind>("notSent", "refused", "lost"), {
                maxLength: 6,
            }),
            attempts => {
                const mayRepeat = traffic.mayAttemptAgain({
                    attempts,
                    isIdempotent: false,
                    isBodyIntact: true,
                    remainingMilliseconds: 100,
                });
                earl.expect(mayRepeat && attempts.includes("lost")).toEqual(false);
            },
        );
        fastCheck.assert(property, { seed: 3, numRuns: 300 });
    });

    test.it("allow no attempt with a body that is partly spent, or past the deadline", () => {
        const again = { attempts: [], isIdempotent: true, isBodyIntact: true, remainingMilliseconds: 100 };
        earl.expect(traffic.mayAttemptAgain(again)).toEqual(true);
        earl.expect(traffic.mayAttemptAgain({ ...again, isBodyIntact: false })).toEqual(false);
        earl.expect(traffic.mayAttemptAgain({ ...again, remainingMilliseconds: 0 })).toEqual(false);
    });
});

test.describe("the load counter", () => {
    test.it("reports the busiest slots and forgets the idle ones", () => {
        const counter = traffic.createLoadCounter(0);
        [...Array(100).keys()].forEach(() => counter.onRequest("records", 7));
        counter.onRequest("records", 8);
        counter.sample(1000);
        earl.expect(counter.busiest()[0]).toEqual({ service: "records", slot: 7, requestsPerSecond: 50 });
        [2000, 3000, 4000, 5000, 6000, 7000, 8000].forEach(counter.sample);
        earl.expect(counter.busiest()).toEqual([]);
    });
});
