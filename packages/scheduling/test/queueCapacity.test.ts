/** The learned capacity of upstreams that are silent when they are full. */
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";
import * as sharedUpstreams from "./fixtures/sharedUpstreams";

const slots = 6;
const report = (total: number): scheduling.LoadReport => ({
    running: Math.min(total, slots),
    waiting: Math.max(0, total - slots),
    slots,
});

test.describe("the capacity of an upstream", () => {
    test.it("is unknown and limits nothing without silence, whatever is reported", () => {
        const capacity = scheduling.createQueueCapacity();
        earl.expect([capacity.limit(slots, 0), capacity.known(slots, 0)]).toEqual([undefined, undefined]);
        capacity.onReport(report(20));
        earl.expect([capacity.limit(slots, 0), capacity.known(slots, 0)]).toEqual([undefined, 20]);
    });

    test.it("is what was there when it was silent, and never less than it has reported", () => {
        const capacity = scheduling.createQueueCapacity();
        earl.expect(capacity.onSilence({ slots, queueLength: 25 }, 0)).toEqual(true);
        earl.expect(capacity.limit(slots, 0)).toEqual(25);
        capacity.onReport(report(30));
        earl.expect(capacity.limit(slots, 0)).toEqual(30);
        capacity.onSilence({ slots, queueLength: 30 }, 0);
        earl.expect(capacity.limit(slots, 0)).toEqual(30);
    });

    // Guards against a limit from a request that merely takes long.
    test.it("is not learned from silence while a slot was free", () => {
        const capacity = scheduling.createQueueCapacity();
        earl.expect(capacity.onSilence({ slots, queueLength: 5 }, 0)).toEqual(false);
        earl.expect(capacity.onSilence({ slots, queueLength: NaN }, 0)).toEqual(false);
        earl.expect(capacity.limit(slots, 0)).toEqual(undefined);
    });

    test.it("rises while there is no silence, the more slowly the more often it was too high", () => {
        const capacity = scheduling.createQueueCapacity();
        capacity.onSilence({ slots, queueLength: 20 }, 0);
        earl.expect(capacity.limit(slots, 25_000)).toEqual(22);
        capacity.onSilence({ slots, queueLength: 20 }, 25_000);
        earl.expect(capacity.limit(slots, 25_000)).toEqual(20);
        earl.expect(capacity.limit(slots, 44_000)).toEqual(20);
        earl.expect(capacity.limit(slots, 46_000)).toEqual(21);
    });

    // Guards against a limit that stays too high after an upstream was replaced by one with a shorter queue.
    test.it("falls when upstreams are silent with less than was once reported", () => {
        const capacity = scheduling.createQueueCapacity();
        capacity.onReport(report(30));
        for (let count = 0; count < 40; count += 1) {
            capacity.onSilence({ slots, queueLength: 12 }, count);
        }
        earl.expect((capacity.limit(slots, 100) ?? Infinity) <= 13).toEqual(true);
    });

    test.it("limits nothing once an upstream has refused for want of room", () => {
        const capacity = scheduling.createQueueCapacity();
        capacity.onSilence({ slots, queueLength: 20 }, 0);
        capacity.onRefusal(report(30));
        earl.expect([capacity.limit(slots, 0), capacity.known(slots, 0)]).toEqual([undefined, 30]);
        earl.expect(capacity.onSilence({ slots, queueLength: 20 }, 0)).toEqual(false);
        earl.expect(capacity.limit(slots, 0)).toEqual(undefined);
    });
});

test.describe("a request whose upstream was silent", () => {
    test.it("counts as one at the upstream until its deadline, and is not counted twice when it is reported", () => {
        const health = scheduling.createUpstreamHealth();
        const silent = health.recordStart(0);
        health.recordResult(silent, scheduling.HealthSignal.silent, undefined, 500);
        health.occupyUntil(4000);
        earl.expect([health.outstandingCount(), health.occupyingCount(500), health.queueLength(500)])
            .toEqual([0, 1, 1]);
        const answered = health.recordStart(500);
        health.recordResult(answered, scheduling.HealthSignal.answered, { running: 2, waiting: 0, slots }, 600);
        earl.expect(health.queueLength(600)).toEqual(1);
        earl.expect(health.occupyingCount(3999)).toEqual(1);
        earl.expect([health.occupyingCount(4000), health.queueLength(4000)]).toEqual([0, 0]);
    });
});

const { playService } = sharedUpstreams;
const seeds = [1, 2, 3];

/** Plays a load with each seed, and adds up what became of the requests. */
const playAll = (
    change: Partial<sharedUpstreams.ServiceLoad>,
    from = 0,
): { sent: number; answered: number; inTime: number; withoutRoom: number; } => {
    const results = seeds.map(seed => playService({ ...sharedUpstreams.defaultLoad, ...change, seed }));
    const total = (read: (result: sharedUpstreams.ServiceResult) => number): number =>
        results.reduce((sum, result) => sum + read(result), 0);
    return {
        sent: total(result => result.sent),
        answered: total(result => result.answered),
        inTime: total(result => result.inTime),
        withoutRoom: total(result => result.withoutRoomAt.filter(time => time >= from).length),
    };
};

/** Time that instances need to learn, in milliseconds: each one has to meet a full upstream itself. */
const learningMilliseconds = 30_000;

test.describe("instances whose upstreams are silent when they are full", () => {
    const loads: [string, Partial<sharedUpstreams.ServiceLoad>][] = [
        ["20 instances, 1.5 times the capacity", {}],
        ["20 instances, 4 times the capacity", { loadFactor: 4 }],
        ["65 instances, 1.5 times the capacity", { instanceCount: 65 }],
        ["65 instances, 4 times the capacity", { instanceCount: 65, loadFactor: 4 }],
        ["65 instances whose targets allow a longer queue", { instanceCount: 65, targetMilliseconds: 3500 }],
    ];
    for (const [name, change] of loads) {
        // All instances together send what the upstreams hold, and no less is served than without the limit.
        test.it(`send them hardly more than they hold once they have learned it: ${name}`, () => {
            const load = { ...change, durationMilliseconds: 60_000 };
            const before = playAll({ ...load, isLearning: false }, learningMilliseconds);
            const after = playAll(load, learningMilliseconds);
            earl.expect(after.withoutRoom <= Math.max(before.withoutRoom * 0.15, after.sent * 0.002)).toEqual(true);
            earl.expect(after.answered >= before.answered * 0.95).toEqual(true);
        });
    }

    test.it("lose fewer requests in bursts to all upstreams at once, and serve those between them", () => {
        const load = { loadFactor: 0.8, bursts: [15_000, 20_000, 25_000, 30_000, 35_000], burstRequests: 5 };
        const before = playAll({ ...load, isLearning: false }, 17_000);
        const after = playAll(load, 17_000);
        earl.expect(after.withoutRoom <= before.withoutRoom * 0.5).toEqual(true);
        earl.expect(after.answered >= before.answered * 0.9).toEqual(true);
    });

    // Guards against an upstream that is slow for a time and limited for ever.
    test.it("use an upstream fully again that was three times as slow for a time", () => {
        const load = { loadFactor: 0.9, slowness: (now: number) => now > 10_000 && now < 20_000 ? 3 : 1 };
        const after = playAll({ ...load, durationMilliseconds: 80_000 });
        const steady = playAll({ loadFactor: 0.9, durationMilliseconds: 80_000 });
        const slowLoss = seeds.length * 10_000 / 80_000;
        earl.expect(after.answered >= steady.answered * (1 - slowLoss / seeds.length - 0.05)).toEqual(true);
    });

    // The requests of killed instances occupy the upstreams, and nobody counts them but the reports.
    test.it("keep to what the upstreams hold after half of them were killed with requests under way", () => {
        const load = { loadFactor: 2, durationMilliseconds: 60_000, killedAt: 40_000 };
        const before = playAll({ ...load, isLearning: false }, 40_000);
        const after = playAll(load, 40_000);
        earl.expect(after.withoutRoom <= Math.max(10, before.withoutRoom * 0.15)).toEqual(true);
        earl.expect(after.answered >= before.answered * 0.95).toEqual(true);
    });

    test.it("go on serving when the reports stop halfway", () => {
        const load = { durationMilliseconds: 60_000, isReporting: (now: number) => now < 30_000 };
        const before = playAll({ ...load, isLearning: false });
        const after = playAll(load);
        earl.expect(after.answered >= before.answered * 0.9).toEqual(true);
    });
});

test.describe("decisions", () => {
    const decisionsOf = (change: Partial<sharedUpstreams.ServiceLoad>): string[] =>
        playService({ ...sharedUpstreams.defaultLoad, ...change }).decisions;
    const loads: [string, Partial<sharedUpstreams.ServiceLoad>][] = [
        ["for upstreams that are known to refuse", { isRefusing: true, hasRefused: true, loadFactor: 3 }],
        ["for upstreams that never were silent", { loadFactor: 0.6, tailRatio: 0 }],
        ["without any report", { isReporting: () => false, loadFactor: 2 }],
    ];
    for (const [name, change] of loads) {
        test.it(`${name} are the same as without a learned capacity`, () => {
            const learned = decisionsOf(change);
            earl.expect(learned.length > 1000).toEqual(true);
            earl.expect(learned).toEqual(decisionsOf({ ...change, isLearning: false }));
        });
    }
});
