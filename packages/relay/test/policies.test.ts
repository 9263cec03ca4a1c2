/** Decisions on the way of a request, each with time and chance passed in. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as earl from "earl";
import * as test from "node:test";

const createOption = (change: Partial<relay.Option>): relay.Option => ({
    identifier: "upstream",
    queueLength: 0,
    reportAgeMilliseconds: undefined,
    slots: 4,
    serviceMilliseconds: 100,
    isMeasured: true,
    roundTripMilliseconds: 2,
    failureShare: 0,
    detourMilliseconds: 0,
    ...change,
});

const chosen = (...options: relay.Option[]): string | undefined => relay.choose(options, 0.5)?.option.identifier;

test.describe("the choice of an upstream", () => {
    test.it("prefers a free one to a full one, and a near one to a far one", () => {
        const near = createOption({ identifier: "near" });
        const far = createOption({ identifier: "far", roundTripMilliseconds: 60 });
        earl.expect(chosen(near, far)).toEqual("near");
        earl.expect(chosen(createOption({ identifier: "near", queueLength: 12 }), far)).toEqual("far");
    });

    test.it("avoids one that fails and one that is slow", () => {
        const good = createOption({ identifier: "good", queueLength: 3 });
        earl.expect(chosen(createOption({ identifier: "failing", failureShare: 0.4 }), good)).toEqual("good");
        earl.expect(chosen(createOption({ identifier: "slow", serviceMilliseconds: 900 }), good)).toEqual("good");
    });

    test.it("pays for a detour only when it is worth it", () => {
        const near = createOption({ identifier: "near", queueLength: 8 });
        earl.expect(chosen(near, createOption({ identifier: "far", detourMilliseconds: 300 }))).toEqual("near");
        earl.expect(chosen(near, createOption({ identifier: "far", detourMilliseconds: 5 }))).toEqual("far");
    });

    test.it("spreads requests among equals", () => {
        const options = ["a", "b", "c"].map(identifier => createOption({ identifier }));
        const names = [0.1, 0.5, 0.9].map(fraction => relay.choose(options, fraction)?.option.identifier);
        earl.expect(new Set(names).size).toEqual(3);
    });
});

const createExpectation = (change: object): Parameters<typeof relay.isServable>[0] => ({
    isMeasured: true,
    expectedMilliseconds: 100,
    waitMilliseconds: 0,
    remainingMilliseconds: 1000,
    targetMilliseconds: 400,
    ...change,
});

test.describe("admission", () => {
    test.it("refuses what cannot be answered before its caller leaves", () => {
        earl.expect(relay.isServable(createExpectation({}))).toEqual(true);
        earl.expect(relay.isServable(createExpectation({ expectedMilliseconds: 1100 }))).toEqual(false);
    });

    test.it("refuses behind a queue that makes every answer late", () => {
        const late = { expectedMilliseconds: 600, waitMilliseconds: 500 };
        earl.expect(relay.isServable(createExpectation(late))).toEqual(false);
        earl.expect(relay.isServable(createExpectation({ ...late, waitMilliseconds: 0 }))).toEqual(true);
    });

    test.it("asks an upstream that never answered", () => {
        earl.expect(relay.isServable(createExpectation({ isMeasured: false, expectedMilliseconds: 2000 }))).toEqual(
            true,
        );
    });

    test.it("tells callers to come back within the part of their time in which they do", () => {
        earl.expect(relay.returnMilliseconds(5000, 900, 1) <= 300).toEqual(true);
        earl.expect(relay.returnMilliseconds(0, 900, 0) > 0).toEqual(true);
    });
});

test.describe("the allowance of retries", () => {
    test.it("keeps the site within its ratio in every window, whatever the instances' shares", () => {
        const windowMilliseconds = 10_000;
        const instances = 8;
        const random = foundation.createRandom(5);
        const windows = [...new Array(instances).keys()].map(() =>
            relay.createRetryWindow({ windowMilliseconds, ratio: 0.2, slack: 56, instances: () => instances })
        );
        const requests: number[] = [];
        const retries: number[] = [];
        for (let now = 0; now < 60_000; now += 10) {
            const window = windows[Math.min(random.below(instances), random.below(instances))];
            window.onRequest(now);
            requests.push(now);
            if (window.take(now)) {
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

test.describe("what is known of an upstream", () => {
    test.it("avoids one that has stopped answering, but for a probe now and then", () => {
        const health = relay.createUpstreamHealth();
        health.end(health.begin(0), relay.AttemptSign.answered, { running: 1, waiting: 0, slots: 4 }, 50);
        health.begin(100);
        earl.expect(health.isAvoided(200)).toEqual(false);
        health.begin(600);
        earl.expect(health.isAvoided(700)).toEqual(true);
        earl.expect(health.isAvoided(1200)).toEqual(false);
    });

    test.it("avoids one whose address another service has, but for a request now and then", () => {
        const health = relay.createUpstreamHealth();
        for (let turn = 0; turn < 3; turn += 1) {
            earl.expect(health.isAvoided(turn * 10)).toEqual(false);
            health.end(health.begin(turn * 10), relay.AttemptSign.misdirected, undefined, turn * 10 + 5);
        }
        earl.expect([health.isAvoided(100), health.isMisdirecting(100)]).toEqual([true, true]);
        earl.expect(health.isAvoided(400)).toEqual(false);
        health.end(health.begin(400), relay.AttemptSign.answered, undefined, 450);
        earl.expect(health.isMisdirecting(451)).toEqual(false);
    });

    test.it("avoids one that breaks attempts off in a row, and takes it back after an answer", () => {
        const health = relay.createUpstreamHealth();
        health.end(health.begin(0), relay.AttemptSign.broken, undefined, 10);
        earl.expect(health.isAvoided(11)).toEqual(false);
        health.end(health.begin(11), relay.AttemptSign.broken, undefined, 20);
        earl.expect(health.isAvoided(21)).toEqual(true);
        earl.expect(health.isAvoided(400)).toEqual(false);
        health.end(health.begin(400), relay.AttemptSign.answered, undefined, 450);
        earl.expect(health.failureShare(450) < 0.5).toEqual(true);
    });

    test.it("counts the requests of others that a report tells of, and forgets them", () => {
        const health = relay.createUpstreamHealth();
        health.end(health.begin(0), relay.AttemptSign.answered, { running: 4, waiting: 7, slots: 4 }, 100);
        earl.expect(health.queueLength(100) > 8).toEqual(true);
        earl.expect(health.queueLength(2000) < 1).toEqual(true);
    });
});
