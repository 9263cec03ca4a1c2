/** Requests of which a few take several times as long as the others. */
import * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";
import * as unevenLoad from "./fixtures/unevenLoad";

const usualMilliseconds = 100;

/** Creates a tail of which a number of service times are known; one in `interval` takes `factor` times as long. */
const createKnownTail = (count: number, interval: number, factor: number): scheduling.ServiceTail => {
    const tail = scheduling.createServiceTail();
    for (let index = 1; index <= count; index += 1) {
        tail.record(index % interval === 0 ? factor : 0.7 + 0.6 * (index % 10) / 10);
    }
    return tail;
};

test.describe("the tail of a service", () => {
    test.it("has a safe limit before it is known, and one beyond the longest response then", () => {
        earl.expect(scheduling.createServiceTail().limitFactor() >= 7).toEqual(true);
        earl.expect(createKnownTail(200, 50, 1).limitFactor() >= 7).toEqual(true);
        const known = createKnownTail(1000, 33, 7);
        earl.expect([known.hasTail(), known.limitFactor() > 7, known.limitFactor() < 10]).toEqual([true, true, true]);
        const [without, withLonger] = [createKnownTail(1000, 33, 1), createKnownTail(1000, 33, 500)];
        earl.expect([without.hasTail(), without.limitFactor() < 3]).toEqual([false, true]);
        earl.expect(withLonger.limitFactor() <= 20).toEqual(true);
    });

    test.it("forgets the longest responses of a time that is over", () => {
        const tail = createKnownTail(1000, 33, 7);
        for (let count = 0; count < 2000; count += 1) {
            tail.record(1);
        }
        earl.expect([tail.hasTail(), tail.limitFactor() < 3]).toEqual([false, true]);
    });

    test.it("adds to the mean what the usual service time leaves out", () => {
        // One in 25 requests takes 7 times as long: 4 of these are beyond 3, and the mean of the others is 1.
        const expected = 1 + 4 / 25 / (24 / 25 + 3 / 25);
        earl.expect(Math.abs(createKnownTail(2000, 25, 7).meanFactor() - expected) < 0.05).toEqual(true);
        earl.expect(createKnownTail(2000, 25, 1).meanFactor()).toEqual(1);
    });

    test.it("is told from silence by whether late responses come in the end", () => {
        const tail = scheduling.createServiceTail();
        earl.expect(tail.isSilenceLikely()).toEqual(false);
        for (let count = 0; count < 20; count += 1) {
            tail.recordOverdue(false);
        }
        earl.expect(tail.isSilenceLikely()).toEqual(true);
        for (let count = 0; count < 20; count += 1) {
            tail.recordOverdue(true);
        }
        earl.expect(tail.isSilenceLikely()).toEqual(false);
    });
});

test.describe("the time until which a response of the tail is expected", () => {
    const input = {
        latestStartAt: 1000,
        serviceMilliseconds: usualMilliseconds,
        deviationMilliseconds: 20,
        attempt: 1,
        isRefusing: false,
    };

    test.it("allows for the tail while a further attempt has the time that it needs, and is never shorter than without it", () => {
        const usual = scheduling.latestResponseAt(input);
        earl.expect(scheduling.latestResponseAt({ ...input, tailFactor: 8 })).toEqual(1800);
        earl.expect(scheduling.latestResponseAt({ ...input, tailFactor: 8, latestRetryAt: 1500 })).toEqual(1500);
        earl.expect(scheduling.latestResponseAt({ ...input, tailFactor: 8, latestRetryAt: 1100 })).toEqual(usual);
        earl.expect(scheduling.latestResponseAt({ ...input, tailFactor: 1 })).toEqual(usual);
    });
});

test.describe("the health of an upstream of a service with a tail", () => {
    const answerAfter = (health: scheduling.UpstreamHealth, now: number, milliseconds: number): void =>
        health.recordResult(
            health.recordStart(now),
            scheduling.HealthSignal.answered,
            { running: 1, waiting: 0, slots: 4 },
            now + milliseconds,
        );
    const createUsual = (tail?: scheduling.ServiceTail): scheduling.UpstreamHealth => {
        const health = scheduling.createUpstreamHealth(() => usualMilliseconds, undefined, tail);
        for (let count = 0; count < 10; count += 1) {
            answerAfter(health, count * 1000, usualMilliseconds);
        }
        return health;
    };

    // Guards against a healthy upstream that looks slow for long after one request that took longer.
    test.it("hardly looks slow after one long response, and follows an upstream that has become slow", () => {
        const health = createUsual();
        answerAfter(health, 20_000, usualMilliseconds * 7);
        earl.expect((health.serviceMilliseconds() ?? 0) <= usualMilliseconds * 1.31).toEqual(true);
        for (let count = 0; count < 10; count += 1) {
            answerAfter(health, 30_000 + count * 1000, usualMilliseconds * 7);
        }
        earl.expect((health.serviceMilliseconds() ?? 0) >= usualMilliseconds * 5).toEqual(true);
    });

    // Guards against an upstream that is avoided while it works on a long request and nothing else reaches it.
    test.it("does not avoid it within the known tail, and does beyond it", () => {
        const startedAt = 20_000;
        const isAvoidedAfter = (health: scheduling.UpstreamHealth, milliseconds: number): boolean => {
            health.recordStart(startedAt);
            health.recordStart(startedAt + milliseconds - 1);
            return health.isAvoided(startedAt + milliseconds);
        };
        const createWithTail = (): scheduling.UpstreamHealth => createUsual(createKnownTail(1000, 33, 7));
        earl.expect(isAvoidedAfter(createUsual(), usualMilliseconds * 6.5)).toEqual(true);
        earl.expect(isAvoidedAfter(createWithTail(), usualMilliseconds * 6.5)).toEqual(false);
        earl.expect(isAvoidedAfter(createWithTail(), usualMilliseconds * 10)).toEqual(true);
    });
});

test.describe("the choice of an upstream of an uneven service", () => {
    const createCandidate = (change: Partial<scheduling.Candidate>): scheduling.Candidate => ({
        identifier: "upstream",
        queueLength: 0,
        reportAgeMilliseconds: undefined,
        slots: 6,
        serviceMilliseconds: 300,
        isMeasured: true,
        roundTripMilliseconds: 2,
        failureRatio: 0,
        pathCostMilliseconds: 0,
        ...change,
    });
    const countChosen = (candidates: scheduling.Candidate[], isUneven: boolean): number => {
        const chosen = [0.1, 0.9].map(fraction => scheduling.chooseUpstream(candidates, fraction, isUneven));
        return new Set(chosen.map(choice => choice?.candidate.identifier)).size;
    };

    test.it("spreads over upstreams whose times hardly differ, but not to costlier paths", () => {
        const first = createCandidate({ identifier: "first" });
        const similar = createCandidate({ identifier: "similar", serviceMilliseconds: 340 });
        earl.expect([countChosen([first, similar], true), countChosen([first, similar], false)]).toEqual([2, 1]);
        const remote = createCandidate({ identifier: "remote", pathCostMilliseconds: 20 });
        earl.expect(countChosen([first, remote], true)).toEqual(1);
        const slow = createCandidate({ identifier: "slow", serviceMilliseconds: 600 });
        earl.expect(countChosen([first, slow], true)).toEqual(1);
    });

    test.it("fills a slow upstream up to about the same completion time as a fast one", () => {
        const slow = createCandidate({ identifier: "slow", serviceMilliseconds: 290 / 0.7 });
        const fast = createCandidate({ identifier: "fast", serviceMilliseconds: 290 / 1.6 });
        const random = foundation.createRandom(1);
        for (let count = 0; count < 60; count += 1) {
            const choice = scheduling.chooseUpstream([slow, fast], random.fraction(), true);
            const candidate = choice?.candidate === slow ? slow : fast;
            candidate.queueLength += 1;
        }
        const [slowTime, fastTime] = [slow, fast].map(scheduling.estimateResponseTime);
        earl.expect(Math.abs(slowTime - fastTime) < slowTime * 0.25).toEqual(true);
        earl.expect(fast.queueLength > slow.queueLength * 1.8).toEqual(true);
    });
});

test.describe("a load of unequal requests on upstreams of unequal speed", () => {
    const load: unevenLoad.UnevenLoad = {
        seed: 1,
        instanceCount: 8,
        speeds: [0.5, 0.7, 0.9, 1.2, 1.4, 1.6],
        slots: 6,
        maxWaiting: 24,
        meanWorkMilliseconds: 290,
        tailRatio: 0.02,
        tailFactor: 5,
        slowRatio: 0.2,
        slowFactor: 3,
        redrawMilliseconds: 400,
        loadFactor: 0.9,
        targetMilliseconds: 1200,
        deadlineMilliseconds: 6000,
        durationMilliseconds: 30_000,
        reportsSlowness: () => true,
    };
    const play = (change: Partial<unevenLoad.UnevenLoad>): unevenLoad.UnevenLoadResult[] =>
        [1, 2, 3, 4, 5, 6].map(seed => unevenLoad.playUnevenLoad({ ...load, seed, ...change }));
    const ratio = (
        results: readonly unevenLoad.UnevenLoadResult[],
        read: (result: unevenLoad.UnevenLoadResult) => number,
    ): number => {
        const sum = (readOne: typeof read): number => results.reduce((total, result) => total + readOne(result), 0);
        return sum(read) / sum(({ total }) => total);
    };

    // Guards against instances that all send to the upstream which their last reports show as the fastest.
    test.it("is late and refused less often with a wider range of equal costs", () => {
        const [narrow, wide] = [play({ isChosenAsEven: true }), play({})];
        const lateRatio = (results: unevenLoad.UnevenLoadResult[]): number =>
            1 - ratio(results, ({ inTime }) => inTime);
        earl.expect(lateRatio(wide) < lateRatio(narrow) * 0.9).toEqual(true);
        earl.expect(ratio(wide, ({ refusedOnce }) => refusedOnce) < ratio(narrow, ({ refusedOnce }) => refusedOnce))
            .toEqual(true);
    });

    test.it("is served by the other upstreams when the fastest one dies", () => {
        const results = play({ death: { upstreamIndex: 5, at: 10_000 }, loadFactor: 0.5 });
        earl.expect(ratio(results, ({ lost }) => lost) < 0.01).toEqual(true);
        earl.expect(ratio(results, ({ inTime }) => inTime) > 0.9).toEqual(true);
    });
});
