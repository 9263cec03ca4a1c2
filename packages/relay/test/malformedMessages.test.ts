/** Messages that the HTTP parser accepts and that cannot be forwarded. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const { withRelay } = relayFixture;

/** Creates an upstream behaviour that sends these bytes as its response. */
const respondWithBytes = (head: string): relayFixture.Behaviour => (request, response) => {
    const common = `Request-Id: ${request.headers["request-id"]}\r\nResponse-Signature: signature\r\nContent-Length: 2`;
    response.socket?.write(Buffer.from(`HTTP/1.1 ${head}\r\n${common}\r\n\r\nok`, "latin1"));
};

/** Sends bytes on a connection of their own and returns the status line of the response. */
const sendBytes = (port: number, text: string): Promise<string> =>
    new Promise(resolve => {
        const socket = net.connect(port, "127.0.0.1", () => socket.write(Buffer.from(text, "latin1")));
        socket.on("error", () => resolve("no response"));
        socket.on("close", () => resolve("no response"));
        socket.once("data", data => {
            resolve(data.toString("latin1").split("\r\n")[0]);
            socket.destroy();
        });
    });

test.describe("a response that cannot be forwarded", () => {
    const heads: [string, string][] = [
        ["a header whose name is no token", "200 OK\r\nPHP Warning: cache is stale"],
        ["the status 000", "000 OK"],
        ["a status below 100", "099 OK"],
        ["a status above 599", "999 OK"],
        ["a refusal with a header whose name is no token", "503 Full\r\nNot-Executed: 1\r\nPHP Warning: stale"],
    ];
    for (const [name, head] of heads) {
        // Guards against the end of an instance, with all of its requests, by one response that cannot be forwarded (review case 3).
        test.it(`does not end the process: ${name} is answered 502, and other requests are served`, () =>
            withRelay({ behaviours: [respondWithBytes(head)] }, async fixture => {
                const response = await fixture.sendRequest({ body: Buffer.from("order") });
                earl.expect([response.status, response.isComplete]).toEqual([502, true]);
                earl.expect(fixture.requestCounts()).toEqual([1]);
                earl.expect(fixture.finished.length).toEqual(1);
                earl.expect((await fixture.sendRequest({ host: "unknown.example" })).status).toEqual(404);
            }));
    }

    test.it("is replaced by that of another upstream if the request may run twice", () => {
        let responseCount = 0;
        const respondFirstMalformed: relayFixture.Behaviour = (request, response, body) => {
            responseCount += 1;
            const respond = responseCount === 1
                ? respondWithBytes("200 OK\r\nPHP Warning: cache is stale")
                : relayFixture.respondWith("done");
            respond(request, response, body);
        };
        return withRelay({
            kind: routing.RouteKind.idempotent,
            behaviours: [respondFirstMalformed, respondFirstMalformed],
        }, async ({ sendRequest, requestCounts }) => {
            earl.expect((await sendRequest()).body.toString()).toEqual("done");
            earl.expect(requestCounts()).toEqual([1, 1]);
        });
    });
});

test.describe("a request that cannot be forwarded", () => {
    const requests: [string, string][] = [
        ["a header whose name is no token", "GET /orders/1 HTTP/1.1\r\nPHP Warning: stale\r\n"],
        ["a tab in its target", "GET /orders/1\t2 HTTP/1.1\r\n"],
        ["a form feed in its target", "GET /orders/1\f2 HTTP/1.1\r\n"],
    ];
    for (const [name, head] of requests) {
        test.it(`does not end the process: ${name} is answered 400 without an attempt`, () =>
            withRelay({ behaviours: [relayFixture.respondWith("done")] }, async fixture => {
                const status = await sendBytes(fixture.port, `${head}Host: orders.example\r\nRequest-Id: a\r\n\r\n`);
                earl.expect(status).toEqual("HTTP/1.1 400 Bad Request");
                earl.expect(fixture.requestCounts()).toEqual([0]);
                earl.expect((await fixture.sendRequest()).status).toEqual(200);
            }));
    }
});

test.describe("an attempt that cannot be sent", () => {
    test.it("does not end the process: a port that does not exist is refused, as the request has not run", () =>
        withRelay({ behaviours: [] }, async fixture => {
            fixture.directory.onEntry(relayFixture.createUpstream("upstream-0", 80_800, 1), 0);
            earl.expect((await fixture.sendRequest({ body: Buffer.from("order") })).status).toEqual(503);
            earl.expect(fixture.finished.map(({ reason }) => reason)).toEqual(["upstreams refused it"]);
        }));
});

test.describe("a request whose handling throws", () => {
    const throwing = (): never => {
        throw new Error("thrown by the test");
    };
    test.it("is refused if no attempt was started", () =>
        withRelay(
            {
                behaviours: [relayFixture.respondWith("done")],
                isKeyed: true,
                isOwnerKnown: throwing,
                failingParts: ["request"],
            },
            async fixture => {
                const response = await fixture.sendRequest({ key: 1 });
                earl.expect([response.status, response.headers["retry-after"] !== undefined]).toEqual([503, true]);
                earl.expect(fixture.openRequestCount()).toEqual(0);
            },
        ));

    test.it("is answered 502 if an attempt was started", () => {
        let count = 0;
        const throwLater = (): boolean => {
            count += 1;
            return count === 1 ? true : throwing();
        };
        return withRelay({
            behaviours: [relayFixture.refuseOnce("0,0,4")],
            isKeyed: true,
            isOwnerKnown: throwLater,
            failingParts: ["request"],
        }, async fixture => {
            earl.expect((await fixture.sendRequest({ key: 1 })).status).toEqual(502);
            earl.expect(fixture.requestCounts()).toEqual([1]);
            earl.expect(fixture.finished.map(({ reason }) => reason)).toEqual(["an internal error"]);
        });
    });

    test.it("is answered 503 if it throws on its arrival", () =>
        withRelay({
            behaviours: [relayFixture.respondWith("done")],
            documentInForce: throwing,
            failingParts: ["request"],
        }, async fixture => {
            earl.expect((await fixture.sendRequest()).status).toEqual(503);
        }));
});

test.describe("a failure boundary", () => {
    test.it("records the part, the input and where the exception comes from, and never throws", async () => {
        const events: foundation.EventFields[] = [];
        const failures = foundation.createFailureBoundary({
            write: (event, fields) => {
                events.push({ event, ...fields });
                throw new Error("the log fails too");
            },
            sample: () => undefined,
        });
        failures.run("topic record", () => JSON.parse("{"), { key: "server-1" });
        failures.watch("commit", Promise.reject(new Error("x".repeat(5000))));
        await new Promise(resolve => setImmediate(resolve));
        const [first, second] = events;
        earl.expect([first.event, first.part, first.key, first.error]).toEqual([
            "internal-error",
            "topic record",
            "server-1",
            "SyntaxError",
        ]);
        earl.expect(String(first.stack)).toEqual(earl.expect.includes("malformedMessages.test"));
        earl.expect(String(second.message).length).toEqual(300);
        earl.expect([...failures.counts()]).toEqual([["topic record", 1], ["commit", 1]]);
    });
});
