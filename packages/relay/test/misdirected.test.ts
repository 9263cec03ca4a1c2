/** Requests to an owner that does not hold their key, or whose address another upstream has taken over. */
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const misdirect: relayFixture.Behaviour = (request, response) => {
    response.writeHead(421, { "request-id": request.headers["request-id"], "not-executed": "1", "content-length": 0 });
    response.end();
};

test.describe("a request to an owner that does not hold its key", () => {
    test.it("is not sent to it again before routing names another owner", () =>
        relayFixture.withRelay({ behaviours: [misdirect], isKeyed: true }, async fixture => {
            const response = await fixture.sendRequest({ key: 7 });
            earl.expect(response.status).toEqual(503);
            earl.expect(fixture.requestCounts()).toEqual([1]);
        }));

    test.it("stops further requests to it, except for occasional probes", () =>
        relayFixture.withRelay({ behaviours: [misdirect], isKeyed: true }, async fixture => {
            for (let iteration = 0; iteration < 3; iteration += 1) {
                await fixture.sendRequest({ key: 7, deadlineMilliseconds: 100 });
            }
            const responses = await Promise.all(
                Array.from({ length: 30 }, () => fixture.sendRequest({ key: 7, deadlineMilliseconds: 200 })),
            );
            earl.expect(responses.every(response => response.status === 503)).toEqual(true);
            earl.expect(fixture.requestCounts()[0] <= 5).toEqual(true);
        }));
});
