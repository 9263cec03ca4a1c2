/** Answers whose length the upstream does not tell. */
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const { using } = relayFixture;

test.describe("an answer without a length", () => {
    test.it("claims no length, not even none, where the upstream ends behind a head without one", () => {
        const endBehindHead: relayFixture.Behaviour = (request, response) => {
            const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${
                request.headers["request-id"]
            }\r\nResponse-Signature: s\r\n\r\n`;
            response.socket?.end(head);
        };
        return using({ behaviours: [endBehindHead] }, async ({ ask }) => {
            const answer = await ask();
            earl.expect(answer.headers["content-length"]).toEqual(undefined);
            earl.expect(answer.headers.connection).toEqual("close");
        });
    });

    for (const body of ["", "part"]) {
        test.it(`is unknown when an answer without a length is reset behind ${body.length} bytes of its body`, () => {
            const resetMidway: relayFixture.Behaviour = (request, response) => {
                const { socket } = response;
                const head = `Request-Id: ${request.headers["request-id"]}\r\nResponse-Signature: s`;
                socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${body}`);
                setTimeout(() => socket?.resetAndDestroy(), 30);
            };
            return using(
                { behaviours: [resetMidway] },
                async ({ ask }) => earl.expect((await ask({ body: Buffer.from("order") })).status).toEqual(502),
            );
        });
    }

    test.it("claims no length where the upstream told none", () =>
        using({
            behaviours: [(request, response) => {
                response.useChunkedEncodingByDefault = false;
                response.writeHead(200, {
                    "request-id": request.headers["request-id"],
                    "response-signature": "signature",
                    "connection": "close",
                });
                response.end("unframed");
            }],
        }, async ({ ask }) => {
            const answer = await ask();
            earl.expect(answer.body.toString()).toEqual("unframed");
            earl.expect(answer.headers["content-length"]).toEqual(undefined);
            earl.expect(answer.headers["transfer-encoding"]).toEqual(undefined);
            earl.expect(answer.headers.connection).toEqual("close");
        }));
});
