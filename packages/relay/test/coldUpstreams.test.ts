/** Which requests cold upstreams get, and what becomes of those that they may not get. */
import * as eligibility from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import type * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const isSecond = ({ identifier }: routing.Upstream): boolean => identifier === "upstream-1";

/** Options of a fixture whose second upstream is cold and may get a number of requests. */
const makeSecondCold = (
    requests: number,
    adaptCandidate: (upstream: routing.Upstream) => Partial<scheduling.Candidate> = () => ({}),
): Pick<relayFixture.RelayFixtureOptions, "warmupRates" | "adaptPool"> => {
    let remaining = requests;
    return {
        warmupRates: {
            waitMilliseconds: upstream => isSecond(upstream) && remaining <= 0 ? 700 : 0,
            onSent: upstream => {
                remaining -= isSecond(upstream) ? 1 : 0;
            },
        },
        adaptPool: pool => ({
            isCold: ({ upstream }) => isSecond(upstream),
            toCandidate: (target, bytes) => ({
                ...pool.toCandidate(target, bytes),
                ...adaptCandidate(target.upstream),
            }),
        }),
    };
};

const withFixture = async (
    options: relayFixture.RelayFixtureOptions,
    run: (fixture: relayFixture.RelayFixture) => Promise<void>,
): Promise<void> => {
    const fixture = await relayFixture.createRelayFixture(options);
    try {
        await run(fixture);
    }
    finally {
        await fixture.dispose();
    }
};

const behaviours = [relayFixture.respondWith("first"), relayFixture.respondWith("second")];

test.describe("a cold upstream", () => {
    // Guards against a new upstream that starves, as it is slower and needs new connections.
    test.it("gets the requests that it may get although another upstream is cheaper, and no others", () =>
        withFixture({
            behaviours,
            ...makeSecondCold(3, upstream => ({ pathCostMilliseconds: isSecond(upstream) ? 500 : 0 })),
        }, async ({ sendRequest, requestCounts, finished }) => {
            for (let index = 0; index < 5; index += 1) {
                earl.expect((await sendRequest()).status).toEqual(200);
            }
            earl.expect(requestCounts()).toEqual([2, 3]);
            earl.expect(finished.map(({ wasHeldBack }) => wasHeldBack)).toEqual([false, false, false, true, true]);
        }));

    test.it("is not preferred if it could not serve a request at once and in time, or fails often", async () => {
        const changes: Partial<scheduling.Candidate>[] = [
            { queueLength: 4 },
            { serviceMilliseconds: 1100 },
            { failureRatio: 0.3 },
        ];
        for (const change of changes) {
            await withFixture({
                behaviours,
                ...makeSecondCold(
                    Infinity,
                    upstream => isSecond(upstream) ? { pathCostMilliseconds: 500, ...change } : {},
                ),
            }, async ({ sendRequest, requestCounts }) => {
                earl.expect((await sendRequest()).status).toEqual(200);
                earl.expect(requestCounts()).toEqual([1, 0]);
            });
        }
    });

    // Guards against two requests that are selected for the only share before either is sent.
    test.it("gets one of many requests that arrive together while it may get one, and the others go elsewhere", () =>
        withFixture({ behaviours, ...makeSecondCold(1) }, async ({ sendRequest, requestCounts }) => {
            const responses = await Promise.all(Array.from({ length: 20 }, () => sendRequest()));
            earl.expect(responses.every(({ status }) => status === 200)).toEqual(true);
            earl.expect(requestCounts()).toEqual([19, 1]);
        }));

    test.it("without a share left, and without another upstream, refuses requests as not run until it has one", async () => {
        for (const isKeyed of [false, true]) {
            await withFixture({
                behaviours: [relayFixture.respondWith("first")],
                isKeyed,
                adaptPool: () => ({ isCold: () => true }),
                warmupRates: { waitMilliseconds: () => 200, onSent: () => undefined },
            }, async ({ sendRequest, requestCounts, finished }) => {
                const { status, headers } = await sendRequest({ key: isKeyed ? 7 : undefined });
                earl.expect(status).toEqual(503);
                earl.expect(Number(headers["retry-after"]) >= 0.2).toEqual(true);
                earl.expect(requestCounts()).toEqual([0]);
                earl.expect(finished.map(({ reason, wasHeldBack, attempts }) => [reason, wasHeldBack, attempts]))
                    .toEqual([["the upstreams are cold", true, 0]]);
            });
        }
    });

    test.it("gets the requests for its keys from the instance that has the share, also at high rates", async () => {
        const second = await relayFixture.createRelayFixture({
            isKeyed: true,
            behaviours: [relayFixture.respondWith("through the delegate")],
        });
        try {
            for (const isLeftToOthers of [true, false]) {
                await withFixture({
                    isKeyed: true,
                    behaviours: [relayFixture.respondWith("direct")],
                    delegate: { identifier: "second", host: "127.0.0.1", port: second.delegatePort },
                    upstreamCount: 0,
                    isLeftToOthers: () => isLeftToOthers,
                }, async ({ sendRequest }) => {
                    const { body } = await sendRequest({ key: 7 });
                    earl.expect(body.toString()).toEqual(isLeftToOthers ? "through the delegate" : "direct");
                });
            }
        }
        finally {
            await second.dispose();
        }
    });
});

test.describe("the estimate of a young upstream", () => {
    const serviceTimeAt = (limitsRate: boolean | undefined): number => {
        const directory = routing.createUpstreamDirectory();
        const upstream = { ...relayFixture.createUpstream("upstream-0", 1, 1), warmupMilliseconds: 3000 };
        directory.onEntry(upstream, 0);
        const pool = relayFixture.createPool({
            directory,
            ...(limitsRate === undefined ? {} : { limitsWarmupRate: () => limitsRate }),
        });
        const [pooled] = pool.usable("orders");
        earl.expect(pool.isCold(pooled)).toEqual(false);
        return pool.toCandidate(pooled, 0).serviceMilliseconds;
    };

    test.it("is doubled, unless its service limits the rate of requests to it", () => {
        earl.expect([undefined, false, true].map(serviceTimeAt)).toEqual([
            2 * relay.assumedServiceMilliseconds,
            2 * relay.assumedServiceMilliseconds,
            relay.assumedServiceMilliseconds,
        ]);
    });
});

test.describe("the notice of an upstream that is cold", () => {
    const parse = (value: string): number | undefined =>
        relay.parseNotice(200, name => name === "warmup-remaining-ms" ? value : undefined)?.warmupMilliseconds;

    test.it("is its remaining time, and nothing if that is malformed", () => {
        earl.expect([parse("2500"), parse(" 1 "), parse("99999")]).toEqual([2500, 1, 99_999]);
        for (const value of ["", "0", "-1", "1e3", "soon", "1.5", "9".repeat(400), "100000"]) {
            earl.expect(parse(value)).toEqual(undefined);
        }
    });
});

test.describe("a decision with the rates of an instance", () => {
    // Guards against a path of requests that does not use up the share.
    test.it("counts each request that is sent", () => {
        const rates = eligibility.createWarmupRates({
            warmupOf: () => ({ milliseconds: 3000, requestsPerSecond: 6 }),
            findSharers: () => ({ count: 1, isIncluded: true }),
            isRegistryStale: () => false,
            endedAt: () => undefined,
            overshoot: () => 1.5,
            slack: () => 8,
            random: { fraction: () => 0, below: () => 0 },
        });
        const timers = foundation.createVirtualTimerService();
        const directory = routing.createUpstreamDirectory();
        const pool = relayFixture.createPool({ directory, now: timers.now, warmupRates: rates });
        const { findIneligibility, onSent } = eligibility.createEligibility({
            regions: {},
            evacuations: eligibility.noEvacuations,
            warmupRates: rates,
        });
        const cold = { ...relayFixture.createUpstream("upstream-0", 1, 1), warmupMilliseconds: 3000 };
        const waitMilliseconds = (): number =>
            Math.round(findIneligibility(cold, undefined, timers.now())?.waitMilliseconds ?? 0);
        directory.onEntry(cold, timers.now());
        rates.onEntry(cold, false, timers.now());
        const [pooled] = pool.usable("orders");
        earl.expect([pool.isCold(pooled), waitMilliseconds()]).toEqual([true, 0]);
        onSent(cold, timers.now());
        earl.expect(waitMilliseconds()).toEqual(175);
        timers.advance(3000);
        earl.expect([pool.isCold(pooled), waitMilliseconds()]).toEqual([false, 0]);
    });
});
