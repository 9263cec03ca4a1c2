/** Upstream responses without a length, which only the end of the connection delimits. */
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay } = relayFixture;

const repetitions = 50;

test.describe("a response without a length", () => {
    test.it("gets no length, not even zero, when the upstream closes the connection after the headers", () => {
        const endAfterHeaders: relayFixture.Behaviour = (request, response) => {
            const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${
                request.headers["request-id"]
            }\r\nResponse-Signature: s\r\n\r\n`;
            response.socket?.end(head);
        };
        return withRelay({ behaviours: [endAfterHeaders] }, async ({ sendRequest }) => {
            const response = await sendRequest();
            earl.expect(response.headers["content-length"]).toEqual(undefined);
            earl.expect(response.headers.connection).toEqual("close");
        });
    });

    for (const body of ["", "part"]) {
        test.it(`is unknown when the connection is reset after ${body.length} bytes of the body`, () => {
            const resetMidway: relayFixture.Behaviour = (request, response) => {
                const { socket } = response;
                const head = `Request-Id: ${request.headers["request-id"]}\r\nResponse-Signature: s`;
                socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${body}`);
                setTimeout(() => socket?.resetAndDestroy(), 30);
            };
            return withRelay(
                { behaviours: [resetMidway] },
                async ({ sendRequest }) =>
                    earl.expect((await sendRequest({ body: Buffer.from("order") })).status).toEqual(502),
            );
        });
    }

    test.it("that is reset midway ends in a reset of the caller's connection, also when it is large", () => {
        const resetMidway: relayFixture.Behaviour = (request, response) => {
            const { socket } = response;
            const head = `Request-Id: ${request.headers["request-id"]}\r\nResponse-Signature: s`;
            socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${"x".repeat(400_000)}`);
            setTimeout(() => socket?.resetAndDestroy(), 100);
        };
        return withRelay({ behaviours: [resetMidway] }, async ({ port, openRequestCount }) => {
            const socket = relayFixture.sendWithoutReading(port);
            await virtualTime.waitUntil(() => openRequestCount() === 1);
            await virtualTime.waitUntil(() => openRequestCount() === 0);
            earl.expect(await relayFixture.wasReset(socket)).toEqual(true);
        });
    });

    test.it("is unknown when the connection is reset together with a part of the body", () =>
        withRelay(
            { behaviours: [relayFixture.sendUnframed(20_000, relayFixture.resetConnection)] },
            async ({ sendRequest }) => {
                for (let iteration = 0; iteration < repetitions; iteration += 1) {
                    earl.expect((await sendRequest({ body: Buffer.from("order") })).status).toEqual(502);
                }
            },
        ));

    test.it("that is large never looks complete when the connection is reset together with a part of the body", () =>
        withRelay({ behaviours: [relayFixture.sendUnframed(400_000, relayFixture.resetConnection)] }, async fixture => {
            for (let iteration = 1; iteration <= repetitions; iteration += 1) {
                const socket = relayFixture.sendWithoutReading(fixture.port);
                await virtualTime.waitUntil(() => fixture.finished.length === iteration);
                await virtualTime.waitUntil(() => fixture.openRequestCount() === 0);
                const isStreamed = fixture.finished[iteration - 1].status === 200;
                earl.expect(!isStreamed || await relayFixture.wasReset(socket)).toEqual(true);
                socket.destroy();
            }
        }));

    for (const size of [0, 20_000, 700_000]) {
        test.it(`of ${size} bytes is complete whenever its connection ends regularly`, () =>
            withRelay(
                { behaviours: [relayFixture.sendUnframed(size, relayFixture.endConnection)] },
                async ({ sendRequest }) => {
                    for (let iteration = 0; iteration < repetitions; iteration += 1) {
                        const response = await sendRequest({ body: Buffer.from("order") });
                        earl.expect([response.status, response.isComplete, response.body.length])
                            .toEqual([200, true, size]);
                    }
                },
            ));
    }

    test.it("is forwarded without a length", () =>
        withRelay({
            behaviours: [(request, response) => {
                response.useChunkedEncodingByDefault = false;
                response.writeHead(200, {
                    "request-id": request.headers["request-id"],
                    "response-signature": "signature",
                    "connection": "close",
                });
                response.end("unframed");
            }],
        }, async ({ sendRequest }) => {
            const response = await sendRequest();
            earl.expect(response.body.toString()).toEqual("unframed");
            earl.expect(response.headers["content-length"]).toEqual(undefined);
            earl.expect(response.headers["transfer-encoding"]).toEqual(undefined);
            earl.expect(response.headers.connection).toEqual("close");
        }));
});
