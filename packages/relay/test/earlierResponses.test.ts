/** Upstreams in trouble that send an earlier response once more on a kept connection. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as earl from "earl";
import * as http from "node:http";
import type * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay, respondWith } = relayFixture;

const order = Buffer.from("order");

const refusal = (...headers: string[]): string =>
    ["HTTP/1.1 503 Service Unavailable", "Not-Executed: 1", "Content-Length: 0", ...headers].join("\r\n") + "\r\n\r\n";

/** Creates an upstream that runs every request, and from the second one on a connection on sends some bytes first. */
const sendBeforeResponse = (earlier: (identifier: string) => string): relayFixture.Behaviour => {
    const usedSockets = new WeakSet<net.Socket>();
    return (request, response, body) => {
        if (usedSockets.has(request.socket)) {
            request.socket.write(earlier(String(request.headers["request-id"])));
        }
        usedSockets.add(request.socket);
        respondWith("done")(request, response, body);
    };
};

test.describe("a request on a kept connection", () => {
    const refusals: [string, string][] = [
        ["without an identifier", refusal()],
        ["of another request", refusal("Request-Id: another")],
        ["of two requests", refusal("Request-Id: another", "Request-Id: request-2")],
        ["with an empty identifier", refusal("Request-Id: ")],
        ["by another upstream", refusal().replace("503 Service Unavailable", "421 Misdirected Request")],
    ];
    for (const [kind, earlier] of refusals) {
        test.it(`may have run if a refusal ${kind} arrives in place of its response`, () =>
            withRelay({ behaviours: [sendBeforeResponse(() => earlier)] }, async fixture => {
                const first = await fixture.sendRequest({ identifier: "request-1", body: order });
                const second = await fixture.sendRequest({ identifier: "request-2", body: order });
                earl.expect([first.status, second.status]).toEqual([200, 502]);
                earl.expect(fixture.requestCounts()).toEqual([2]);
            }));
    }

    test.it("gets no response without an identifier, as it may be that of another request", () => {
        const earlier = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 7\r\n\r\nearlier";
        return withRelay({ behaviours: [sendBeforeResponse(() => earlier)] }, async fixture => {
            await fixture.sendRequest({ identifier: "request-1", body: order });
            const response = await fixture.sendRequest({ identifier: "request-2", body: order });
            earl.expect([response.status, response.headers["response-signature"]]).toEqual([502, undefined]);
        });
    });

    const heldOff = "Retry-After: 60";
    const notices: [string, string[], number][] = [
        ["of another request does not hold off a sound upstream once more", ["Request-Id: another", heldOff], 200],
        ["without an identifier does not hold off a sound upstream once more", [heldOff], 200],
        ["of another request tells that its upstream is leaving", ["Request-Id: another", "Server-Leaving: 1"], 503],
    ];
    for (const [what, noticeHeaders, status] of notices) {
        test.it(`may get an earlier refusal: one ${what}`, () => {
            const behaviours = [sendBeforeResponse(() => refusal(...noticeHeaders))];
            return withRelay({ behaviours }, async fixture => {
                const statuses: number[] = [];
                for (const identifier of ["request-1", "request-2", "request-3"]) {
                    statuses.push((await fixture.sendRequest({ identifier, body: order })).status);
                }
                earl.expect(statuses).toEqual([200, 502, status]);
                earl.expect(fixture.requestCounts()).toEqual([status === 200 ? 3 : 2]);
            });
        });
    }

    test.it("holds off its upstream by a refusal without an identifier if it was the first on its connection", () => {
        const refuseAll: relayFixture.Behaviour = ({ socket }) => {
            socket.write(refusal(heldOff));
        };
        return withRelay({ behaviours: [refuseAll] }, async fixture => {
            earl.expect((await fixture.sendRequest({ body: order })).status).toEqual(503);
            earl.expect((await fixture.sendRequest({ body: order })).status).toEqual(503);
            earl.expect(fixture.requestCounts()).toEqual([1]);
        });
    });

    test.it("is never not run when earlier refusals arrive at any moment", () => {
        const random = foundation.createRandom(7);
        const running = new Map<string, number>();
        const repeatRefusal: relayFixture.Behaviour = (request, response, body) => {
            const identifier = String(request.headers["request-id"]);
            running.set(identifier, (running.get(identifier) ?? 0) + 1);
            respondWith("done")(request, response, body);
            const headers = random.fraction() < 0.5 ? [] : [`Request-Id: ${identifier}`];
            const delayMilliseconds = Math.floor(random.fraction() * 4);
            setTimeout(() => {
                if (!request.socket.destroyed) {
                    request.socket.write(refusal(...headers));
                }
            }, delayMilliseconds);
        };
        return withRelay({ behaviours: [repeatRefusal, repeatRefusal] }, async ({ sendRequest }) => {
            for (let iteration = 0; iteration < 150; iteration += 1) {
                const identifier = `request-${iteration}`;
                const { status } = await sendRequest({ identifier, body: order });
                earl.expect([200, 502].includes(status)).toEqual(true);
                earl.expect((running.get(identifier) ?? 0) <= 1).toEqual(true);
                await new Promise(resolve => setTimeout(resolve, Math.floor(random.fraction() * 4)));
            }
        });
    });
});

test.describe("a request that was refused", () => {
    /** Creates an upstream that refuses each identifier once, and repeats that refusal on the same connection. */
    const refuseFirst = (sockets: net.Socket[]): relayFixture.Behaviour => {
        const refusedOn = new Map<string, net.Socket>();
        return (request, response, body) => {
            const identifier = String(request.headers["request-id"]);
            sockets.push(request.socket);
            const isFirst = !refusedOn.has(identifier);
            if (isFirst) {
                refusedOn.set(identifier, request.socket);
                response.writeHead(503, { "request-id": identifier, "not-executed": "1", "content-length": 0 });
                response.end();
                return;
            }
            if (refusedOn.get(identifier) === request.socket) {
                request.socket.write(refusal(`Request-Id: ${identifier}`));
            }
            respondWith("done")(request, response, body);
        };
    };

    test.it("is sent to the same upstream on another connection, where its earlier refusal cannot arrive", () => {
        const sockets: net.Socket[] = [];
        const timers = foundation.createVirtualTimerService();
        const options = { behaviours: [refuseFirst(sockets)], isKeyed: true, timers };
        return withRelay(options, async ({ sendRequest, failedAttemptCount }) => {
            const response = sendRequest({ key: 7, body: order });
            earl.expect((await virtualTime.passRetryPauses(timers, failedAttemptCount, response)).status).toEqual(200);
            earl.expect([sockets.length, new Set(sockets).size]).toEqual([2, 2]);
        });
    });

    test.it("is sent on another connection also when its caller uses the identifier again", () => {
        const sockets: net.Socket[] = [];
        return withRelay({ behaviours: [refuseFirst(sockets)], retrySlack: 0 }, async ({ sendRequest }) => {
            const responses = [await sendRequest({ body: order }), await sendRequest({ body: order })];
            earl.expect(responses.map(({ status }) => status)).toEqual([503, 200]);
            earl.expect([sockets.length, new Set(sockets).size]).toEqual([2, 2]);
        });
    });

    test.it("leaves its connection to other requests", () => {
        const sockets: net.Socket[] = [];
        return withRelay({ behaviours: [refuseFirst(sockets)], retrySlack: 0 }, async ({ sendRequest }) => {
            for (const identifier of ["request-1", "request-2", "request-3"]) {
                await sendRequest({ identifier, body: order });
            }
            earl.expect([sockets.length, new Set(sockets).size]).toEqual([3, 1]);
        });
    });

    test.it("may have run if it waited for a connection on which it was refused", async context => {
        const timers = foundation.createVirtualTimerService();
        const failures = foundation.createTransparentFailureBoundary();
        const behaviour = refuseFirst([]);
        const server = http.createServer((request, response) => {
            request.resume();
            request.on("end", () => behaviour(request, response, order));
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const connections = relay.createUpstreamConnections(1, 1);
        context.after(() => {
            connections.close();
            server.close();
            server.closeAllConnections();
        });
        const attempt = (): relay.Attempt =>
            relay.startAttempt({
                timers,
                failures,
                connections,
                host: "127.0.0.1",
                port: (server.address() as net.AddressInfo).port,
                method: "POST",
                path: "/orders/1",
                headers: ["Host", "orders.example", "Request-Id", "request-1"],
                reservation: relay.createByteBudget(Infinity).createReservation(),
                requestIdentifier: "request-1",
                body: { kind: "whole", bytes: order },
                connectTimeoutMilliseconds: 1000,
                onConnected: () => undefined,
                onTransferred: () => undefined,
                onCloseDelimitedEnd: () => undefined,
            });
        const results = await Promise.all([attempt().result, attempt().result]);
        earl.expect(results.map(({ kind }) => kind)).toEqual(["notRun", "unknown"]);
    });
});

test.describe("a request without an identifier", () => {
    test.it("is sent on a connection of its own, as nothing tells whose response arrives", () => {
        const sockets = new Set<net.Socket>();
        const rememberSocket: relayFixture.Behaviour = (request, response) => {
            sockets.add(request.socket);
            response.writeHead(200, { "response-signature": "signature", "content-length": 4 });
            response.end("done");
        };
        return withRelay({ behaviours: [rememberSocket] }, async ({ sendRequest }) => {
            for (let iteration = 0; iteration < 3; iteration += 1) {
                earl.expect((await sendRequest({ identifier: "", body: order })).status).toEqual(200);
            }
            earl.expect(sockets.size).toEqual(3);
        });
    });
});
