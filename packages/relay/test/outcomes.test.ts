/** The outcome that a caller gets for each result of an attempt. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay } = relayFixture;

const closeConnection: relayFixture.Behaviour = request => request.socket.destroy();

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

test.describe("the outcome of a request", () => {
    test.it("is the upstream's response, unchanged", () =>
        withRelay({ behaviours: [relayFixture.respondWith("done")] }, async ({ sendRequest }) => {
            const response = await sendRequest({ body: Buffer.from("order") });
            earl.expect(response.status).toEqual(200);
            earl.expect(response.body.toString()).toEqual("done");
            earl.expect(response.headers["response-signature"]).toEqual("signature");
            earl.expect(response.headers["request-id"]).toEqual("request-1");
        }));

    test.it("is the response of another upstream when one refuses to run the request", () =>
        withRelay({ behaviours: [relayFixture.refuse, relayFixture.respondWith("done")] }, async fixture => {
            for (let iteration = 0; iteration < 6; iteration += 1) {
                earl.expect((await fixture.sendRequest({ body: Buffer.from("order") })).status).toEqual(200);
            }
            earl.expect(fixture.requestCounts()[1]).toEqual(6);
        }));

    test.it("is not run, with a time to retry, when every upstream refuses", () =>
        withRelay({ behaviours: [relayFixture.refuse] }, async ({ sendRequest }) => {
            const response = await sendRequest();
            earl.expect(response.status).toEqual(503);
            earl.expect(Number(response.headers["retry-after"]) > 0).toEqual(true);
        }));

    test.it("is unknown, without a retry, when a request that is not idempotent may have run", () =>
        withRelay({ behaviours: [closeConnection, closeConnection, closeConnection] }, async fixture => {
            const response = await fixture.sendRequest({ body: Buffer.from("order") });
            earl.expect(response.status).toEqual(502);
            earl.expect(sum(fixture.requestCounts())).toEqual(1);
        }));

    test.it("is the response of a second attempt when the request is idempotent", () =>
        withRelay(
            { behaviours: [closeConnection, relayFixture.respondWith("done")], kind: routing.RouteKind.idempotent },
            async ({ sendRequest }) => {
                for (let iteration = 0; iteration < 4; iteration += 1) {
                    earl.expect((await sendRequest()).status).toEqual(200);
                }
            },
        ));

    test.it("is unknown after a response to another request", () =>
        withRelay({
            behaviours: [(...[, response]) => {
                response.writeHead(200, {
                    "request-id": "another",
                    "response-signature": "signature",
                    "content-length": 2,
                });
                response.end("no");
            }],
        }, async ({ sendRequest }) => earl.expect((await sendRequest()).status).toEqual(502)));

    test.it("is unknown after a successful response without a signature", () =>
        withRelay({
            behaviours: [(request, response) => {
                response.writeHead(200, { "request-id": request.headers["request-id"], "content-length": 2 });
                response.end("no");
            }],
        }, async ({ sendRequest }) => earl.expect((await sendRequest()).status).toEqual(502)));

    for (const status of [408, 429, 503]) {
        const failWithout: relayFixture.Behaviour = (request, response) => {
            response.writeHead(status, {
                "request-id": request.headers["request-id"],
                "response-signature": "signature",
                "content-length": 6,
            });
            response.end("failed");
        };

        test.it(`is unknown after a status ${status} that does not say that a request to run once has not run`, () =>
            withRelay({ behaviours: [failWithout, failWithout] }, async fixture => {
                const response = await fixture.sendRequest({ body: Buffer.from("order") });
                earl.expect([response.status, response.headers["response-signature"]]).toEqual([502, undefined]);
                earl.expect(sum(fixture.requestCounts())).toEqual(1);
            }));

        test.it(`is a status ${status} of the upstream, unchanged, if the request is idempotent`, () =>
            withRelay({ behaviours: [failWithout], kind: routing.RouteKind.idempotent }, async ({ sendRequest }) => {
                const { status: received, headers, body } = await sendRequest();
                earl.expect([received, headers["response-signature"], body.toString()])
                    .toEqual([status, "signature", "failed"]);
            }));
    }

    test.it("is never a truncated response that looks complete", () =>
        withRelay({
            behaviours: [(request, response) => {
                response.writeHead(200, {
                    "request-id": request.headers["request-id"],
                    "response-signature": "signature",
                    "content-length": 1000,
                });
                response.write("part");
                setTimeout(() => request.socket.destroy(), 20);
            }],
        }, async ({ sendRequest }) => earl.expect((await sendRequest()).status).toEqual(502)));

    test.it("is a complete response even if it is large", () => {
        const large = "x".repeat(700_000);
        return withRelay({ behaviours: [relayFixture.respondWith(large)] }, async ({ sendRequest }) => {
            const response = await sendRequest();
            earl.expect(response.isComplete).toEqual(true);
            earl.expect(response.body.length).toEqual(large.length);
        });
    });

    test.it("is a timeout after the route's limit, and the attempt is aborted", () => {
        const timers = foundation.createVirtualTimerService();
        return withRelay({ behaviours: [() => undefined], timeoutMilliseconds: 120, timers }, async fixture => {
            const pendingResponse = fixture.sendRequest();
            await virtualTime.waitUntil(() => fixture.requestCounts()[0] === 1);
            await virtualTime.advance(timers, 120);
            earl.expect((await pendingResponse).status).toEqual(504);
            await virtualTime.waitUntil(() => fixture.abortedCounts()[0] > 0);
            earl.expect(fixture.abortedCounts()).toEqual([1]);
        });
    });

    test.it("is an aborted attempt when the caller disconnects", () => {
        const timers = foundation.createVirtualTimerService();
        return withRelay({ behaviours: [() => undefined], timers }, async fixture => {
            const departure = fixture.sendAndDisconnect(80);
            await virtualTime.waitUntil(() => fixture.requestCounts()[0] === 1);
            await virtualTime.advance(timers, 80);
            await virtualTime.waitUntil(() => fixture.abortedCounts()[0] > 0);
            await virtualTime.advance(timers, 80);
            await departure;
            earl.expect(fixture.requestCounts()).toEqual([1]);
            earl.expect(fixture.abortedCounts()).toEqual([1]);
        });
    });

    test.it("is not run while no document is known", () =>
        withRelay({ behaviours: [], hasDocument: false }, async ({ sendRequest }) => {
            earl.expect((await sendRequest()).status).toEqual(503);
        }));

    test.it("is not found without a route, and too large when the body exceeds the limit", () =>
        withRelay({ behaviours: [relayFixture.respondWith("done")] }, async fixture => {
            earl.expect((await fixture.sendRequest({ path: "/other/1" })).status).toEqual(404);
            earl.expect((await fixture.sendRequest({ host: "other.example" })).status).toEqual(404);
            earl.expect((await fixture.sendRequest({ body: Buffer.alloc(100_001) })).status).toEqual(413);
            earl.expect(fixture.requestCounts()).toEqual([0]);
        }));

    test.it("is retried at the owner of its key only when the owner has no queue", async () => {
        const timers = foundation.createVirtualTimerService();
        const idleOwner = { behaviours: [relayFixture.refuseOnce("1,0,4")], isKeyed: true, timers };
        await withRelay(idleOwner, async ({ sendRequest, failedAttemptCount }) => {
            const response = sendRequest({ key: 7 });
            earl.expect((await virtualTime.passRetryPauses(timers, failedAttemptCount, response)).status).toEqual(200);
        });
        const busyOwner = { behaviours: [relayFixture.refuseOnce("4,20,4")], isKeyed: true };
        await withRelay(busyOwner, async fixture => {
            earl.expect((await fixture.sendRequest({ key: 7 })).status).toEqual(503);
            earl.expect(fixture.requestCounts()).toEqual([1]);
        });
    });

    test.it("is an immediate refusal when no upstream is ready", () =>
        withRelay({ behaviours: [] }, async ({ sendRequest }) => {
            earl.expect((await sendRequest()).status).toEqual(503);
        }));

    test.it("is a refusal after a few attempts when no upstream accepts a connection", () =>
        withRelay({ behaviours: [] }, async fixture => {
            for (const [index, port] of [1, 2, 3].entries()) {
                fixture.directory.onEntry(relayFixture.createUpstream(`closed-${index}`, port, 100 + index), 0);
            }
            earl.expect((await fixture.sendRequest()).status).toEqual(503);
            earl.expect(fixture.finished[0].attempts <= 5).toEqual(true);
        }));

    test.it("comes from an attempt that carries at most the remaining time and its upstream's identifier", () =>
        withRelay({
            behaviours: [(request, response) => {
                const { headers } = request;
                const text = JSON.stringify([headers["request-deadline-ms"], headers["target-instance"]]);
                relayFixture.respondWith(text)(request, response, Buffer.alloc(0));
            }],
        }, async ({ sendRequest }) => {
            const response = await sendRequest({ deadlineMilliseconds: 700 });
            const [remaining, targetInstance] = JSON.parse(response.body.toString()) as [string, string];
            earl.expect(Number(remaining) <= 700 && Number(remaining) > 0).toEqual(true);
            earl.expect(targetInstance).toEqual("upstream-0");
        }));

    test.it("is a rejection, with nothing forwarded, when a request is smuggled behind ambiguous framing", () =>
        withRelay({ behaviours: [relayFixture.respondWith("done")] }, async fixture => {
            const socket = net.connect(fixture.port, "127.0.0.1");
            const received = new Promise<string>(resolve => {
                let text = "";
                socket.on("data", data => {
                    text += data.toString();
                });
                socket.on("close", () => resolve(text));
            });
            socket.write(
                "POST /orders/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: a\r\nContent-Length: 4\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /orders/2 HTTP/1.1\r\nHost: orders.example\r\n\r\n",
            );
            earl.expect((await received).startsWith("HTTP/1.1 400")).toEqual(true);
            earl.expect(fixture.requestCounts()).toEqual([0]);
        }));
});
