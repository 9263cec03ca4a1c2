/** Requests at an instance that is stopping. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const order = { deadlineMilliseconds: 5000, body: Buffer.from("order") };

const neverRespond: relayFixture.Behaviour = () => undefined;

const respondWithRemainingTime: relayFixture.Behaviour = (request, response, body) =>
    relayFixture.respondWith(String(request.headers["request-deadline-ms"]))(request, response, body);

/** A caller's connection on which a request is sent piece by piece. */
interface PieceCaller {
    socket: net.Socket;
    received: () => string;
    hasFailed: () => boolean;
}

/** Sends the head of a request and the first bytes of its body. */
const startSending = (port: number, bodyLength: number, start: string, method = "POST"): PieceCaller => {
    let received = "";
    let hasFailed = false;
    const socket = net.connect(port, "127.0.0.1");
    socket.on("error", () => {
        hasFailed = true;
    });
    socket.on("data", data => {
        received += data.toString();
    });
    const framing = method === "POST" ? [`Content-Length: ${bodyLength}`] : [];
    const lines = ["Host: orders.example", "Request-Id: a", "Request-Deadline-Ms: 1500", ...framing];
    socket.write([`${method} /orders/1 HTTP/1.1`, ...lines, "", start].join("\r\n"));
    return { socket, received: () => received, hasFailed: () => hasFailed };
};

test.describe("a stopping instance", () => {
    test.it("responds to an open request before its connections close", () => {
        const timers = foundation.createVirtualTimerService();
        const options = { behaviours: [neverRespond], timeoutMilliseconds: 5000, timers };
        return relayFixture.withRelay(options, async fixture => {
            const pendingResponse = fixture.sendRequest(order);
            await virtualTime.waitUntil(() => fixture.requestCounts()[0] === 1);
            fixture.stopAt(timers.now() + 1000);
            await virtualTime.advance(timers, 1000);
            earl.expect((await pendingResponse).status).toEqual(504);
        });
    });

    // Guards against requests that are cut at the end of a planned stop while an upstream works on them.
    test.it("refuses a new request at once if its deadline is later than the stop, whatever time the upstreams need", () =>
        relayFixture.withRelay({
            behaviours: [relayFixture.respondWith("done")],
            timeoutMilliseconds: 5000,
            shouldCloseConnections: true,
        }, async fixture => {
            earl.expect((await fixture.sendRequest(order)).status).toEqual(200);
            fixture.stopAt(4999);
            const response = await fixture.sendRequest(order);
            earl.expect([response.status, response.headers.connection]).toEqual([503, "close"]);
            earl.expect(Number(response.headers["retry-after"]) > 0).toEqual(true);
            earl.expect(fixture.finished.at(-1)?.reason).toEqual("the instance is stopping");
            earl.expect(fixture.requestCounts()).toEqual([1]);
        }));

    for (const [method, body] of [["GET", ""], ["POST", "order"]]) {
        // Guards against callers that send to a stopping instance again and again, as their connections stay open.
        test.it(`closes the connection of a refused ${method} request that was read whole`, () =>
            relayFixture.withRelay({ behaviours: [neverRespond], shouldCloseConnections: true }, async fixture => {
                fixture.stopAt(0);
                const caller = startSending(fixture.port, body.length, body, method);
                await virtualTime.waitUntil(() => caller.socket.closed);
                earl.expect(caller.received().startsWith("HTTP/1.1 503 ")).toEqual(true);
                earl.expect(caller.received().includes("\r\nConnection: close\r\n")).toEqual(true);
            }));
    }

    test.it("serves a new request whose deadline is before the stop, with all of its time", () =>
        relayFixture.withRelay(
            { behaviours: [respondWithRemainingTime], shouldCloseConnections: true },
            async fixture => {
                fixture.stopAt(1500);
                const response = await fixture.sendRequest({ deadlineMilliseconds: 1500 });
                earl.expect([response.status, response.headers.connection]).toEqual([200, "close"]);
                earl.expect(Number(response.body.toString())).toEqual(1500);
            },
        ));

    test.it("gives upstreams no more time than it has left for a request that it had begun to read", () =>
        relayFixture.withRelay({ behaviours: [respondWithRemainingTime] }, async fixture => {
            const caller = startSending(fixture.port, 5, "or");
            await virtualTime.waitUntil(() => fixture.openRequestCount() === 1);
            fixture.stopAt(600);
            caller.socket.write("der");
            await virtualTime.waitUntil(() => caller.received().endsWith("600"));
            earl.expect(caller.received().startsWith("HTTP/1.1 200 ")).toEqual(true);
            caller.socket.destroy();
        }));

    // Guards against responses that are lost as the connection is reset, because the rest of the request was not read.
    test.it("does not close the connection of a refused request whose body is still being sent", () => {
        const pieceBytes = 20_000;
        const pieces = 60;
        return relayFixture.withRelay({
            behaviours: [neverRespond],
            shouldCloseConnections: true,
            maxBodyBytes: 10_000_000,
        }, async fixture => {
            fixture.stopAt(0);
            const caller = startSending(fixture.port, pieceBytes * pieces, "x".repeat(pieceBytes));
            await virtualTime.waitUntil(() => caller.received().endsWith("the instance is stopping\n"));
            earl.expect(caller.received().startsWith("HTTP/1.1 503 ")).toEqual(true);
            for (let piece = 1; piece < pieces; piece += 1) {
                await new Promise(resolve => caller.socket.write("x".repeat(pieceBytes), resolve));
            }
            await virtualTime.waitUntil(() => caller.socket.writableLength === 0);
            earl.expect([caller.hasFailed(), caller.socket.closed]).toEqual([false, false]);
            caller.socket.destroy();
        });
    });
});
