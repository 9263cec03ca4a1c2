/** Requests of many instances for many upstreams: connections that can be reused, and the queue of an upstream with a hot key. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";
import * as sharedUpstream from "./fixtures/sharedUpstream";

/** Time for which an upstream keeps an idle connection open, in milliseconds, less the margin of the instances. */
const idleMilliseconds = 8800;

interface FleetOptions {
    failureDomains: number;
    instancesPerDomain: number;
    upstreams: number;
    requestsPerSecond: number;
    isDelegating: boolean;
}

/** Plays evenly distributed keyed requests for 30 s, and returns the share of them that need a new connection. */
const newConnectionShare = (options: FleetOptions): number => {
    const random = foundation.createRandom(1);
    const delegates = Array.from({ length: options.instancesPerDomain }, (...[, index]) => `instance-${index}`);
    const rankings = new Map<string, string>();
    const senderOf = (upstream: string): string => {
        const sender = rankings.get(upstream) ?? relay.rankDelegates(upstream, delegates)[0];
        rankings.set(upstream, sender);
        return sender;
    };
    const lastUsedAt = new Map<string, number>();
    const requestCount = options.requestsPerSecond * 30;
    let newConnections = 0;
    for (let request = 0; request < requestCount; request += 1) {
        const now = request * 1000 / options.requestsPerSecond;
        const upstream = `upstream-${random.below(options.upstreams)}`;
        const caller = delegates[random.below(options.instancesPerDomain)];
        const domain = random.below(options.failureDomains);
        const connection = `${domain}/${options.isDelegating ? senderOf(upstream) : caller}/${upstream}`;
        newConnections += now - (lastUsedAt.get(connection) ?? -Infinity) > idleMilliseconds ? 1 : 0;
        lastUsedAt.set(connection, now);
    }
    return newConnections / requestCount;
};

const largeFleet = { failureDomains: 9, instancesPerDomain: 21, upstreams: 244, requestsPerSecond: 940 };

test.describe("requests of many instances", () => {
    test.it("mostly need a new connection if each instance sends its own, and seldom if one sends those of all", () => {
        earl.expect(newConnectionShare({ ...largeFleet, isDelegating: false }) > 0.6).toEqual(true);
        earl.expect(newConnectionShare({ ...largeFleet, isDelegating: true }) <= 0.2).toEqual(true);
    });

    test.it("spread evenly over the instances that send them", () => {
        const delegates = Array.from({ length: 21 }, (...[, index]) => `instance-${index}`);
        const counts = new Map<string, number>();
        for (let upstream = 0; upstream < 244; upstream += 1) {
            const [sender] = relay.rankDelegates(`upstream-${upstream}`, delegates);
            counts.set(sender, (counts.get(sender) ?? 0) + 1);
        }
        earl.expect(Math.max(...counts.values()) <= 3 * 244 / 21).toEqual(true);
    });

    test.it("are delegated where each instance asks an upstream seldom, and not on a small site", () => {
        const rateOf = (count: number): number => {
            const rate = relay.createRequestRate();
            for (let now = 0; now < 20_000; now += 1000 / count) {
                rate.onRequest(now);
            }
            return rate.perSecond(20_000);
        };
        earl.expect(Math.abs(rateOf(17) - 17) < 2).toEqual(true);
        const small = { requestsPerSecond: rateOf(17), upstreamCount: 22, delegateCount: 2 };
        earl.expect(relay.shouldDelegate(small)).toEqual(false);
        const large = { requestsPerSecond: rateOf(5), upstreamCount: 244, delegateCount: 21 };
        earl.expect(relay.shouldDelegate(large)).toEqual(true);
        earl.expect(relay.shouldDelegate({ ...large, delegateCount: 1 })).toEqual(false);
    });
});

const slowUpstream = {
    seed: 1,
    slots: 6,
    maxWaiting: 24,
    serviceMilliseconds: 780,
    typicalServiceMilliseconds: 780,
    targetMilliseconds: 3000,
    deadlineMilliseconds: 5000,
    durationMilliseconds: 20_000,
    isRefusing: true,
};

test.describe("an upstream with a hot key", () => {
    for (const loadFactor of [1.5, 2.5, 20]) {
        test.it(`at ${loadFactor} times its capacity serves most of what it can in time, and refuses few requests`, () => {
            const result = sharedUpstream.playLoad({ ...slowUpstream, loadFactor, instanceCount: 9 });
            const capacity = 20_000 / 780 * 6;
            earl.expect(result.inTime >= capacity * 0.75).toEqual(true);
            earl.expect(result.withoutRoom <= result.sent * 0.15).toEqual(true);
        });
    }
});

test.describe("refused callers", () => {
    const limit = { requests: 12, serviceMilliseconds: 500 };

    test.it("return one after the other, as far apart as there is room for them", () => {
        const window = scheduling.createConcurrencyWindow(6, () => 3);
        const waits = Array.from({ length: 6 }, () => window.bookRetry(limit, 1000));
        const gaps = waits.slice(1).map((wait, index) => wait - waits[index]);
        earl.expect(gaps.every(gap => gap > 0 && Math.abs(gap - waits[0]) < 1)).toEqual(true);
        // The instance may have some requests of 500 ms at a time.
        earl.expect(waits[0] >= 500 / 12 && waits[0] <= 500).toEqual(true);
        earl.expect(window.bookRetry(limit, 60_000) <= 500).toEqual(true);
    });

    test.it("return later while the upstream has more requests than it can serve, but not much later", () => {
        const window = scheduling.createConcurrencyWindow(6, () => 3);
        const firstWait = window.bookRetry(limit, 0);
        for (let now = 10_000; now < 10_100; now += 10) {
            window.onReport({ running: 6, waiting: 24, slots: 6 }, limit, now);
        }
        earl.expect(window.bookRetry(limit, 10_100) > firstWait * 2).toEqual(true);
        const waits = Array.from({ length: 200 }, () => window.bookRetry(limit, 10_200));
        earl.expect(Math.max(...waits) <= 5000).toEqual(true);
    });
});

test.describe("the health of a delegate", () => {
    test.it("is good while it shows signs of life, however long a request takes and however quickly others end", () => {
        const health = relay.createDelegateHealth();
        const slow = health.onSent(0);
        for (let now = 500; now <= 6000; now += 500) {
            health.onEnd(health.onSent(now), false, now + 2);
            health.onSignOfLife(slow, now);
            earl.expect([health.isSilent(slow, now + 400), health.isAvoided(now + 400)]).toEqual([false, false]);
        }
        earl.expect([health.isSilent(slow, 7200), health.isAvoided(7200)]).toEqual([true, true]);
        health.onEnd(slow, false, 7300);
        earl.expect([health.isAvoided(7300), health.pendingCount()]).toEqual([false, 0]);
    });

    test.it("is bad for a time after a loss, and longer after each further one", () => {
        const health = relay.createDelegateHealth();
        const lose = (now: number): number => {
            health.onEnd(health.onSent(now), true, now);
            let until = now;
            while (health.isAvoided(until)) {
                until += 10;
            }
            return until - now;
        };
        const times = [lose(0), lose(1000), lose(2000), lose(10_000), lose(20_000), lose(30_000)];
        earl.expect(times.every((time, index) => index === 0 || time >= times[index - 1])).toEqual(true);
        earl.expect(times[0] <= 500 && times[5] <= 5000).toEqual(true);
    });
});
