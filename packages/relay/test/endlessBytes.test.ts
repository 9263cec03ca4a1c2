/** Upstreams in trouble that send bytes without end, in every part of a response. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const filler = "x".repeat(8192);
const chunk = `2000\r\n${filler}\r\n`;
const shortHeaders = "X-Filler: filler\r\n".repeat(400);
/** Several times what the relay buffers and what the sockets of both sides hold, in bytes. */
const maxSentBytes = 32 * 1024 * 1024;

const head = (status: string, ...headers: string[]) => (requestIdentifier: string): string =>
    [`HTTP/1.1 ${status}`, `Request-Id: ${requestIdentifier}`, ...headers].join("\r\n") + "\r\n\r\n";

const signature = "Response-Signature: signature";
const chunked = "Transfer-Encoding: chunked";

const timeoutMilliseconds = 600;

interface EndlessFixture {
    relay: relayFixture.RelayFixture;
    upstream: emulator.EndlessUpstream;
    /** Lets the deadline of every request pass once a condition holds. */
    passDeadlineWhen: (condition: () => boolean) => Promise<void>;
}

const withEndlessUpstream = async (
    options: emulator.EndlessUpstreamOptions,
    run: (fixture: EndlessFixture) => Promise<void>,
): Promise<void> => {
    const owner = foundation.createOwner();
    const upstream = await emulator.startEndlessUpstream(options, owner);
    try {
        const timers = foundation.createVirtualTimerService();
        await relayFixture.withRelay({ behaviours: [], timeoutMilliseconds, timers }, async fixture => {
            fixture.directory.onEntry(relayFixture.createUpstream("endless", upstream.port, 1), 0);
            const passDeadlineWhen = async (condition: () => boolean): Promise<void> => {
                await virtualTime.waitUntil(condition);
                timers.advance(timeoutMilliseconds);
            };
            await run({ relay: fixture, upstream, passDeadlineWhen });
            await virtualTime.waitUntil(() => upstream.openConnectionCount() === 0);
            earl.expect(upstream.isExhausted()).toEqual(false);
            earl.expect(upstream.sentBytes() < maxSentBytes).toEqual(true);
        });
    }
    finally {
        await owner.dispose();
    }
};

const order = { body: Buffer.from("order"), deadlineMilliseconds: 400 };

test.describe("an upstream that sends without end", () => {
    const failures: [string, emulator.EndlessUpstreamOptions, number][] = [
        ["a status line", { start: () => "HTTP/1.1 200 ", repeated: filler }, 502],
        ["a header", { start: () => "HTTP/1.1 200 OK\r\nX-Filler: ", repeated: filler }, 502],
        ["headers", { start: () => "HTTP/1.1 200 OK\r\n", repeated: shortHeaders }, 502],
        ["bytes that are no response", { start: () => "", repeated: filler }, 502],
        ["interim responses", { start: () => "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(300) }, 502],
        ["a failure without a signature", { start: head("500 Error"), repeated: filler }, 502],
        ["chunks of a failure without a signature", { start: head("500 Error", chunked), repeated: chunk }, 502],
        ["a refusal", { start: head("503 Full", chunked, "Not-Executed: 1"), repeated: chunk }, 502],
        [
            "a signed refusal",
            { start: head("503 Full", chunked, "Not-Executed: 1", signature), repeated: chunk },
            502,
        ],
        ["a chunk extension", { start: head("200 OK", signature, chunked), repeated: `1;${filler}` }, 502],
        [
            "trailers",
            { start: id => `${head("200 OK", signature, chunked)(id)}0\r\n`, repeated: shortHeaders },
            502,
        ],
        ["a head, a few bytes at a time", { start: () => "HTTP", repeated: " ", intervalMilliseconds: 10 }, 502],
    ];
    for (const [part, options, status] of failures) {
        test.it(`in ${part} is disconnected, and the outcome is unknown`, () =>
            withEndlessUpstream(options, async ({ relay }) => {
                earl.expect((await relay.sendRequest(order)).status).toEqual(status);
            }));
    }

    test.it("in a body, a few bytes at a time, is disconnected at the deadline, and the outcome is unknown", () =>
        withEndlessUpstream(
            { start: head("200 OK", signature, chunked), repeated: "1\r\nx\r\n", intervalMilliseconds: 10 },
            async ({ relay, upstream, passDeadlineWhen }) => {
                const pendingResponse = relay.sendRequest(order);
                await passDeadlineWhen(() => upstream.sentBytes() > 0);
                earl.expect((await pendingResponse).status).toEqual(504);
            },
        ));

    test.it("behind a complete response is disconnected, and the caller gets the response", () =>
        withEndlessUpstream(
            { start: id => `${head("200 OK", signature, "Content-Length: 4")(id)}done`, repeated: filler },
            async ({ relay }) => {
                const response = await relay.sendRequest(order);
                earl.expect([response.status, response.body.toString()]).toEqual([200, "done"]);
            },
        ));

    test.it("in the chunks of a body is disconnected at the caller's deadline, and the response is incomplete", () =>
        withEndlessUpstream(
            { start: head("200 OK", signature, chunked), repeated: chunk, intervalMilliseconds: 1 },
            async ({ relay, passDeadlineWhen }) => {
                const pendingResponse = relay.sendRequest(order);
                await passDeadlineWhen(() => relay.finished.length === 1);
                const response = await pendingResponse;
                earl.expect([response.status, response.isComplete]).toEqual([200, false]);
            },
        ));

    test.it("in the chunks of a body is disconnected after the route's timeout if the caller waits longer", () =>
        withEndlessUpstream(
            { start: head("200 OK", signature, chunked), repeated: chunk, intervalMilliseconds: 1 },
            async ({ relay, passDeadlineWhen }) => {
                const pendingResponse = relay.sendRequest({ ...order, deadlineMilliseconds: 60_000 });
                await passDeadlineWhen(() => relay.finished.length === 1);
                const response = await pendingResponse;
                earl.expect([response.status, response.isComplete]).toEqual([200, false]);
            },
        ));

    test.it("in a body without a length is disconnected, and the response is incomplete", () =>
        withEndlessUpstream(
            { start: head("200 OK", signature), repeated: filler, intervalMilliseconds: 1 },
            async ({ relay, upstream, passDeadlineWhen }) => {
                const pendingResponse = relay.sendRequest({ ...order, deadlineMilliseconds: 400 });
                await passDeadlineWhen(() => relay.finished.length === 1);
                await virtualTime.waitUntil(() => upstream.openConnectionCount() === 0);
                await virtualTime.waitUntil(() => relay.openRequestCount() === 0);
                const response = await pendingResponse;
                earl.expect([response.status, response.isComplete]).toEqual([200, false]);
            },
        ));
});
