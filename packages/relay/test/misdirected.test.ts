/** Requests to an owner that does not hold their key, or whose address another upstream has taken over. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const misdirect: relayFixture.Behaviour = (request, response) => {
    response.writeHead(421, { "request-id": request.headers["request-id"], "not-executed": "1", "content-length": 0 });
    response.end();
};

test.describe("a request to an owner that does not hold its key", () => {
    test.it("is not sent to it again before routing names another owner", () => {
        const timers = foundation.createVirtualTimerService();
        return relayFixture.withRelay({ behaviours: [misdirect], isKeyed: true, timers }, async fixture => {
            const pendingResponse = fixture.sendRequest({ key: 7 });
            await virtualTime.waitUntil(() => fixture.failedAttemptCount() === 1);
            await virtualTime.advance(timers, 1500);
            earl.expect((await pendingResponse).status).toEqual(503);
            earl.expect(fixture.requestCounts()).toEqual([1]);
        });
    });

    test.it("stops further requests to it, except for occasional probes", () => {
        const timers = foundation.createVirtualTimerService();
        return relayFixture.withRelay({ behaviours: [misdirect], isKeyed: true, timers }, async fixture => {
            /** Sends requests at intervals of a millisecond. */
            const sendRequests = async (
                count: number,
                deadlineMilliseconds: number,
            ): Promise<Promise<relayFixture.CallerResponse>[]> => {
                const responses: Promise<relayFixture.CallerResponse>[] = [];
                for (let index = 1; index <= count; index += 1) {
                    responses.push(fixture.sendRequest({ key: 7, deadlineMilliseconds }));
                    await virtualTime.waitUntil(() => fixture.openRequestCount() === index);
                    await virtualTime.advance(timers, 1);
                }
                return responses;
            };
            for (let iteration = 1; iteration <= 3; iteration += 1) {
                const [response] = await sendRequests(1, 100);
                await virtualTime.waitUntil(() => fixture.failedAttemptCount() === iteration);
                await virtualTime.advance(timers, 100);
                earl.expect((await response).status).toEqual(503);
            }
            // The third misdirected request was sent about 100 ms ago, so the next probe is due in about 200 ms.
            const early = await sendRequests(30, 150);
            await virtualTime.advance(timers, 150);
            earl.expect((await Promise.all(early)).every(response => response.status === 503)).toEqual(true);
            earl.expect(fixture.requestCounts()).toEqual([3]);

            const late = await sendRequests(30, 200);
            await virtualTime.advance(timers, 50);
            await virtualTime.waitUntil(() => fixture.failedAttemptCount() === 4);
            await virtualTime.advance(timers, 200);
            earl.expect((await Promise.all(late)).every(response => response.status === 503)).toEqual(true);
            earl.expect(fixture.requestCounts()).toEqual([4]);
        });
    });
});
