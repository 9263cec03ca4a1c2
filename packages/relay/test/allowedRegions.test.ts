/** Requests of routes that allow only some regions. */
import * as eligibilities from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as delegatedRequest from "../src/delegatedRequest";
import * as requestState from "../src/requestState";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay, respondWith } = relayFixture;

const north = "north-a";
const south = "south-a";
const regionReason = requestState.FailureReason.regionNotAllowed;

/** Breaks the connection off, as an upstream that crashes. */
const crash: relayFixture.Behaviour = request => request.socket.destroy();

/** Sends requests one after the other and returns the bodies of their responses. */
const sendRequests = async ({ sendRequest }: relayFixture.RelayFixture, count: number): Promise<string[]> => {
    const bodies: string[] = [];
    for (let index = 0; index < count; index += 1) {
        bodies.push((await sendRequest({ key: index })).body.toString());
    }
    return bodies;
};

test.describe("a request of a restricted route", () => {
    // Guards against requests that reach a region that their route forbids, although the instance is nearer to it.
    test.it("reaches only upstreams in allowed regions", () => {
        const behaviours = [respondWith("north"), respondWith("south"), respondWith("south")];
        const failureDomains = [north, south, south];
        return withRelay({ behaviours, failureDomains, allowedRegions: ["south"] }, async fixture => {
            earl.expect(new Set(await sendRequests(fixture, 20))).toEqual(new Set(["south"]));
            earl.expect(fixture.requestCounts()[0]).toEqual(0);
        });
    });

    // Guards against a retry that leaves the allowed regions because all upstreams there have been tried.
    test.it("stays in the allowed regions when it is sent again", () => {
        const options = {
            behaviours: [respondWith("north"), crash],
            failureDomains: [north, south],
            allowedRegions: ["south"],
            kind: routing.RouteKind.idempotent,
        };
        return withRelay(options, async fixture => {
            earl.expect((await fixture.sendRequest()).status).toEqual(502);
            const [northCount, southCount] = fixture.requestCounts();
            earl.expect(northCount).toEqual(0);
            earl.expect(southCount > 1).toEqual(true);
        });
    });

    for (const isKeyed of [false, true]) {
        // Guards against a wait for an upstream or an owner that the route would not allow anyway. Virtual time stands still.
        test.it(`is refused at once if no upstream is in an allowed region, ${isKeyed ? "with" : "without"} a key`, () => {
            const options = { behaviours: [respondWith("north")], allowedRegions: ["south"], isKeyed };
            return withRelay(options, async fixture => {
                const response = await fixture.sendRequest({ key: 7 });
                earl.expect(response.status).toEqual(503);
                earl.expect(Number(response.headers["retry-after"]) > 0).toEqual(true);
                earl.expect(fixture.finished.map(({ reason }) => reason)).toEqual([regionReason]);
                earl.expect(fixture.requestCounts()).toEqual([0]);
            });
        });
    }

    test.it("is refused at once if its key has no owner, and no upstream that it may reach could become the owner", () => {
        const behaviours = [respondWith("north")];
        const options = { behaviours, allowedRegions: ["south"], isKeyed: true, isOwnerKnown: () => false };
        return withRelay(options, async fixture => {
            earl.expect((await fixture.sendRequest({ key: 7 })).status).toEqual(503);
            earl.expect(fixture.finished.map(({ reason }) => reason)).toEqual([regionReason]);
        });
    });

    test.it("waits for the owner of its key if an upstream in an allowed region may become the owner", () => {
        const timers = foundation.createVirtualTimerService();
        let ownerIndex = -1;
        const options = {
            behaviours: [respondWith("north"), respondWith("south")],
            failureDomains: [north, south],
            allowedRegions: ["south"],
            isKeyed: true,
            isOwnerKnown: () => ownerIndex >= 0,
            ownerIndex: () => ownerIndex,
            timers,
        };
        return withRelay(options, async fixture => {
            const response = fixture.sendRequest({ key: 7 });
            await virtualTime.waitUntil(() => fixture.openRequestCount() === 1);
            await virtualTime.advance(timers, 60);
            ownerIndex = 1;
            await virtualTime.advance(timers, 60);
            earl.expect((await response).body.toString()).toEqual("south");
        });
    });
});

test.describe("a delegated request of a restricted route", () => {
    interface DelegationOutcome {
        body: string;
        reasons: (string | undefined)[];
    }

    /** Sends a request to an instance with a delegate whose upstream is in a given failure domain. */
    const delegate = async (
        options: Partial<relayFixture.RelayFixtureOptions>,
        delegateDomain: string,
    ): Promise<DelegationOutcome> => {
        const second = await relayFixture.createRelayFixture({
            behaviours: [respondWith("second")],
            failureDomains: [delegateDomain],
            isKeyed: true,
        });
        const first = await relayFixture.createRelayFixture({
            behaviours: [respondWith("first")],
            isKeyed: true,
            delegate: { identifier: "second", host: "127.0.0.1", port: second.delegatePort },
            ...options,
        });
        const response = await first.sendRequest({ key: 8 });
        const reasons = first.finished.map(({ reason }) => reason);
        await first.dispose();
        await second.dispose();
        return { body: response.body.toString(), reasons };
    };

    test.it("goes through another instance in an allowed region", async () => {
        earl.expect((await delegate({ allowedRegions: ["north"] }, north)).body).toEqual("second");
    });

    // Guards against bodies that pass through an instance outside the allowed regions.
    test.it("is sent directly by an instance outside the allowed regions", async () => {
        const options = { allowedRegions: ["south"], failureDomains: [south] };
        earl.expect((await delegate(options, south)).body).toEqual("first");
        earl.expect((await delegate({ ...options, ownRegion: "south" }, south)).body).toEqual("second");
    });

    // Guards against a delegate that knows another owner of the key, in a region that the route forbids.
    test.it("is refused by the delegate if the owner that it knows is in another region", async () => {
        const { reasons } = await delegate({ allowedRegions: ["north"] }, south);
        earl.expect(reasons).toEqual([regionReason]);
    });

    test.it("carries the regions only if there are any, so that other requests have the same header as before", () => {
        const delegation = {
            service: "orders",
            route: "a,b",
            kind: routing.RouteKind.once,
            rank: 1,
            maxAttempts: 2,
            targetMilliseconds: 300,
            documentVersion: 7,
        };
        const encode = (allowedRegions?: readonly string[]): string => {
            const route = {
                ...delegatedRequest.toRoute({ ...delegation, targetMilliseconds: 400 }),
                ...(allowedRegions === undefined ? {} : { allowedRegions }),
            };
            const state = { service: "orders", route, arrivedAt: 0, underWayMilliseconds: 0, documentVersion: 7 };
            return delegatedRequest.encodeDelegation(state as requestState.RequestState, 100);
        };
        earl.expect(encode()).toEqual("orders,a%2Cb,once,1,2,300,7");
        earl.expect(delegatedRequest.parseDelegation(encode()).unwrap()).toEqual(delegation);
        const allowedRegions = ["north", "a,b;c"];
        const parsed = delegatedRequest.parseDelegation(encode(allowedRegions)).unwrap();
        earl.expect(parsed).toEqual({ ...delegation, allowedRegions });
        earl.expect(delegatedRequest.toRoute(parsed).allowedRegions).toEqual(allowedRegions);
        earl.expect(delegatedRequest.parseDelegation(`${encode()},`).ok).toEqual(false);
    });
});

test.describe("a request to a cold upstream", () => {
    test.it("goes to another upstream, or is refused until the upstream may get the next one", () => {
        const timers = foundation.createVirtualTimerService();
        const sentTo: string[] = [];
        const options = {
            behaviours: [respondWith("cold"), respondWith("warm")],
            timeoutMilliseconds: 10_000,
            timers,
            warmupRates: {
                waitMilliseconds: ({ identifier }: routing.Upstream) =>
                    identifier === "upstream-0" && sentTo.includes(identifier) ? 2000 : 0,
                onSent: ({ identifier }: routing.Upstream) => sentTo.push(identifier),
            },
        };
        return withRelay(options, async fixture => {
            const warm = fixture.directory.find("upstream-1")?.upstream as routing.Upstream;
            const setDraining = (isDraining: boolean): void =>
                fixture.directory.onEntry({ ...warm, isDraining }, timers.now());
            setDraining(true);
            earl.expect(await sendRequests(fixture, 1)).toEqual(["cold"]);
            setDraining(false);
            earl.expect(new Set(await sendRequests(fixture, 20))).toEqual(new Set(["warm"]));
            earl.expect(sentTo.length).toEqual(21);
            setDraining(true);
            const response = await fixture.sendRequest({ deadlineMilliseconds: 10_000 });
            earl.expect(response.status).toEqual(503);
            earl.expect(Number(response.headers["retry-after"]) >= 2).toEqual(true);
            earl.expect(fixture.finished.at(-1)?.reason).toEqual(requestState.FailureReason.warmup);
        });
    });
});

test.describe("a request of an unrestricted route", () => {
    const everywhere: eligibilities.Eligibility = {
        findIneligibility: () => undefined,
        findOwnerIneligibility: () => undefined,
        onChange: () => ({ cancel: () => undefined }),
        onSent: () => undefined,
        mayOwnKeys: () => true,
    };
    for (const isKeyed of [false, true]) {
        // Guards against changed decisions for documents without the field.
        test.it(`is served as without any restriction in the program, ${isKeyed ? "with" : "without"} keys`, async () => {
            const outcomes: unknown[] = [];
            for (const eligibility of [undefined, everywhere]) {
                const options = {
                    behaviours: [respondWith("a"), respondWith("b"), relayFixture.refuse, respondWith("c")],
                    failureDomains: [north, "north-b", south, "unknown"],
                    isKeyed,
                    eligibility,
                    evacuations: eligibilities.createEvacuations(),
                };
                await withRelay(options, async fixture => {
                    const bodies = await sendRequests(fixture, 40);
                    outcomes.push([bodies, fixture.requestCounts(), fixture.finished.map(({ reason }) => reason)]);
                });
            }
            earl.expect(outcomes[0]).toEqual(outcomes[1]);
        });
    }
});
