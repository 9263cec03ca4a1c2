/** Bodies for which an instance has no memory, and callers that would make it keep them. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

/** More than is buffered without a reservation, in bytes, and less than is buffered of one body. */
const bodyBytes = 100_000;
const large = "x".repeat(bodyBytes);
const upload = { body: Buffer.alloc(bodyBytes) };

const head = (identifier: string): string =>
    `GET /orders/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: ${identifier}\r\n\r\n`;

test.describe("the memory for bodies", () => {
    test.it("is reserved up to its limit, and can be reserved again once a request has ended", () => {
        const budget = relay.createByteBudget(300_000);
        const first = budget.createReservation();
        const second = budget.createReservation();
        earl.expect([first.tryReserve(200_000), second.tryReserve(200_000)]).toEqual([true, false]);
        earl.expect([second.tryReserve(100_000), budget.bufferedBytes()]).toEqual([true, 300_000]);
        earl.expect([first.tryReserveStream(), second.tryReserveStream(), first.tryReserveStream()]).toEqual([
            true,
            true,
            false,
        ]);
        first.release();
        first.release();
        earl.expect([first.tryReserve(1), second.tryReserve(200_000), second.tryReserveStream()]).toEqual([
            false,
            true,
            true,
        ]);
        second.release();
        earl.expect(budget.bufferedBytes()).toEqual(0);
    });

    // Guards against instances that end because bodies of many requests exceed the memory of the process.
    test.it("is not exceeded: a body without room is refused as not run, and small requests are served", () =>
        relayFixture.withRelay(
            { behaviours: [relayFixture.respondWith("done")], maxBufferedBytes: 0 },
            async fixture => {
                earl.expect((await fixture.sendRequest(upload)).status).toEqual(503);
                earl.expect(fixture.finished.at(-1)?.reason).toEqual("the instance has no memory for the body");
                earl.expect(fixture.requestCounts()).toEqual([0]);
                earl.expect((await fixture.sendRequest({ body: Buffer.from("order") })).status).toEqual(200);
            },
        ));

    test.it("is not exceeded: the outcome of a request whose response has no room is unknown", () =>
        relayFixture.withRelay(
            { behaviours: [relayFixture.respondWith(large)], maxBufferedBytes: 0 },
            async fixture => {
                earl.expect((await fixture.sendRequest({ body: Buffer.from("order") })).status).toEqual(502);
            },
        ));

    test.it("is used for one request after the other, and bodies that cannot be buffered are streamed", () =>
        relayFixture.withRelay(
            { behaviours: [relayFixture.respondWith(large)], maxBufferedBytes: 150_000 },
            async fixture => {
                for (let count = 0; count < 6; count += 1) {
                    const response = await fixture.sendRequest(upload);
                    earl.expect([response.status, response.body.length, response.isComplete]).toEqual([
                        200,
                        bodyBytes,
                        true,
                    ]);
                    await virtualTime.waitUntil(() => fixture.openRequestCount() === 0);
                }
            },
        ));

    test.it("is returned by a caller that does not take its response, whose connection is reset", () => {
        const timers = foundation.createVirtualTimerService();
        const behaviours = [relayFixture.respondWith("x".repeat(250_000))];
        return relayFixture.withRelay({ behaviours, timers }, async fixture => {
            const socket = net.connect(fixture.port, "127.0.0.1");
            socket.on("error", () => undefined);
            socket.pause();
            // Until the sockets of both sides are full.
            for (let count = 1; fixture.openRequestCount() === 0; count += 1) {
                socket.write(head(`${count}`));
                await virtualTime.waitUntil(() => fixture.finished.length === count);
                for (let turn = 0; turn < 20 && fixture.openRequestCount() > 0; turn += 1) {
                    await new Promise(resolve => setImmediate(resolve));
                }
            }
            socket.write(head("last"));
            await virtualTime.waitUntil(() => fixture.openRequestCount() > 1);
            timers.advance(9000);
            earl.expect(fixture.openRequestCount() > 1).toEqual(true);
            timers.advance(2000);
            await virtualTime.waitUntil(() => fixture.openRequestCount() === 0);
            socket.destroy();
        });
    });
});

test.describe("a caller that sends requests without waiting for responses", () => {
    test.it("has a limited number of them served, and the others refused as not run", () => {
        const served = 16;
        const sent = 40;
        let respond: () => void = () => undefined;
        const mayRespond = new Promise<void>(resolve => {
            respond = resolve;
        });
        const behaviour: relayFixture.Behaviour = (request, response, body) =>
            void mayRespond.then(() => relayFixture.respondWith("done")(request, response, body));
        return relayFixture.withRelay({ behaviours: [behaviour] }, async fixture => {
            const socket = net.connect(fixture.port, "127.0.0.1");
            let received = "";
            socket.on("data", data => {
                received += data.toString();
            });
            const countOf = (status: number): number => received.split(`HTTP/1.1 ${status} `).length - 1;
            socket.write(Array.from({ length: sent }, (...[, index]) => head(`${index}`)).join(""));
            const isRefused = ({ reason }: relay.FinishedRequest): boolean =>
                reason === "too many requests are open on the connection";
            await virtualTime.waitUntil(() => fixture.finished.filter(isRefused).length === sent - served);
            respond();
            await virtualTime.waitUntil(() => countOf(200) + countOf(503) === sent);
            earl.expect(fixture.finished.filter(isRefused).length).toEqual(sent - served);
            const servedCount = countOf(200);
            socket.write(head("next"));
            await virtualTime.waitUntil(() => countOf(200) === servedCount + 1);
            socket.destroy();
        });
    });
});
