/** Upstreams in trouble whose responses are framed ambiguously, or are no responses in the protocol. */
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const order = Buffer.from("order");

const identity = ["Request-Id: request-1", "Response-Signature: signature"];

const head = (...lines: string[]): string => ["HTTP/1.1 200 OK", ...identity, ...lines].join("\r\n") + "\r\n\r\n";

const sendBytes = (text: string): relayFixture.Behaviour => ({ socket }) => {
    socket.write(text, () => relayFixture.endConnection(socket));
};

const chunked = "Transfer-Encoding: chunked";
const twoChunks = "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n";

test.describe("a malformed response", () => {
    const faults: [string, string][] = [
        ["with two lengths", `${head("Content-Length: 4", "Content-Length: 2")}done`],
        ["with two lengths in one line", `${head("Content-Length: 4, 2")}done`],
        ["with the same length twice", `${head("Content-Length: 4", "Content-Length: 4")}done`],
        ["with a length and chunks", `${head("Content-Length: 4", chunked)}${twoChunks}`],
        ["with chunks and a length", `${head(chunked, "Content-Length: 4")}${twoChunks}`],
        ["with a negative length", `${head("Content-Length: -4")}done`],
        ["with a signed length", `${head("Content-Length: +4")}done`],
        ["with a length that is no number", `${head("Content-Length: 0x4")}done`],
        ["with a fraction as length", `${head("Content-Length: 4.0")}done`],
        ["with an empty length", `${head("Content-Length: ")}done`],
        ["with a length beyond its body", `${head("Content-Length: 5")}done`],
        ["with a length beyond all numbers", `${head("Content-Length: 99999999999999999999999")}done`],
        ["with another transfer encoding", `${head("Transfer-Encoding: identity")}done`],
        ["with a compressed transfer encoding", `${head("Transfer-Encoding: gzip, chunked")}${twoChunks}`],
        ["with an encoding behind its chunks", `${head("Transfer-Encoding: chunked, gzip")}${twoChunks}`],
        ["with two transfer encodings", `${head(chunked, "Transfer-Encoding: identity")}${twoChunks}`],
        ["with chunks twice", `${head(chunked, chunked)}${twoChunks}`],
        ["with a content encoding", `${head("Content-Encoding: gzip", "Content-Length: 4")}done`],
        ["with a chunk size that is no number", `${head(chunked)}x\r\nab\r\n0\r\n\r\n`],
        ["with a negative chunk size", `${head(chunked)}-2\r\nab\r\n0\r\n\r\n`],
        ["with a chunk larger than its size", `${head(chunked)}2\r\nabc\r\n0\r\n\r\n`],
        ["with a chunk size beyond all numbers", `${head(chunked)}${"f".repeat(20)}\r\nab\r\n0\r\n\r\n`],
        ["with a space before a colon", `${head("Content-Length : 4")}done`],
        ["with a folded line", `${head("X-Folded: a\r\n b", "Content-Length: 4")}done`],
        ["with another head in its head", `${head("HTTP/1.1 200 OK", "Content-Length: 4")}done`],
        ["with a line that is no header", `${head("done", "Content-Length: 4")}done`],
        ["with a carriage return in a header", `${head("X-Filler: a\rb", "Content-Length: 4")}done`],
        ["with a zero byte in a header", `${head("X-Filler: a\0b", "Content-Length: 4")}done`],
        ["with line feeds only", head("Content-Length: 4").replaceAll("\r\n", "\n") + "done"],
        ["of another protocol", head("Content-Length: 4").replace("HTTP/1.1", "RTSP/1.0") + "done"],
        ["of another version", head("Content-Length: 4").replace("HTTP/1.1", "HTTP/3.0") + "done"],
        ["with an encoded body", `${head("Content-Encoding: identity, gzip", "Content-Length: 4")}done`],
        ["that switches protocols", head().replace("200 OK", "101 Switching Protocols") + "done"],
        ["of interim responses only", head().replace("200 OK", "103 Early Hints")],
        ["with two identifiers", `${head("Request-Id: request-1", "Content-Length: 4")}done`],
    ];
    for (const [fault, text] of faults) {
        test.it(`${fault} is no success`, () =>
            relayFixture.withRelay({ behaviours: [sendBytes(text)] }, async fixture => {
                const response = await fixture.sendRequest({ body: order });
                earl.expect([response.status, response.headers["response-signature"]]).toEqual([502, undefined]);
                earl.expect(fixture.requestCounts()).toEqual([1]);
            }));
    }
});

test.describe("a complete response", () => {
    const length = "Content-Length: 4";
    const surplus: [string, string][] = [
        ["another response", `${head(length)}done${head(length)}more`],
        ["another head", `${head(length)}done${head()}`],
        ["a refusal", `${head(length)}doneHTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`],
        ["other bytes", `${head(length)}done more bytes`],
        ["bytes behind its chunks", `${head(chunked)}4\r\ndone\r\n0\r\n\r\nmore bytes`],
    ];
    for (const [name, text] of surplus) {
        test.it(`is delivered without what follows it: ${name}`, () =>
            relayFixture.withRelay({ behaviours: [sendBytes(text)] }, async fixture => {
                for (let iteration = 1; iteration <= 3; iteration += 1) {
                    const response = await fixture.sendRequest({ body: order });
                    earl.expect([response.status, response.isComplete, response.body.toString()])
                        .toEqual([200, true, "done"]);
                }
            }));
    }

    for (const status of ["204 No Content", "304 Not Modified"]) {
        test.it(`with status ${status} has no body, whatever its head says`, () => {
            const text = head(length).replace("200 OK", status) + "done";
            return relayFixture.withRelay({ behaviours: [sendBytes(text)] }, async ({ sendRequest }) => {
                const response = await sendRequest({ body: order });
                earl.expect([response.status, response.isComplete, response.body.length])
                    .toEqual([Number(status.slice(0, 3)), true, 0]);
            });
        });
    }

    test.it("to a HEAD request has no body, whatever its head says", () => {
        const kind = routing.RouteKind.idempotent;
        return relayFixture.withRelay({ behaviours: [sendBytes(`${head(length)}done`)], kind }, async fixture => {
            const response = await fixture.sendRequest({ method: "HEAD" });
            earl.expect([response.status, response.isComplete, response.body.length]).toEqual([200, true, 0]);
        });
    });
});
