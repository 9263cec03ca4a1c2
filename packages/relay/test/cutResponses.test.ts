/** Upstreams in trouble that break off a response at any byte. */
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const body = "complete body";
const order = Buffer.from("order");

const statusLine = "HTTP/1.1 200 OK\r\n";
const identity = "Request-Id: request-1\r\nResponse-Signature: signature\r\n";

/** Response to a request, with the offset from which on its end without a reset makes it complete. */
interface Framing {
    name: string;
    text: string;
    completeFrom: number;
}

const framing = (name: string, text: string, completeFrom = text.length): Framing => ({ name, text, completeFrom });

const unframedHead = `${statusLine}${identity}\r\n`;
const framings: Framing[] = [
    framing("with a length", `${statusLine}${identity}Content-Length: ${body.length}\r\n\r\n${body}`),
    framing("with its length first", `${statusLine}Content-Length: ${body.length}\r\n${identity}\r\n${body}`),
    framing(
        "in chunks",
        `${statusLine}${identity}Transfer-Encoding: chunked\r\n\r\n8\r\ncomplete\r\n5\r\n body\r\n0\r\n\r\n`,
    ),
    framing(
        "in chunks, with trailers",
        `${statusLine}${identity}Transfer-Encoding: chunked\r\n\r\n8\r\ncomplete\r\n5\r\n body\r\n0\r\nChecksum: 1\r\n\r\n`,
    ),
    framing(
        "after an interim response",
        `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${statusLine}${identity}Content-Length: ${body.length}\r\n\r\n${body}`,
    ),
    framing("without a length", `${unframedHead}${body}`, unframedHead.length),
];

/** Creates an upstream that sends the first bytes of a response, one more for each request, and ends the connection. */
const cutAtEachByte = (
    { text }: Framing,
    endConnection: typeof relayFixture.endConnection,
): { behaviour: relayFixture.Behaviour; sentBytes: () => number; } => {
    let size = -1;
    return {
        behaviour: ({ socket }) => {
            size += 1;
            socket.write(text.slice(0, size), () => endConnection(socket));
        },
        sentBytes: () => size,
    };
};

const bodyOf = ({ name, text }: Framing, size: number): string =>
    name === "without a length" ? text.slice(unframedHead.length, size) : body;

const expectNoCutSuccess = async (
    cut: Framing,
    end: "end" | "reset",
    { sendRequest }: relayFixture.RelayFixture,
    sentBytes: () => number,
): Promise<void> => {
    const isUnframed = cut.completeFrom < cut.text.length;
    for (let size = 0; size <= cut.text.length; size += 1) {
        const response = await sendRequest({ key: 7, body: order });
        earl.expect(sentBytes()).toEqual(size);
        if (response.status === 200) {
            earl.expect(size >= cut.completeFrom && (end === "end" || !isUnframed)).toEqual(true);
            earl.expect([response.isComplete, response.body.toString()]).toEqual([true, bodyOf(cut, size)]);
        }
        else {
            earl.expect(response.status).toEqual(502);
            earl.expect(end === "reset" || size < cut.completeFrom).toEqual(true);
        }
    }
};

test.describe("a response that is broken off", () => {
    for (const cut of framings) {
        for (const end of ["end", "reset"] as const) {
            const endConnection = end === "end" ? relayFixture.endConnection : relayFixture.resetConnection;
            test.it(`${cut.name}, at any byte by ${end} of its connection, is never a complete success`, async () => {
                const { behaviour, sentBytes } = cutAtEachByte(cut, endConnection);
                await relayFixture.withRelay(
                    { behaviours: [behaviour] },
                    fixture => expectNoCutSuccess(cut, end, fixture, sentBytes),
                );
            });

            test.it(`${cut.name}, at any byte by ${end} of its connection, is none through another instance`, async () => {
                const { behaviour, sentBytes } = cutAtEachByte(cut, endConnection);
                await relayFixture.withRelay({ behaviours: [behaviour], isKeyed: true }, second => {
                    const delegate = { identifier: "second", host: "127.0.0.1", port: second.delegatePort };
                    return relayFixture.withRelay(
                        { behaviours: [relayFixture.respondWith("first")], isKeyed: true, delegate },
                        first => expectNoCutSuccess(cut, end, first, sentBytes),
                    );
                });
            });
        }
    }
});
