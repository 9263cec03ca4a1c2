/** Upstreams that report how long work currently takes on their machines. */
import * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as test from "node:test";
import * as unevenLoad from "./fixtures/unevenLoad";

const load: unevenLoad.UnevenLoad = {
    seed: 1,
    instanceCount: 8,
    speeds: [0.7, 0.7, 1.6, 0.7, 0.7, 1.6],
    slots: 6,
    maxWaiting: 24,
    meanWorkMilliseconds: 290,
    tailRatio: 0,
    tailFactor: 1,
    slowRatio: 0.2,
    slowFactor: 3,
    redrawMilliseconds: 400,
    loadFactor: 0.8,
    targetMilliseconds: 1200,
    deadlineMilliseconds: 6000,
    durationMilliseconds: 20_000,
};

const play = (change: Partial<unevenLoad.UnevenLoad>, seedCount = 3): unevenLoad.UnevenLoadResult[] =>
    Array.from(
        { length: seedCount },
        (...[, index]) => unevenLoad.playUnevenLoad({ ...load, seed: index + 1, ...change }),
    );

const sum = (
    results: readonly unevenLoad.UnevenLoadResult[],
    read: (result: unevenLoad.UnevenLoadResult) => number,
): number => results.reduce((total, result) => total + read(result), 0);

const inTimeRatio = (results: readonly unevenLoad.UnevenLoadResult[]): number =>
    sum(results, ({ inTime }) => inTime) / sum(results, ({ total }) => total);

test.describe("the expected slowness of a machine", () => {
    const report = { percent: 300, reportedAt: 1000 };

    test.it("is the reported one at first, and the average of the service once the machine was drawn anew", () => {
        earl.expect(scheduling.expectedSlowness(report, 150, 1000)).toEqual({
            percent: 300,
            factor: 2,
            ageMilliseconds: 0,
        });
        earl.expect(scheduling.expectedSlowness(report, 150, 1200).percent).toEqual(225);
        for (const at of [1400, 1e9]) {
            earl.expect(scheduling.expectedSlowness(report, 150, at).factor).toEqual(1);
        }
    });

    // Guards against one odd figure after which every other machine of the service is expected to be very fast.
    test.it("hardly follows a single odd figure", () => {
        const average = scheduling.createSlownessAverage();
        earl.expect(average.percent()).toEqual(undefined);
        for (let count = 0; count < 100; count += 1) {
            average.record(count % 5 === 0 ? 300 : 100);
        }
        average.record(100_000);
        earl.expect((average.percent() ?? 0) < 160).toEqual(true);
    });

    test.it("is unknown without a report, and the service time is the measured one", () => {
        const health = scheduling.createUpstreamHealth();
        const answer = { running: 1, waiting: 0, slots: 4 };
        health.recordResult(health.recordStart(0), scheduling.HealthSignal.answered, answer, 100);
        earl.expect([health.slowness(100), health.serviceMilliseconds()]).toEqual([undefined, 100]);
    });
});

/** Returns the mean service time that is known after many responses, as a ratio of the real one on an average machine. */
const measureBias = (serviceMilliseconds: number, pauseMilliseconds: number, isFixedAtStart: boolean): number => {
    const random = foundation.createRandom(3);
    const average = scheduling.createSlownessAverage();
    const health = scheduling.createUpstreamHealth(() => undefined, average);
    const draws: number[] = [];
    const factorAt = (time: number): number => {
        const index = Math.floor(time / load.redrawMilliseconds);
        while (draws.length <= index) {
            draws.push(random.fraction() < load.slowRatio ? load.slowFactor : 1);
        }
        return draws[index];
    };
    /** Returns when work ends whose rate follows the machine. */
    const endOf = (startedAt: number): number => {
        let now = startedAt;
        for (let remaining = serviceMilliseconds; remaining > 0;) {
            const nextDrawAt = (Math.floor(now / load.redrawMilliseconds) + 1) * load.redrawMilliseconds;
            const done = Math.min(remaining, (nextDrawAt - now) / factorAt(now));
            now += done * factorAt(now);
            remaining -= done;
        }
        return now;
    };
    let now = 0;
    let knownSum = 0;
    let measuredSum = 0;
    const responses = 4000;
    for (let count = 0; count < responses; count += 1) {
        now += pauseMilliseconds * 2 * random.fraction();
        const attempt = health.recordStart(now);
        const endsAt = isFixedAtStart ? now + serviceMilliseconds * factorAt(now) : endOf(now);
        measuredSum += endsAt - now;
        now = endsAt;
        const report = { running: 1, waiting: 0, slots: 4, slowness: factorAt(now) * 100 };
        health.recordResult(attempt, scheduling.HealthSignal.answered, report, now);
        knownSum += health.serviceMilliseconds() ?? 0;
    }
    return knownSum / measuredSum;
};

test.describe("the service time on machines whose slowness changes", () => {
    // Guards against a correction that favours upstreams whose responses came from fast machines, or those asked often.
    for (const serviceMilliseconds of [50, 150, 300, 600]) {
        for (const pauseMilliseconds of [20, 200, 2000]) {
            test.it(`is not biased: ${serviceMilliseconds} ms of work, pauses of ${pauseMilliseconds} ms`, () => {
                for (const isFixedAtStart of [true, false]) {
                    const ratio = measureBias(serviceMilliseconds, pauseMilliseconds, isFixedAtStart);
                    // With long work and hardly any pauses, the lower bound of samples raises the estimate by up to 7 %.
                    earl.expect(ratio > 0.95 && ratio < 1.08).toEqual(true);
                }
            });
        }
    }
});

test.describe("a load on upstreams that report their slowness", () => {
    test.it("is served in time more often, and its times are estimated better", () => {
        const without = play({});
        const withReports = play({ reportsSlowness: () => true });
        earl.expect(1 - inTimeRatio(withReports) < (1 - inTimeRatio(without)) * 0.75).toEqual(true);
        const errorOf = (results: unevenLoad.UnevenLoadResult[]): number =>
            sum(results, result => result.meanAbsoluteErrorMilliseconds);
        earl.expect(errorOf(withReports) < errorOf(without) * 0.9).toEqual(true);
    });

    // Guards against upstreams that stay preferred or avoided by their last report.
    test.it("is served as without the reports once they stop", () => {
        const stopped = play({ reportsSlowness: (...[, now]) => now < 2000 });
        earl.expect(inTimeRatio(stopped) > inTimeRatio(play({})) - 0.02).toEqual(true);
    });

    test.it("is served as well if only some upstreams report it", () => {
        // Of one seed, the ratio varies by 3 %.
        const seedCount = 16;
        const partly = play({ reportsSlowness: index => index % 2 === 0 }, seedCount);
        earl.expect(inTimeRatio(partly) > inTimeRatio(play({}, seedCount)) - 0.01).toEqual(true);
    });

    // Guards against requests that follow the last report of an upstream that is gone.
    test.it("avoids an upstream that dies while its report says that its machine is fast", () => {
        const death = { upstreamIndex: 2, at: 10_000 };
        // Of three seeds, the number of broken attempts varies by more than a tenth.
        const seedCount = 24;
        const without = play({ death, loadFactor: 0.6 }, seedCount);
        const withReports = play({ death, loadFactor: 0.6, reportsSlowness: () => true }, seedCount);
        const brokenOf = (results: unevenLoad.UnevenLoadResult[]): number =>
            sum(results, ({ brokenAttempts }) => brokenAttempts);
        earl.expect(brokenOf(withReports) <= brokenOf(without) * 1.1).toEqual(true);
        earl.expect(inTimeRatio(withReports) >= inTimeRatio(without)).toEqual(true);
    });
});

test.describe("a load on upstreams that report three figures", () => {
    // The digests are those of the decisions of version 0.1.0, which knew no slowness.
    for (
        const [loadFactor, digest] of [
            [0.8, "2d2f46592f5b3ca6"],
            [1.3, "f4887ea171aa97e1"],
        ] as const
    ) {
        test.it(`leads to the same decisions as before at ${loadFactor} times the capacity`, () => {
            const decisions = play({ loadFactor, slowRatio: 0 }).map(result => result.decisions).join("|");
            earl.expect(crypto.createHash("sha256").update(decisions).digest("hex").slice(0, 16)).toEqual(digest);
        });
    }
});
