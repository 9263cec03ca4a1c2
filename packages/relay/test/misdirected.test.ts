/** Requests to an owner that does not hold their key, or whose address another upstream has. */
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const misdirect: relayFixture.Behaviour = (request, response) => {
    response.writeHead(421, { "request-id": request.headers["request-id"], "not-executed": "1", "content-length": 0 });
    response.end();
};

test.describe("a request to an owner that does not hold its key", () => {
    test.it("is not sent there again before routing names another owner", () =>
        relayFixture.using({ behaviours: [misdirect], isKeyed: true }, async fixture => {
            const answer = await fixture.ask({ key: 7 });
            earl.expect(answer.status).toEqual(503);
            earl.expect(fixture.arrivals()).toEqual([1]);
        }));

    test.it("keeps others from being sent there, but for one now and then", () =>
        relayFixture.using({ behaviours: [misdirect], isKeyed: true }, async fixture => {
            for (let turn = 0; turn < 3; turn += 1) {
                await fixture.ask({ key: 7, deadlineMilliseconds: 100 });
            }
            const answers = await Promise.all(
                Array.from({ length: 30 }, () => fixture.ask({ key: 7, deadlineMilliseconds: 200 })),
            );
            earl.expect(answers.every(answer => answer.status === 503)).toEqual(true);
            earl.expect(fixture.arrivals()[0] <= 5).toEqual(true);
        }));
});
