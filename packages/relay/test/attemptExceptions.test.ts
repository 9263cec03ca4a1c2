/** Exceptions while an attempt is started, in progress or has ended. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay, respondWith } = relayFixture;

/** Intervals of the checks for silent upstreams and silent delegates, in milliseconds. */
const silenceCheckMilliseconds = 50;
const delegateCheckMilliseconds = 100;

const throwError = (): never => {
    throw new Error("expected by a test");
};

/** Creates timers on which checks with an interval cannot start. */
const createFailingTimers = (failingMilliseconds = silenceCheckMilliseconds): foundation.TimerService => {
    const timers = foundation.createVirtualTimerService();
    return {
        ...timers,
        onInterval: (milliseconds, callback) =>
            milliseconds === failingMilliseconds ? throwError() : timers.onInterval(milliseconds, callback),
    };
};

const announceLeaving: relayFixture.Behaviour = (request, response) => {
    response.writeHead(200, {
        "request-id": request.headers["request-id"],
        "response-signature": "signature",
        "server-leaving": "1",
        "content-length": 0,
    });
    response.end();
};

const failsFor = (name: keyof relay.UpstreamPool): Partial<relayFixture.RelayFixtureOptions> => ({
    adaptPool: () => ({ [name]: throwError }),
});

test.describe("the attempt of a request", () => {
    const exceptions: [string, number, string, Partial<relayFixture.RelayFixtureOptions>][] = [
        ["before it is sent", 503, "request", failsFor("connectTimeoutMilliseconds")],
        ["when the check for a silent upstream starts", 502, "request", {
            kind: routing.RouteKind.idempotent,
            timers: createFailingTimers(),
        }],
        ["on its connection", 502, "attempt", failsFor("onConnected")],
        ["on the notice of its upstream", 502, "attempt", { behaviours: [announceLeaving], onNotice: throwError }],
        ["on its bytes", 200, "attempt", failsFor("reachOf")],
    ];
    for (const [when, status, part, options] of exceptions) {
        test.it(`does not stay outstanding, so that its upstream looks busy, after an exception ${when}`, () =>
            withRelay({ behaviours: [respondWith("done")], failingParts: [part], ...options }, async fixture => {
                earl.expect((await fixture.sendRequest()).status).toEqual(status);
                await virtualTime.waitUntil(() => fixture.openRequestCount() === 0);
                earl.expect(fixture.outstandingCounts()).toEqual([0]);
            }));
    }

    test.it("ends with its request after an exception while it is in progress", () => {
        const timers = createFailingTimers();
        const options = { behaviours: [() => undefined], kind: routing.RouteKind.idempotent, timers };
        return withRelay({ ...options, failingParts: ["request"] }, async fixture => {
            const { status } = await fixture.sendRequest({ deadlineMilliseconds: 60_000 });
            earl.expect(status).toEqual(502);
            earl.expect(fixture.outstandingCounts()).toEqual([0]);
        });
    });

    test.it("has a result after an exception while its body is sent", async () => {
        const failures = foundation.createFailureBoundary({ write: () => undefined, sample: () => undefined });
        const connections = relay.createUpstreamConnections(1, 1);
        const attempt = relay.startAttempt({
            timers: foundation.createVirtualTimerService(),
            failures,
            connections,
            host: "127.0.0.1",
            port: 1,
            method: "POST",
            path: "/orders/1",
            headers: ["Host", "orders.example"],
            reservation: relay.createByteBudget(Infinity).createReservation(),
            requestIdentifier: "request-1",
            body: { kind: "whole", bytes: 1 as unknown as Buffer },
            connectTimeoutMilliseconds: 1000,
            onConnected: () => undefined,
            onTransferred: () => undefined,
            onCloseDelimitedEnd: () => undefined,
        });
        const { kind } = await attempt.result;
        connections.close();
        earl.expect([kind, [...failures.counts()]]).toEqual(["notRun", [["attempt", 1]]]);
    });
});

test.describe("a delegated request", () => {
    test.it("does not stay pending, so that its delegate looks silent, after an exception when its check starts", () =>
        withRelay({ behaviours: [respondWith("second")], isKeyed: true }, second => {
            const delegate = { identifier: "second", host: "127.0.0.1", port: second.delegatePort };
            const timers = createFailingTimers(delegateCheckMilliseconds);
            const options = { behaviours: [respondWith("first")], isKeyed: true, delegate, timers };
            return withRelay({ ...options, failingParts: ["request"] }, async first => {
                earl.expect((await first.sendRequest({ key: 7 })).status).toEqual(502);
                await virtualTime.waitUntil(() => first.openRequestCount() === 0);
                earl.expect(first.pendingDelegationCount()).toEqual(0);
            });
        }));
});
