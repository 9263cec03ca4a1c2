/** Requests that wait in the instance for room: their order under load, and how each wait ends. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as slottedUpstream from "./fixtures/slottedUpstream";
import * as virtualTime from "./fixtures/virtualTime";

const slots = 4;
const workMilliseconds = 200;
const targetMilliseconds = 1000;
const deadlineMilliseconds = 6000;
/** Requests that an upstream may have: its slots and half as many. */
const upstreamLimit = 6;

const kinds: Record<string, Partial<routing.Route>> = {
    alarm: { name: "alarm", pathPrefix: "/alarm/", rank: 0 },
    orders: {},
    bulk: { name: "bulk", pathPrefix: "/bulk/", rank: 2 },
};
const furtherRoutes = [kinds.alarm, kinds.bulk];

interface Scene {
    timers: foundation.VirtualTimerService;
    upstream: slottedUpstream.SlottedUpstream;
    fixture: relayFixture.RelayFixture;
    /** Sends a request of a kind. */
    send: (kind: string, remainingMilliseconds?: number) => Promise<relayFixture.CallerResponse>;
}

const withScene = async (
    run: (scene: Scene) => Promise<void>,
    options: Partial<relayFixture.RelayFixtureOptions> = { furtherRoutes },
): Promise<void> => {
    const timers = foundation.createVirtualTimerService();
    const upstream = slottedUpstream.createSlottedUpstream(timers, slots, workMilliseconds);
    let count = 0;
    await relayFixture.withRelay({
        behaviours: [upstream.behaviour],
        timers,
        timeoutMilliseconds: 4000,
        ...options,
    }, fixture =>
        run({
            timers,
            upstream,
            fixture,
            send: (kind, remainingMilliseconds = deadlineMilliseconds) => {
                count += 1;
                return fixture.sendRequest({
                    path: `/${kind}/${count}`,
                    identifier: `request-${count}`,
                    deadlineMilliseconds: remainingMilliseconds,
                });
            },
        }));
};

const waitingCount = (fixture: relayFixture.RelayFixture): number => fixture.waitingCounts().get("orders") ?? 0;

/** Sends as many requests as the upstream may have, and some that wait. */
const fillUpstream = async (
    scene: Scene,
    waiting: number,
    kind = "orders",
): Promise<Promise<relayFixture.CallerResponse>[]> => {
    const responses = Array.from({ length: upstreamLimit + waiting }, () => scene.send(kind));
    await virtualTime.waitUntil(() =>
        scene.upstream.received.length === upstreamLimit && waitingCount(scene.fixture) === waiting
    );
    return responses;
};

interface CallerCounts {
    callers: number;
    inTime: number;
    served: number;
    refused: number;
}

/** Plays callers of all kinds at a multiple of the upstream's capacity, who return after a refusal as they are told. */
const playCallers = async (
    scene: Scene,
    loadFactor: number,
    milliseconds: number,
): Promise<Map<string, CallerCounts>> => {
    const { timers } = scene;
    const random = foundation.createRandom(1);
    const counts = new Map(
        Object.keys(kinds).map(kind => [kind, { callers: 0, inTime: 0, served: 0, refused: 0 }] as const),
    );
    let open = 0;
    const call = async (kind: string): Promise<void> => {
        const startedAt = timers.now();
        const count = counts.get(kind) as CallerCounts;
        count.callers += 1;
        for (let attempt = 0; attempt < 3; attempt += 1) {
            const remaining = deadlineMilliseconds - (timers.now() - startedAt);
            const response = await scene.send(kind, Math.round(remaining));
            if (response.status === 200) {
                count.served += 1;
                count.inTime += timers.now() - startedAt <= targetMilliseconds ? 1 : 0;
                return;
            }
            earl.expect(response.status).toEqual(503);
            count.refused += 1;
            await foundation.pause(timers, Number(response.headers["retry-after"]) * 1000);
        }
    };
    const interval = workMilliseconds / slots / loadFactor;
    let nextAt = 0;
    for (const endAt = timers.now() + milliseconds; timers.now() < endAt || open > 0;) {
        await virtualTime.advance(timers, 1);
        while (timers.now() < endAt && nextAt <= timers.now()) {
            nextAt += -Math.log(1 - random.fraction()) * interval;
            open += 1;
            void call(Object.keys(kinds)[random.below(3)]).finally(() => {
                open -= 1;
            });
        }
    }
    return counts;
};

test.describe("requests of different kinds under load", () => {
    for (const loadFactor of [1.5, 3]) {
        // Guards against service in the order of arrival, kinds that starve, and a queue at the upstream that nothing can reorder.
        test.it(`are served by rank, and all kinds at times, at ${loadFactor} times the capacity`, () =>
            withScene(async scene => {
                const milliseconds = 8000;
                const counts = await playCallers(scene, loadFactor, milliseconds);
                const ratio = ({ served, callers }: CallerCounts): number => served / callers;
                const [alarm, orders, bulk] = [...counts.values()];
                const all = [...counts.values()];
                const served = all.reduce((sum, count) => sum + count.served, 0);
                const average = served / all.reduce((sum, count) => sum + count.callers, 0);
                const inTime = all.reduce((sum, count) => sum + count.inTime, 0);
                earl.expect(ratio(alarm) >= ratio(orders) - 0.05 && ratio(orders) >= ratio(bulk) - 0.05).toEqual(true);
                earl.expect(ratio(bulk) >= average / 4).toEqual(true);
                earl.expect(inTime >= milliseconds / workMilliseconds * slots * 0.75).toEqual(true);
                earl.expect(scene.upstream.maxWaiting() <= upstreamLimit - slots).toEqual(true);
                earl.expect(waitingCount(scene.fixture)).toEqual(0);
                earl.expect(scene.fixture.events.some(({ event }) => event === "capacity-insufficient")).toEqual(true);
            }));
    }

    test.it("are not reordered, and do not wait, with one kind of request", () =>
        withScene(async scene => {
            const counts = await playCallers(scene, 3, 3000);
            earl.expect([...counts.values()].some(({ refused }) => refused > 0)).toEqual(true);
            const fields = scene.fixture.events.filter(({ event }) => event === "request-failed");
            earl.expect(fields.filter(event => event.fields?.waited !== undefined)).toEqual([]);
        }, { furtherRoutes: [kinds.alarm, kinds.bulk].map(route => ({ ...route, rank: 1 })) }));
});

test.describe("a request that waits", () => {
    // Guards against a request that arrives as room appears and is sent before one that waits.
    test.it("is sent once there is room, the most urgent first", () =>
        withScene(async scene => {
            const responses = await fillUpstream(scene, 2, "bulk");
            responses.push(scene.send("alarm"));
            await virtualTime.waitUntil(() => waitingCount(scene.fixture) === 3);
            await virtualTime.advance(scene.timers, 2 * workMilliseconds);
            await virtualTime.waitUntil(() => scene.upstream.received.length === upstreamLimit + 3);
            earl.expect(scene.upstream.received[upstreamLimit].startsWith("/alarm/")).toEqual(true);
            await virtualTime.advance(scene.timers, 3 * workMilliseconds);
            const statuses = (await Promise.all(responses)).map(({ status }) => status);
            earl.expect(statuses.filter(status => status !== 200)).toEqual([]);
        }));

    // Guards against requests that are sent although nobody waits for their response.
    test.it("is not sent after its caller has disconnected", () =>
        withScene(async scene => {
            const responses = await fillUpstream(scene, 0);
            const disconnecting = scene.fixture.sendAndDisconnect(10);
            await virtualTime.waitUntil(() => waitingCount(scene.fixture) === 1);
            await virtualTime.advance(scene.timers, 50);
            await virtualTime.waitUntil(() => scene.fixture.finished.some(({ status }) => status === 499));
            await virtualTime.advance(scene.timers, 50);
            await disconnecting;
            earl.expect(waitingCount(scene.fixture)).toEqual(0);
            await virtualTime.advance(scene.timers, 3 * workMilliseconds);
            await Promise.all(responses);
            earl.expect(scene.upstream.received.length).toEqual(upstreamLimit);
        }));

    // Guards against requests that wait until their deadline while nothing can serve them.
    test.it("is refused as not run when its upstream dies", () =>
        withScene(async scene => {
            const responses = await fillUpstream(scene, 3);
            scene.upstream.die();
            scene.fixture.directory.onLeavingAnnounced({ identifier: "upstream-0", startedAt: 1 }, scene.timers.now());
            await virtualTime.advance(scene.timers, targetMilliseconds);
            const waited = (await Promise.all(responses)).slice(upstreamLimit);
            earl.expect(waited.map(({ status }) => status)).toEqual([503, 503, 503]);
            earl.expect(waited.every(({ headers }) => Number(headers["retry-after"]) > 0)).toEqual(true);
            earl.expect(scene.upstream.received.length).toEqual(upstreamLimit);
            earl.expect(waitingCount(scene.fixture)).toEqual(0);
        }));

    // Guards against requests that wait for an upstream which neither responds nor leaves.
    test.it("is refused as not run before its target when its upstream is silent", () =>
        withScene(async scene => {
            const timers = scene.timers;
            const responses = Array.from({ length: upstreamLimit + 3 }, () => scene.send("orders"));
            await virtualTime.waitUntil(() => waitingCount(scene.fixture) === 3);
            const startedAt = timers.now();
            await virtualTime.advance(timers, targetMilliseconds);
            await virtualTime.waitUntil(() => waitingCount(scene.fixture) === 0);
            earl.expect(timers.now() - startedAt <= targetMilliseconds).toEqual(true);
            const waited = await Promise.all(responses.slice(upstreamLimit));
            earl.expect(waited.map(({ status }) => status)).toEqual([503, 503, 503]);
            await virtualTime.advance(timers, 4000);
            await Promise.all(responses);
        }, { furtherRoutes, behaviours: [() => undefined] }));

    // Guards against requests that a stop cuts, or that are sent with a deadline behind it.
    test.it("is refused as not run as soon as a stop leaves too little time for it", () =>
        withScene(async scene => {
            const responses = await fillUpstream(scene, 3);
            scene.fixture.stopAt(scene.timers.now() + 100);
            await virtualTime.advance(scene.timers, 60);
            const waited = await Promise.all(responses.slice(upstreamLimit));
            earl.expect(waited.map(({ status }) => status)).toEqual([503, 503, 503]);
            earl.expect(scene.upstream.received.length).toEqual(upstreamLimit);
            await virtualTime.advance(scene.timers, 100);
            await Promise.all(responses);
            earl.expect(scene.fixture.openRequestCount()).toEqual(0);
        }));

    test.it("is counted with its wait and the cause of its refusal", () =>
        withScene(async scene => {
            const responses = await fillUpstream(scene, 2);
            // The window has no room for these before their target.
            const late = Array.from({ length: 40 }, () => scene.send("bulk"));
            await virtualTime.waitUntil(() => scene.fixture.finished.length > 0);
            const refused = scene.fixture.events.filter(({ event }) => event === "request-failed");
            earl.expect(refused[0].fields?.refusal).toEqual(relay.RefusalCause.arrival);
            earl.expect(refused[0].fields?.waited).toEqual(0);
            earl.expect(scene.fixture.finished[0].waiting).toEqual({
                service: "orders",
                milliseconds: 0,
                hasReturned: false,
                isRefused: true,
            });
            await virtualTime.advance(scene.timers, 3000);
            await Promise.all([...responses, ...late]);
        }));
});

test.describe("a caller that comes back to a relay", () => {
    // Guards against a second refusal of a caller while equal ones that came later are served.
    test.it("is served before equal callers that have not been refused", () =>
        withScene(async scene => {
            const { timers, upstream, fixture } = scene;
            // The relay learns which time first attempts state.
            for (let index = 0; index < 24; index += 1) {
                const response = scene.send("orders");
                await virtualTime.waitUntil(() => upstream.openCount() === 1);
                await virtualTime.advance(timers, workMilliseconds);
                await response;
            }
            const before = upstream.received.length;
            const responses = Array.from({ length: upstreamLimit + 1 }, () => scene.send("orders"));
            await virtualTime.waitUntil(() => waitingCount(fixture) === 1);
            const returned = scene.send("orders", deadlineMilliseconds - 300);
            await virtualTime.waitUntil(() => waitingCount(fixture) === 2);
            await virtualTime.advance(timers, 3 * workMilliseconds);
            await Promise.all([...responses, returned]);
            const [, lastFirst, lastReturned] = upstream.received.map(path => Number(path.split("/")[2])).sort((
                left,
                right,
            ) => left - right).slice(-3);
            const order = upstream.received.slice(before + upstreamLimit).map(path => Number(path.split("/")[2]));
            earl.expect(order.at(0)).toEqual(lastReturned);
            earl.expect(order.includes(lastFirst)).toEqual(true);
        }));
});

test.describe("a request that is delegated", () => {
    // Guards against requests that wait at two instances, one after the other.
    test.it("waits at the delegate only", () =>
        withScene(scene =>
            relayFixture.withRelay({
                behaviours: [scene.upstream.behaviour],
                timers: scene.timers,
                timeoutMilliseconds: 4000,
                isKeyed: true,
                furtherRoutes,
                delegate: { identifier: "delegate", host: "127.0.0.1", port: scene.fixture.delegatePort },
            }, async first => {
                const responses = Array.from(
                    { length: upstreamLimit + 2 },
                    (...[, index]) =>
                        first.sendRequest({ identifier: `delegated-${index}`, key: index, deadlineMilliseconds }),
                );
                await virtualTime.waitUntil(() => waitingCount(scene.fixture) === 2);
                earl.expect(first.waitingCounts().get("orders") ?? 0).toEqual(0);
                await virtualTime.advance(scene.timers, 3 * workMilliseconds);
                const statuses = (await Promise.all(responses)).map(({ status }) => status);
                earl.expect(statuses.filter(status => status !== 200)).toEqual([]);
            }), { furtherRoutes, isKeyed: true }));
});

test.describe("the rule by which requests of a service wait", () => {
    const createDocument = (...fields: Partial<routing.Route>[]): routing.RoutingDocument => ({
        version: 1,
        routes: fields.map((route, index) => ({
            name: `route-${index}`,
            host: "orders.example",
            pathPrefix: `/${index}/`,
            kind: routing.RouteKind.once,
            timeoutMilliseconds: 3000,
            targetMilliseconds: 1000,
            maxAttempts: 2,
            rank: 1,
            destinations: [{ service: "orders", weight: 1 }],
            ...route,
        })),
        services: new Map(),
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    });

    test.it("asks for two ranks or two targets on the routes to the service, and for time to wait", () => {
        const shortTimeout = { timeoutMilliseconds: 2500 };
        earl.expect(relay.mayWait(createDocument(shortTimeout, { ...shortTimeout, rank: 2 }), "orders")).toEqual(false);
        // The most urgent route decides.
        earl.expect(relay.mayWait(createDocument({ ...shortTimeout, rank: 2 }, {}), "orders")).toEqual(true);
        earl.expect(relay.mayWait(undefined, "orders")).toEqual(false);
        earl.expect(relay.mayWait(createDocument(), "orders")).toEqual(false);
        earl.expect(relay.mayWait(createDocument({}, {}), "orders")).toEqual(false);
        earl.expect(relay.mayWait(createDocument({}, { rank: 2 }), "orders")).toEqual(true);
        earl.expect(relay.mayWait(createDocument({}, { targetMilliseconds: 600 }), "orders")).toEqual(true);
        const elsewhere = { rank: 2, destinations: [{ service: "other", weight: 1 }] };
        earl.expect(relay.mayWait(createDocument({}, elsewhere), "orders")).toEqual(false);
    });
});
