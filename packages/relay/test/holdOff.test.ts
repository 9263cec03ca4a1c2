/** Upstreams that refuse a request with 503 and the time for which they want no others. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay } = relayFixture;

/** Refuses requests for a second, then answers them. */
const createBusyUpstream = (headers: Record<string, string>): relayFixture.Behaviour => {
    let hasRefused = false;
    return (request, response, body) => {
        if (hasRefused) {
            relayFixture.respondWith("done")(request, response, body);
            return;
        }
        hasRefused = true;
        response.writeHead(503, {
            "request-id": request.headers["request-id"],
            "retry-after": "1",
            "content-length": 0,
            ...headers,
        });
        response.end();
    };
};

const proof = { "not-executed": "1" };
/** Long enough that the caller would honour the whole time. */
const patient = { deadlineMilliseconds: 10_000 };

test.describe("hold-offs", () => {
    const upstream = { identifier: "a", startedAt: 1 };

    test.it("last for the longest time that the incarnation asked for", () => {
        const holdOffs = scheduling.createHoldOffs();
        earl.expect(holdOffs.remainingMilliseconds(upstream, 0)).toEqual(0);
        earl.expect(holdOffs.onRefusal(upstream, 1000, 0)).toEqual(true);
        earl.expect(holdOffs.onRefusal(upstream, 200, 500)).toEqual(false);
        earl.expect(holdOffs.remainingMilliseconds(upstream, 600)).toEqual(400);
        earl.expect(holdOffs.remainingMilliseconds({ ...upstream, startedAt: 2 }, 600)).toEqual(0);
        earl.expect(holdOffs.onRefusal({ ...upstream, startedAt: 0 }, 5000, 600)).toEqual(false);
        holdOffs.prune(999);
        earl.expect(holdOffs.remainingMilliseconds(upstream, 999)).toEqual(1);
        earl.expect(holdOffs.remainingMilliseconds(upstream, 1000)).toEqual(0);
    });

    test.it("end without an error when the time is absurdly long", () => {
        const holdOffs = scheduling.createHoldOffs();
        holdOffs.onRefusal(upstream, Number.MAX_SAFE_INTEGER, 5);
        earl.expect(Number.isFinite(holdOffs.remainingMilliseconds(upstream, 10))).toEqual(true);
        earl.expect(holdOffs.remainingMilliseconds(upstream, 1e9) > 0).toEqual(true);
    });
});

test.describe("a pool", () => {
    test.it("cancels the attempts without a connection to an upstream that wants no requests, and no others", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(relayFixture.createUpstream("a", 1, 1), 0);
        const pool = relayFixture.createPool({ directory });
        const cancelled: string[] = [];
        const createAttempt = (name: string, mayHaveBeenSent: boolean): relay.Attempt => ({
            result: new Promise(() => undefined),
            cancel: () => cancelled.push(name),
            mayHaveBeenSent: () => mayHaveBeenSent,
        });
        const [pooled] = pool.usable("orders");
        pooled.openAttempts.add(createAttempt("connecting", false)).add(createAttempt("sent", true));
        earl.expect(pool.holdOff({ identifier: "a", startedAt: 0 }, 1000)).toEqual(true);
        earl.expect(cancelled).toEqual([]);
        earl.expect(pool.holdOff({ identifier: "a", startedAt: 1 }, 1000)).toEqual(true);
        earl.expect(cancelled).toEqual(["connecting"]);
        earl.expect(pool.usable("orders")).toEqual([]);
        earl.expect(pool.firstHeldOff("orders")?.upstream.identifier).toEqual("a");
        earl.expect(pool.mayReceive({ identifier: "a", startedAt: 1 })).toEqual(false);
    });
});

test.describe("a refused caller", () => {
    test.it("is not told to return before an upstream takes requests", () => {
        for (const fraction of [0, 0.5, 1]) {
            earl.expect(scheduling.retryAfterMilliseconds(1000, 60_000, fraction, true) >= 1000).toEqual(true);
        }
        earl.expect(scheduling.retryAfterMilliseconds(1000, 60_000, 0, true)).not.toEqual(
            scheduling.retryAfterMilliseconds(1000, 60_000, 1, true),
        );
    });
});

test.describe("an upstream that wants no requests for a time", () => {
    test.it("gets none, and others get them, until the time has passed", () => {
        const timers = foundation.createVirtualTimerService();
        const behaviours = [createBusyUpstream(proof), relayFixture.respondWith("other")];
        return withRelay({ behaviours, timers }, async fixture => {
            const setDraining = (index: number, isDraining: boolean): void => {
                const known = fixture.directory.find(`upstream-${index}`)?.upstream;
                fixture.directory.onEntry({ ...known as routing.Upstream, isDraining }, timers.now());
            };
            setDraining(1, true);
            earl.expect((await fixture.sendRequest(patient)).status).toEqual(503);
            setDraining(1, false);
            for (let iteration = 0; iteration < 20; iteration += 1) {
                earl.expect((await fixture.sendRequest(patient)).body.toString()).toEqual("other");
                await virtualTime.advance(timers, 48);
            }
            earl.expect(fixture.requestCounts()).toEqual([1, 20]);
            await virtualTime.advance(timers, 41);
            setDraining(1, true);
            earl.expect((await fixture.sendRequest(patient)).body.toString()).toEqual("done");
        });
    });

    for (const isKeyed of [false, true]) {
        test.it(`leaves its callers with an immediate refusal if it is the only one, ${isKeyed ? "with" : "without"} keys`, () => {
            const timers = foundation.createVirtualTimerService();
            const options = { behaviours: [createBusyUpstream(proof)], isKeyed, timers, timeoutMilliseconds: 10_000 };
            return withRelay(options, async fixture => {
                // Virtual time stands still, so a request that waits would never end.
                for (let iteration = 0; iteration < 3; iteration += 1) {
                    const response = await fixture.sendRequest({ ...patient, key: 7 });
                    earl.expect(response.status).toEqual(503);
                    earl.expect(Number(response.headers["retry-after"]) >= 1).toEqual(true);
                }
                earl.expect(fixture.requestCounts()).toEqual([1]);
                await virtualTime.advance(timers, 1001);
                earl.expect((await fixture.sendRequest({ ...patient, key: 7 })).status).toEqual(200);
            });
        });
    }

    test.it("gets none either if it did not say whether the request has run", () =>
        withRelay({ behaviours: [createBusyUpstream({})] }, async fixture => {
            earl.expect((await fixture.sendRequest()).status).toEqual(502);
            earl.expect((await fixture.sendRequest()).status).toEqual(503);
            earl.expect(fixture.requestCounts()).toEqual([1]);
        }));

    test.it("gets none of the requests that wait for a connection when it refuses one", () => {
        let refuse: () => void = () => undefined;
        const busyUpstream = createBusyUpstream(proof);
        const behaviour: relayFixture.Behaviour = (...parameters) => {
            refuse = () => busyUpstream(...parameters);
        };
        return withRelay({ behaviours: [behaviour], connectionLimit: 1 }, async fixture => {
            const responses = [1, 2, 3].map(() => fixture.sendRequest());
            await virtualTime.waitUntil(() => fixture.openRequestCount() === 3 && fixture.requestCounts()[0] === 1);
            await new Promise(resolve => setTimeout(resolve, 50));
            refuse();
            const statuses = (await Promise.all(responses)).map(response => response.status);
            earl.expect(statuses).toEqual([503, 503, 503]);
            earl.expect(fixture.requestCounts()).toEqual([1]);
        });
    });

    test.it("is heard if its refusal has arrived, but not been read, when the attempt is cancelled", async () => {
        let onRequest: (socket: net.Socket) => void = () => undefined;
        const received = new Promise<net.Socket>(resolve => {
            onRequest = resolve;
        });
        const server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => onRequest(socket));
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const connections = relay.createUpstreamConnections(1, 1);
        const notices: relay.UpstreamNotice[] = [];
        const attempt = relay.startAttempt({
            timers: foundation.createTimerService(),
            failures: foundation.createTransparentFailureBoundary(),
            connections,
            host: "127.0.0.1",
            port: (server.address() as net.AddressInfo).port,
            method: "GET",
            path: "/orders/1",
            headers: ["Host", "orders.example", "Request-Id", "request-1"],
            reservation: relay.createByteBudget(Infinity).createReservation(),
            requestIdentifier: "request-1",
            body: { kind: "whole", bytes: Buffer.alloc(0) },
            connectTimeoutMilliseconds: 1000,
            onConnected: () => undefined,
            onTransferred: () => undefined,
            onCloseDelimitedEnd: () => undefined,
            onNotice: notice => notices.push(notice),
        });
        const socket = await received;
        socket.write("HTTP/1.1 503 Full\r\nRequest-Id: request-1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
        attempt.cancel("cancelled");
        const result = await attempt.result;
        socket.destroy();
        connections.close();
        server.close();
        earl.expect(result).toEqual({ kind: "unknown", reason: "cancelled", isNewConnection: true });
        earl.expect(notices).toEqual([{ isLeaving: false, holdOffMilliseconds: 1000 }]);
    });
});
