/** Requests on a connection whose previous request got its response before its body was read. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

/** More than the relay buffers of a body, so that the rest of it is streamed. */
const bodyBytes = 2 * 1024 * 1024;
const pieceBytes = 64 * 1024;
const timeoutMilliseconds = 1500;

const headOf = (method: string, identifier: string, ...lines: string[]): string =>
    [`${method} /orders/1 HTTP/1.1`, "Host: orders.example", `Request-Id: ${identifier}`, ...lines, "", ""].join(
        "\r\n",
    );

const respondEarly =
    (status: number, headers: Record<string, string>): relayFixture.Behaviour => (request, response) => {
        request.resume();
        response.writeHead(status, { "request-id": request.headers["request-id"], "content-length": 2, ...headers });
        response.end("ok");
    };

/** Starts an upstream that handles the head of a request with a body, and responds to other requests. */
const startUpstream = (onHead: relayFixture.Behaviour, owner: foundation.Owner): Promise<number> =>
    relayFixture.startHeadUpstream((request, response) => {
        const handle = request.method === "POST" ? onHead : relayFixture.respondWith("next");
        handle(request, response, Buffer.alloc(0));
    }, owner);

const cases: [string, relayFixture.Behaviour | undefined, string][] = [
    ["no upstream was ready", undefined, "503"],
    ["its upstream refused it before reading the body", respondEarly(503, { "not-executed": "1" }), "503"],
    ["its upstream responded before reading the body", respondEarly(200, { "response-signature": "signature" }), "200"],
    ["its upstream reset the connection", request => request.socket.resetAndDestroy(), "502"],
    ["its upstream read nothing until the deadline", request => request.pause(), "504"],
];

test.describe("a caller's connection", () => {
    for (const [name, onHead, status] of cases) {
        // Guards against requests without an answer: the rest of the body before them was never read.
        test.it(`serves the next request although the body of the last one was not read: ${name}`, async context => {
            const owner = foundation.createOwner();
            context.after(owner.dispose);
            const timers = foundation.createVirtualTimerService();
            const options = { behaviours: [], timers, timeoutMilliseconds, maxBodyBytes: bodyBytes };
            await relayFixture.withRelay(options, async fixture => {
                let isReached = false;
                if (onHead !== undefined) {
                    const port = await startUpstream((...parameters) => {
                        isReached = true;
                        onHead(...parameters);
                    }, owner);
                    fixture.directory.onEntry(relayFixture.createUpstream("upstream", port, 1), 0);
                }
                const socket = net.connect(fixture.port, "127.0.0.1");
                let received = "";
                socket.on("data", data => {
                    received += data.toString();
                });
                socket.write(headOf("POST", "first", "Request-Deadline-Ms: 1000", `Content-Length: ${bodyBytes}`));
                for (let sentBytes = 0; sentBytes < bodyBytes; sentBytes += pieceBytes) {
                    socket.write(Buffer.alloc(pieceBytes));
                }
                if (status === "504") {
                    await virtualTime.waitUntil(() => isReached);
                    timers.advance(timeoutMilliseconds);
                }
                await virtualTime.waitUntil(() => received.startsWith(`HTTP/1.1 ${status} `));
                await virtualTime.waitUntil(() => socket.writableLength === 0);
                received = "";
                socket.write(headOf("GET", "second"));
                await virtualTime.waitUntil(() => received.startsWith("HTTP/1.1 "));
                const expected = onHead === undefined ? "503" : "200";
                earl.expect(received.startsWith(`HTTP/1.1 ${expected} `)).toEqual(true);
                socket.destroy();
            });
        });
    }

    test.it("is closed if the rest of a body does not arrive after the response", () => {
        const timers = foundation.createVirtualTimerService();
        return relayFixture.withRelay({ behaviours: [], timers, maxBodyBytes: bodyBytes }, async fixture => {
            const socket = net.connect(fixture.port, "127.0.0.1");
            socket.on("error", () => undefined);
            socket.resume();
            socket.write(headOf("POST", "first", `Content-Length: ${bodyBytes}`));
            socket.write(Buffer.alloc(bodyBytes - 1));
            await virtualTime.waitUntil(() => fixture.finished.length === 1 && fixture.openRequestCount() === 0);
            timers.advance(9000);
            earl.expect(socket.closed).toEqual(false);
            timers.advance(2000);
            await virtualTime.waitUntil(() => socket.closed);
        });
    });
});
