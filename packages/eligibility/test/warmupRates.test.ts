/** How many requests cold upstreams get from all instances of a site together. */
import * as eligibility from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import type * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";

const warmup: routing.Warmup = { milliseconds: 3000, requestsPerSecond: 6 };
/** 6 x 1.5 + 8. */
const bound = 17;

const createUpstream = (changes: Partial<routing.Upstream> = {}): routing.Upstream => ({
    identifier: "upstream-1",
    service: "orders",
    host: "127.0.0.1",
    port: 1,
    failureDomain: "north-a",
    slots: 6,
    isDraining: false,
    warmupMilliseconds: 0,
    startedAt: 1,
    ...changes,
});

/** A simulated instance; what it knows may be changed during the simulation. */
interface Instance {
    rates: eligibility.LearningWarmupRates;
    site: eligibility.SiteInstances;
    isRegistryStale: boolean;
    isRunning: boolean;
    /** Delay of its requests to the upstream, in milliseconds. */
    delayMilliseconds: number;
    evacuationEndedAt: number | undefined;
}

interface InstanceOptions {
    site: eligibility.SiteInstances;
    seed: number;
    warmupOf?: (service: string) => routing.Warmup | undefined;
    onCold?: eligibility.WarmupRatesOptions["onCold"];
    onWarm?: eligibility.WarmupRatesOptions["onWarm"];
}

const createInstance = ({ site, seed, warmupOf = () => warmup, onCold, onWarm }: InstanceOptions): Instance => {
    const random = foundation.createRandom(seed);
    const instance: Instance = {
        rates: eligibility.createWarmupRates({
            warmupOf,
            findSharers: eligibility.createRateSharerFinder(() => instance.site),
            isRegistryStale: () => instance.isRegistryStale,
            endedAt: () => instance.evacuationEndedAt,
            overshoot: () => 1.5,
            slack: () => 8,
            random,
            onCold,
            onWarm,
        }),
        site,
        isRegistryStale: false,
        isRunning: true,
        delayMilliseconds: random.below(3) === 0 ? 31 : 1,
        evacuationEndedAt: undefined,
    };
    return instance;
};

const failureDomainCount = 6;

/** Creates the instances of a site, spread over its failure domains; each one knows all of them. */
const createSite = (count: number, seed: number): Instance[] => {
    const identifiers = Array.from({ length: count }, (...[, index]) => `entry-${seed}-${index}`);
    return identifiers.map((identifier, index) =>
        createInstance({
            site: {
                identifier,
                instanceCount: count,
                failureDomainCount: Math.min(count, failureDomainCount),
                neighbours: identifiers.filter((...[, other]) =>
                    other % failureDomainCount === index % failureDomainCount
                ),
            },
            seed: seed * 1000 + index,
        })
    );
};

interface SimulationOptions {
    instances: readonly Instance[];
    seed: number;
    untilMilliseconds: number;
    /** Requests a second for the upstream at all instances together. */
    requestsPerSecond: (now: number) => number;
    /** Called each millisecond before the requests. */
    onTime?: (now: number) => void;
    upstream?: routing.Upstream;
}

/** Sends requests of all instances to an upstream; returns the times of their arrival there. */
const simulate = (
    { instances, seed, untilMilliseconds, upstream = createUpstream(), ...options }: SimulationOptions,
) => {
    const random = foundation.createRandom(seed);
    const arrivals: number[] = [];
    for (let now = 0; now < untilMilliseconds; now += 1) {
        options.onTime?.(now);
        const expected = options.requestsPerSecond(now) / 1000;
        const requests = Math.floor(expected) + (random.fraction() < expected % 1 ? 1 : 0);
        for (let request = 0; request < requests; request += 1) {
            const { rates, isRunning, delayMilliseconds } = instances[random.below(instances.length)];
            if (isRunning && rates.waitMilliseconds(upstream, now) === 0) {
                rates.onSent(upstream, now);
                arrivals.push(now + delayMilliseconds + random.below(10));
            }
        }
    }
    return arrivals.sort((left, right) => left - right);
};

/** Returns the most arrivals within any second. */
const maxInOneSecond = (arrivals: readonly number[]): number =>
    arrivals.reduce(
        (most, first) => Math.max(most, arrivals.filter(time => time >= first && time < first + 1000).length),
        0,
    );

const learnNew = (instances: readonly Instance[], now: number, milliseconds: number = warmup.milliseconds): void =>
    instances.forEach(({ rates }) => rates.onEntry(createUpstream({ warmupMilliseconds: milliseconds }), false, now));

const siteSizes = [1, 3, 8, 9, 20, 65, 77];
const seeds = [1, 2, 3, 4, 5];

test.describe("a cold upstream", () => {
    test.it("gets its first request soon and about its rate while hundreds of requests a second want it", () => {
        for (const seed of seeds) {
            for (const size of siteSizes) {
                const instances = createSite(size, seed);
                learnNew(instances, 0, 10_000);
                const requestsPerSecond = (): number => 500;
                const arrivals = simulate({ instances, seed, untilMilliseconds: 10_000, requestsPerSecond });
                earl.expect(maxInOneSecond(arrivals) <= 8).toEqual(true);
                earl.expect(arrivals[0] < 2000).toEqual(true);
                earl.expect(arrivals.length >= 45 && arrivals.length <= 62).toEqual(true);
            }
        }
    });

    test.it("stays within the bound when instances know half of their number", () => {
        for (const seed of seeds) {
            for (const size of siteSizes.filter(count => count > 1)) {
                const instances = createSite(size, seed);
                // Each half of the site knows itself only, so each failure domain has two instances that share the rate.
                const halves = instances.map(({ site }, index) => ({
                    ...site,
                    half: Math.floor(index / failureDomainCount) % 2,
                }));
                instances.forEach((instance, index) => {
                    const own = halves[index];
                    const neighbours = own.neighbours.filter(name =>
                        halves.find(({ identifier }) => identifier === name)?.half === own.half
                    );
                    instance.site = { ...own, neighbours, instanceCount: Math.ceil(size / 2) };
                });
                learnNew(instances, 0, 10_000);
                const requestsPerSecond = (): number => 500;
                const arrivals = simulate({ instances, seed, untilMilliseconds: 10_000, requestsPerSecond });
                earl.expect(maxInOneSecond(arrivals) <= bound).toEqual(true);
            }
        }
    });

    test.it("gets less and never nothing when instances know twice their number", () => {
        for (const seed of seeds) {
            for (const size of [3, 8, 20, 77]) {
                const instances = createSite(size, seed);
                instances.forEach(instance => {
                    instance.site = { ...instance.site, instanceCount: size * 2 };
                });
                learnNew(instances, 0, 10_000);
                const requestsPerSecond = (): number => 500;
                const arrivals = simulate({ instances, seed, untilMilliseconds: 10_000, requestsPerSecond });
                earl.expect(maxInOneSecond(arrivals) <= 8).toEqual(true);
                earl.expect(arrivals[0] < 3000).toEqual(true);
            }
        }
    });

    test.it("stays within the bound when demand rises suddenly after none, so that no instance has used its share", () => {
        for (const seed of seeds) {
            for (const size of siteSizes) {
                const instances = createSite(size, seed);
                learnNew(instances, 0, 20_000);
                const requestsPerSecond = (now: number): number => now % 5000 < 3000 ? 0 : 1000;
                const arrivals = simulate({ instances, seed, untilMilliseconds: 20_000, requestsPerSecond });
                earl.expect(maxInOneSecond(arrivals) <= bound).toEqual(true);
            }
        }
    });

    test.it("stays within the bound when a warm upstream turns cold and all instances learn of it at the same moment", () => {
        const turnsColdAt = 2000;
        for (const seed of seeds) {
            for (const size of siteSizes) {
                const instances = createSite(size, seed);
                instances.forEach(({ rates }) => rates.onEntry(createUpstream(), true, 0));
                const arrivals = simulate({
                    instances,
                    seed,
                    untilMilliseconds: 5000,
                    requestsPerSecond: () => 500,
                    onTime: now => now === turnsColdAt && learnNew(instances, now),
                });
                const sentWhileCold = arrivals.filter(time => time > turnsColdAt + 50);
                earl.expect(arrivals.length - sentWhileCold.length > 900).toEqual(true);
                earl.expect(maxInOneSecond(sentWhileCold) <= 8).toEqual(true);
            }
        }
    });

    test.it("stays within the bound while half of the instances are killed and the others learn of it later", () => {
        for (const seed of seeds) {
            const instances = createSite(77, seed);
            learnNew(instances, 0, 10_000);
            const onTime = (now: number): void => {
                if (now === 2000) {
                    instances.filter((...[, index]) => Math.floor(index / failureDomainCount) % 2 === 0).forEach(
                        instance => {
                            instance.isRunning = false;
                        },
                    );
                }
                const names = new Set(
                    instances.filter(({ isRunning }) => isRunning).map(({ site }) => site.identifier),
                );
                // Instances learn of it at different times.
                const index = (now - 2500) / 10;
                if (Number.isInteger(index) && index >= 0 && index < instances.length) {
                    const instance = instances[index];
                    const neighbours = instance.site.neighbours.filter(name => names.has(name));
                    instance.site = { ...instance.site, neighbours, instanceCount: names.size };
                }
            };
            const requestsPerSecond = (): number => 800;
            const arrivals = simulate({ instances, seed, untilMilliseconds: 10_000, requestsPerSecond, onTime });
            earl.expect(maxInOneSecond(arrivals) <= bound).toEqual(true);
            // The shares of the killed instances are used again.
            earl.expect(arrivals.filter(time => time >= 5000).length >= 22).toEqual(true);
        }
    });

    test.it("stays within the bound while instances join a new leader one after another, which knows only those", () => {
        for (const seed of seeds) {
            for (const joinMilliseconds of [100, 1000, 3000]) {
                const instances = createSite(77, seed);
                const order = foundation.createRandom(seed);
                const joinsAt = instances.map(() => 2000 + order.below(joinMilliseconds));
                const sites = instances.map(({ site }) => site);
                learnNew(instances, 0, 10_000);
                const onTime = (now: number): void => {
                    const joined = new Set(sites.filter((...[, index]) => joinsAt[index] <= now));
                    const names = new Set([...joined].map(({ identifier }) => identifier));
                    if (joinsAt.includes(now)) {
                        instances.forEach((instance, index) => {
                            const site = sites[index];
                            const neighbours = site.neighbours.filter(name => names.has(name));
                            instance.site = joined.has(site)
                                ? { ...site, neighbours, instanceCount: joined.size }
                                : site;
                        });
                    }
                };
                const requestsPerSecond = (): number => 800;
                const arrivals = simulate({ instances, seed, untilMilliseconds: 7000, requestsPerSecond, onTime });
                earl.expect(maxInOneSecond(arrivals) <= bound).toEqual(true);
            }
        }
    });

    test.it("stays within the bound when the registry is stale at some instances or at all, and still gets requests", () => {
        for (const seed of seeds) {
            for (const size of siteSizes) {
                for (const staleRatio of [0.5, 1]) {
                    const instances = createSite(size, seed);
                    const staleCount = Math.ceil(size * staleRatio);
                    instances.forEach((instance, index) => {
                        instance.isRegistryStale = index < staleCount;
                        instance.rates.onEntry(createUpstream(), true, 0);
                    });
                    learnNew(instances.slice(staleCount), 0, 10_000);
                    const requestsPerSecond = (): number => 500;
                    const arrivals = simulate({ instances, seed, untilMilliseconds: 10_000, requestsPerSecond });
                    earl.expect(maxInOneSecond(arrivals) <= bound).toEqual(true);
                    earl.expect(arrivals.length >= 45).toEqual(true);
                }
            }
        }
    });

    test.it("gets nothing from an instance that does not know the number of instances", () => {
        const site = { identifier: "entry-1", instanceCount: 0, failureDomainCount: 6, neighbours: [] };
        const instance = createInstance({ site, seed: 1 });
        learnNew([instance], 0);
        const requestsPerSecond = (): number => 500;
        earl.expect(simulate({ instances: [instance], seed: 1, untilMilliseconds: 2900, requestsPerSecond })).toEqual(
            [],
        );
        earl.expect(instance.rates.waitMilliseconds(createUpstream(), 3000)).toEqual(0);
        instance.isRegistryStale = true;
        earl.expect(instance.rates.waitMilliseconds(createUpstream(), 3001) > 0).toEqual(true);
    });
});

const soleSite = { identifier: "entry-1", instanceCount: 1, failureDomainCount: 1, neighbours: ["entry-1"] };

test.describe("an upstream counts as cold", () => {
    test.it("for the time in its entry, also when it turns cold again, and until an entry says that it is warm", () => {
        const { rates } = createInstance({ site: soleSite, seed: 1 });
        rates.onEntry(createUpstream({ warmupMilliseconds: 1000 }), true, 0);
        earl.expect([0, 999, 1000].map(now => rates.isCold(createUpstream(), now))).toEqual([true, true, false]);
        rates.onEntry(createUpstream({ warmupMilliseconds: 86_400_000 }), false, 5000);
        earl.expect(rates.isCold(createUpstream(), 60_000)).toEqual(true);
        // An absurd time must not limit an upstream that has corrected it.
        rates.onEntry(createUpstream(), false, 60_000);
        earl.expect(rates.isCold(createUpstream(), 60_000)).toEqual(false);
    });

    test.it("as a new incarnation, but not because this instance has just started", () => {
        const { rates } = createInstance({ site: soleSite, seed: 1 });
        rates.onEntry(createUpstream(), true, 0);
        earl.expect(rates.isCold(createUpstream(), 0)).toEqual(false);
        rates.onEntry(createUpstream(), false, 10);
        earl.expect(rates.isCold(createUpstream(), 10)).toEqual(false);
        const next = createUpstream({ startedAt: 2 });
        rates.onEntry(next, false, 100);
        earl.expect([100, 3099, 3100].map(now => rates.isCold(next, now))).toEqual([true, true, false]);
        // An entry that was written late says nothing of the incarnation that runs.
        rates.onEntry(createUpstream({ warmupMilliseconds: 9000 }), false, 3200);
        earl.expect(rates.isCold(next, 3200)).toEqual(false);
    });

    test.it("after the evacuation of its failure domain, and after a response that says so", () => {
        const instance = createInstance({ site: soleSite, seed: 1 });
        const { rates } = instance;
        rates.onEntry(createUpstream(), true, 0);
        instance.evacuationEndedAt = 10_000;
        earl.expect([10_000, 12_999, 13_000].map(now => rates.isCold(createUpstream(), now))).toEqual([
            true,
            true,
            false,
        ]);
        rates.onReported(createUpstream(), 500, 20_000);
        earl.expect([20_000, 20_500].map(now => rates.isCold(createUpstream(), now))).toEqual([true, false]);
        rates.onReported(createUpstream({ startedAt: 0 }), 500, 30_000);
        earl.expect(rates.isCold(createUpstream(), 30_000)).toEqual(false);
    });

    test.it("with one event at the beginning and one at the end, and is counted in between", () => {
        const events: unknown[] = [];
        const { rates } = createInstance({
            site: soleSite,
            seed: 1,
            onCold: ({ identifier }, cause, milliseconds) => events.push([identifier, cause, milliseconds]),
            onWarm: ({ identifier }) => events.push([identifier]),
        });
        rates.onEntry(createUpstream({ warmupMilliseconds: 1000 }), true, 0);
        const counts = [0, 500, 999, 1000, 1200].map(now => rates.update([createUpstream()], now));
        earl.expect(counts).toEqual([1, 1, 1, 0, 0]);
        earl.expect(events).toEqual([["upstream-1", "registry", 1000], ["upstream-1"]]);
        earl.expect(rates.update([], 1300)).toEqual(0);
    });
});

test.describe("an upstream of a service without a warm-up rate", () => {
    test.it("is never limited nor cold, whatever is known of it", () => {
        const instance = createInstance({
            site: { ...soleSite, instanceCount: 0 },
            seed: 1,
            warmupOf: () => undefined,
        });
        const { rates } = instance;
        rates.onEntry(createUpstream({ warmupMilliseconds: 3000 }), false, 0);
        rates.onReported(createUpstream(), 3000, 0);
        instance.isRegistryStale = true;
        instance.evacuationEndedAt = 0;
        for (let now = 0; now < 100; now += 1) {
            earl.expect(rates.waitMilliseconds(createUpstream(), now)).toEqual(0);
            rates.onSent(createUpstream(), now);
        }
        earl.expect(rates.isCold(createUpstream(), 100)).toEqual(false);
        earl.expect(rates.isLeftToOthers(createUpstream(), 100)).toEqual(false);
        earl.expect(rates.toleratedPerSecond(createUpstream(), 100)).toEqual(undefined);
        earl.expect(rates.update([createUpstream()], 100)).toEqual(0);
    });
});
