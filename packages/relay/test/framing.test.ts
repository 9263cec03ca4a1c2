/** Upstream responses without a length, which only the end of the connection delimits, and how responses are framed for callers. */
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const { withRelay } = relayFixture;

const repetitions = 50;
/** Size of a body that is too large to be buffered, in bytes. */
const streamedBytes = 400_000;

test.describe("a response without a length", () => {
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

    // Guards against a part of a body that a caller takes for the whole, as its data and the reset arrive together.
    test.it("that is streamed and reset together with a further part is incomplete for the caller", () => {
        let connection: net.Socket | undefined;
        const startBody: relayFixture.Behaviour = (request, { socket }) => {
            connection = socket ?? undefined;
            const head = `Request-Id: ${request.headers["request-id"]}\r\nResponse-Signature: s`;
            socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${"x".repeat(streamedBytes)}`);
        };
        const sendPartAndReset = (): void => {
            connection?.write("x".repeat(20_000), () => connection?.resetAndDestroy());
        };
        return withRelay({ behaviours: [startBody] }, async ({ port }) => {
            for (let iteration = 0; iteration < repetitions; iteration += 1) {
                earl.expect(await relayFixture.receive(port, streamedBytes, sendPartAndReset)).toEqual(false);
            }
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

    test.it("that is large never looks complete to a caller when the connection is reset together with a part of the body", () =>
        withRelay(
            { behaviours: [relayFixture.sendUnframed(400_000, relayFixture.resetConnection)] },
            async ({ sendRequest }) => {
                for (let iteration = 0; iteration < repetitions; iteration += 1) {
                    const { status, isComplete } = await sendRequest({ body: Buffer.from("order") });
                    earl.expect(status === 502 || (status === 200 && !isComplete)).toEqual(true);
                }
            },
        ));

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

    for (
        const [size, framing] of [[0, "content-length"], [20_000, "content-length"], [
            700_000,
            "transfer-encoding",
        ]] as const
    ) {
        test.it(`of ${size} bytes is forwarded with a ${framing}, on a connection that is kept`, () =>
            withRelay(
                { behaviours: [relayFixture.sendUnframed(size, relayFixture.endConnection)] },
                async ({ sendRequest }) => {
                    const { headers } = await sendRequest({ headers: { connection: "keep-alive" } });
                    const expected = framing === "content-length" ? String(size) : "chunked";
                    earl.expect(headers[framing]).toEqual(expected);
                    earl.expect(headers.connection).toEqual("keep-alive");
                },
            ));
    }
});

const largeBytes = 700_000;

/** Creates the behaviour of an upstream that sends a signed response with the framing of Node.js. */
const sendFramed = (size: number, hasLength: boolean): relayFixture.Behaviour => (request, response) => {
    response.writeHead(200, {
        "request-id": request.headers["request-id"],
        "response-signature": "s",
        ...(hasLength ? { "content-length": size } : {}),
    });
    response.end("x".repeat(size));
};

/** Sends a request of HTTP/1.0 and returns the head of the response and the size of its body. */
const sendOldRequest = (port: number): Promise<{ head: string; bodyBytes: number; }> =>
    new Promise((resolve, reject) => {
        const socket = net.connect(port, "127.0.0.1");
        const chunks: Buffer[] = [];
        socket.on("error", reject);
        socket.on("data", chunk => chunks.push(chunk));
        socket.on("end", () => {
            const text = Buffer.concat(chunks).toString("latin1");
            const [head] = text.split("\r\n\r\n", 1);
            resolve({ head: head.toLowerCase(), bodyBytes: text.length - head.length - 4 });
        });
        socket.write("GET /orders/1 HTTP/1.0\r\nHost: orders.example\r\nRequest-Id: a\r\n\r\n");
    });

test.describe("a caller that speaks HTTP/1.0", () => {
    const responses: [string, relayFixture.Behaviour, number][] = [
        ["without a length", relayFixture.sendUnframed(20_000, relayFixture.endConnection), 20_000],
        ["in chunks", sendFramed(20_000, false), 20_000],
        ["with a length, which is streamed", sendFramed(largeBytes, true), largeBytes],
    ];
    for (const [name, behaviour, size] of responses) {
        test.it(`gets a response ${name} with its length`, () =>
            withRelay({ behaviours: [behaviour] }, async ({ port }) => {
                const { head, bodyBytes } = await sendOldRequest(port);
                earl.expect(head.startsWith("http/1.1 200 ")).toEqual(true);
                earl.expect(head.includes(`\r\ncontent-length: ${size}`)).toEqual(true);
                earl.expect(bodyBytes).toEqual(size);
            }));
    }

    const unframable: [string, relayFixture.Behaviour][] = [
        ["without a length", relayFixture.sendUnframed(largeBytes, relayFixture.endConnection)],
        ["in chunks", sendFramed(largeBytes, false)],
    ];
    for (const [name, behaviour] of unframable) {
        test.it(`gets 502 in place of a response ${name} that is too large to be buffered`, () =>
            withRelay({ behaviours: [behaviour] }, async ({ port }) => {
                const { head } = await sendOldRequest(port);
                earl.expect(head.startsWith("http/1.1 502 ")).toEqual(true);
                earl.expect(head.includes("transfer-encoding")).toEqual(false);
            }));
    }
});
