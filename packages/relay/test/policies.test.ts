/** Decisions about a request, each with the time and random numbers passed in. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";

const createCandidate = (change: Partial<scheduling.Candidate>): scheduling.Candidate => ({
    identifier: "upstream",
    queueLength: 0,
    reportAgeMilliseconds: undefined,
    slots: 4,
    serviceMilliseconds: 100,
    isMeasured: true,
    roundTripMilliseconds: 2,
    failureRatio: 0,
    pathCostMilliseconds: 0,
    ...change,
});

const chosenIdentifier = (...candidates: scheduling.Candidate[]): string | undefined =>
    scheduling.chooseUpstream(candidates, 0.5)?.candidate.identifier;

test.describe("the choice of an upstream", () => {
    test.it("prefers an idle upstream to a busy one, and a near one to a far one", () => {
        const near = createCandidate({ identifier: "near" });
        const far = createCandidate({ identifier: "far", roundTripMilliseconds: 60 });
        earl.expect(chosenIdentifier(near, far)).toEqual("near");
        earl.expect(chosenIdentifier(createCandidate({ identifier: "near", queueLength: 12 }), far)).toEqual("far");
    });

    test.it("avoids an upstream that fails and one that is slow", () => {
        const good = createCandidate({ identifier: "good", queueLength: 3 });
        earl.expect(chosenIdentifier(createCandidate({ identifier: "failing", failureRatio: 0.4 }), good)).toEqual(
            "good",
        );
        earl.expect(chosenIdentifier(createCandidate({ identifier: "slow", serviceMilliseconds: 900 }), good)).toEqual(
            "good",
        );
    });

    test.it("accepts a path cost only when the response is faster by more", () => {
        const near = createCandidate({ identifier: "near", queueLength: 8 });
        earl.expect(chosenIdentifier(near, createCandidate({ identifier: "far", pathCostMilliseconds: 300 }))).toEqual(
            "near",
        );
        earl.expect(chosenIdentifier(near, createCandidate({ identifier: "far", pathCostMilliseconds: 5 }))).toEqual(
            "far",
        );
    });

    test.it("spreads requests among upstreams of equal cost", () => {
        const candidates = ["a", "b", "c"].map(identifier => createCandidate({ identifier }));
        const names = [0.1, 0.5, 0.9].map(fraction =>
            scheduling.chooseUpstream(candidates, fraction)?.candidate.identifier
        );
        earl.expect(new Set(names).size).toEqual(3);
    });
});

const createAdmissionInput = (change: object): Parameters<typeof scheduling.isAdmissible>[0] => ({
    isMeasured: true,
    expectedMilliseconds: 100,
    waitMilliseconds: 0,
    remainingMilliseconds: 1000,
    targetMilliseconds: 400,
    ...change,
});

test.describe("admission", () => {
    test.it("refuses requests that cannot be answered before the deadline", () => {
        earl.expect(scheduling.isAdmissible(createAdmissionInput({}))).toEqual(true);
        earl.expect(scheduling.isAdmissible(createAdmissionInput({ expectedMilliseconds: 1100 }))).toEqual(false);
    });

    test.it("refuses requests when the queue would make every response late", () => {
        const late = { expectedMilliseconds: 600, waitMilliseconds: 500 };
        earl.expect(scheduling.isAdmissible(createAdmissionInput(late))).toEqual(false);
        earl.expect(scheduling.isAdmissible(createAdmissionInput({ ...late, waitMilliseconds: 0 }))).toEqual(true);
    });

    test.it("admits requests to an upstream whose service time was never measured", () => {
        earl.expect(scheduling.isAdmissible(createAdmissionInput({ isMeasured: false, expectedMilliseconds: 2000 })))
            .toEqual(
                true,
            );
    });

    test.it("limits the retry delay to the fraction of the remaining time for which callers honour it", () => {
        earl.expect(scheduling.retryAfterMilliseconds(5000, 900, 1) <= 300).toEqual(true);
        earl.expect(scheduling.retryAfterMilliseconds(0, 900, 0) > 0).toEqual(true);
    });
});

test.describe("the retry budget", () => {
    test.it("keeps the whole site within its ratio in every window, however requests spread over the instances", () => {
        const windowMilliseconds = 10_000;
        const instances = 8;
        const random = foundation.createRandom(5);
        const budgets = [...new Array(instances).keys()].map(() =>
            relay.createRetryBudget({
                windowMilliseconds,
                ratio: () => 0.2,
                slack: () => 56,
                instanceCount: () => instances,
            })
        );
        const requests: number[] = [];
        const retries: number[] = [];
        for (let now = 0; now < 60_000; now += 10) {
            const budget = budgets[Math.min(random.below(instances), random.below(instances))];
            budget.onRequest(now);
            requests.push(now);
            if (budget.tryAcquire(now)) {
                retries.push(now);
            }
            const since = now - windowMilliseconds;
            const inWindow = (times: readonly number[]): number => times.filter(time => time > since).length;
            if (now % 1000 === 0) {
                earl.expect(inWindow(retries) <= 0.2 * inWindow(requests) + 56).toEqual(true);
            }
        }
        earl.expect(retries.length > requests.length * 0.12).toEqual(true);
    });
});

test.describe("the health of an upstream", () => {
    test.it("avoids an unresponsive upstream, except for occasional probes", () => {
        const health = scheduling.createUpstreamHealth();
        health.recordResult(
            health.recordStart(0),
            scheduling.HealthSignal.answered,
            { running: 1, waiting: 0, slots: 4 },
            50,
        );
        health.recordStart(100);
        earl.expect(health.isAvoided(200)).toEqual(false);
        health.recordStart(600);
        earl.expect(health.isAvoided(700)).toEqual(true);
        earl.expect(health.isAvoided(1200)).toEqual(false);
    });

    test.it("avoids an upstream whose address another service has taken over, except for occasional probes", () => {
        const health = scheduling.createUpstreamHealth();
        for (let iteration = 0; iteration < 3; iteration += 1) {
            earl.expect(health.isAvoided(iteration * 10)).toEqual(false);
            health.recordResult(
                health.recordStart(iteration * 10),
                scheduling.HealthSignal.misdirected,
                undefined,
                iteration * 10 + 5,
            );
        }
        earl.expect([health.isAvoided(100), health.isRejecting(100)]).toEqual([true, true]);
        earl.expect(health.isAvoided(400)).toEqual(false);
        health.recordResult(health.recordStart(400), scheduling.HealthSignal.answered, undefined, 450);
        earl.expect(health.isRejecting(451)).toEqual(false);
    });

    test.it("avoids an upstream after consecutive broken attempts, and uses it again after a response", () => {
        const health = scheduling.createUpstreamHealth();
        health.recordResult(health.recordStart(0), scheduling.HealthSignal.broken, undefined, 10);
        earl.expect(health.isAvoided(11)).toEqual(false);
        health.recordResult(health.recordStart(11), scheduling.HealthSignal.broken, undefined, 20);
        earl.expect(health.isAvoided(21)).toEqual(true);
        earl.expect(health.isAvoided(400)).toEqual(false);
        health.recordResult(health.recordStart(400), scheduling.HealthSignal.answered, undefined, 450);
        earl.expect(health.failureRatio(450) < 0.5).toEqual(true);
    });

    test.it("measures the service time while requests queue, and hardly follows requests without work", () => {
        const respond = (health: scheduling.UpstreamHealth, now: number, milliseconds: number, waiting: number): void =>
            health.recordResult(
                health.recordStart(now),
                scheduling.HealthSignal.answered,
                { running: 3, waiting, slots: 3 },
                now + milliseconds,
            );
        const misled = scheduling.createUpstreamHealth();
        respond(misled, 0, 3, 0);
        earl.expect(misled.serviceMilliseconds()).toEqual(3);
        for (let iteration = 1; iteration <= 10; iteration += 1) {
            respond(misled, iteration * 1000, 800, 12);
        }
        earl.expect((misled.serviceMilliseconds() ?? 0) > 100).toEqual(true);

        const known = scheduling.createUpstreamHealth();
        for (let iteration = 0; iteration < 10; iteration += 1) {
            respond(known, iteration * 1000, 160, 0);
        }
        respond(known, 10_000, 3, 0);
        respond(known, 11_000, 3, 0);
        earl.expect((known.serviceMilliseconds() ?? 0) > 130).toEqual(true);
    });

    test.it("keeps a lasting queue of other instances between load reports, and forgets it without further ones", () => {
        const health = scheduling.createUpstreamHealth();
        for (let now = 0; now < 3000; now += 600) {
            health.recordResult(
                health.recordStart(now),
                scheduling.HealthSignal.answered,
                { running: 3, waiting: 10, slots: 3 },
                now + 500,
            );
        }
        earl.expect(health.queueLength(3500) > 7).toEqual(true);
        earl.expect(health.queueLength(10_000) < 1).toEqual(true);
    });

    test.it("counts the requests of other instances in a load report, which decay over time", () => {
        const health = scheduling.createUpstreamHealth();
        health.recordResult(
            health.recordStart(0),
            scheduling.HealthSignal.answered,
            { running: 4, waiting: 7, slots: 4 },
            100,
        );
        earl.expect(health.queueLength(100) > 8).toEqual(true);
        earl.expect(health.queueLength(2000) < 1).toEqual(true);
    });
});
