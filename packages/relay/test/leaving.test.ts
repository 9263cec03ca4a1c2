/** Requests to upstreams that announce that they are leaving. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay } = relayFixture;

/** Time for which the owner of a key gets requests after it has announced that it is leaving, in milliseconds. */
const graceMilliseconds = 1500;

const announce =
    (status: number, headers: Record<string, string> = {}): relayFixture.Behaviour => (request, response) => {
        response.writeHead(status, {
            "request-id": request.headers["request-id"],
            "response-signature": "signature",
            "server-leaving": "1",
            "content-length": 0,
            ...headers,
        });
        response.end();
    };

const register = ({ directory }: relayFixture.RelayFixture, index: number, isDraining: boolean): void => {
    const identifier = `upstream-${index}`;
    const port = directory.find(identifier)?.upstream.port ?? 0;
    directory.onEntry({ ...relayFixture.createUpstream(identifier, port, index + 1), isDraining }, 0);
};

test.describe("an upstream that has announced that it is leaving", () => {
    const answers: [string, relayFixture.Behaviour][] = [
        ["a success", announce(200)],
        ["a failure", announce(500)],
        ["a refusal", announce(503, { "not-executed": "1" })],
    ];
    for (const [name, behaviour] of answers) {
        test.it(`in ${name} gets no further request, although the registry says that it is ready`, () =>
            withRelay({ behaviours: [behaviour, relayFixture.respondWith("done")] }, async fixture => {
                register(fixture, 1, true);
                await fixture.sendRequest();
                register(fixture, 0, false);
                register(fixture, 1, false);
                for (let iteration = 0; iteration < 20; iteration += 1) {
                    earl.expect((await fixture.sendRequest()).body.toString()).toEqual("done");
                }
                earl.expect(fixture.requestCounts()[0]).toEqual(1);
            }));
    }

    test.it("passes its announcement on to the caller", () =>
        withRelay({ behaviours: [announce(200)] }, async ({ sendRequest }) => {
            earl.expect((await sendRequest()).headers["server-leaving"]).toEqual("1");
        }));

    test.it("gets no request even if no other upstream is left", () =>
        withRelay({ behaviours: [announce(200)] }, async fixture => {
            earl.expect((await fixture.sendRequest()).status).toEqual(200);
            earl.expect((await fixture.sendRequest()).status).toEqual(503);
            earl.expect(fixture.requestCounts()).toEqual([1]);
        }));

    test.it("gets requests for its keys for a time, and none later with the store down, which are refused at once", () => {
        const timers = foundation.createVirtualTimerService();
        return withRelay({ behaviours: [announce(200)], isKeyed: true, timers }, async fixture => {
            earl.expect((await fixture.sendRequest({ key: 7 })).status).toEqual(200);
            fixture.directory.onStoreUnreachable(timers.now());
            await virtualTime.advance(timers, graceMilliseconds - 10);
            earl.expect((await fixture.sendRequest({ key: 7 })).status).toEqual(200);
            await virtualTime.advance(timers, 20);
            // Virtual time stands still, so a request that waits for another owner would never end.
            const response = await fixture.sendRequest({ key: 7 });
            earl.expect(response.status).toEqual(503);
            earl.expect(Number(response.headers["retry-after"]) > 0).toEqual(true);
            earl.expect(fixture.requestCounts()).toEqual([2]);
        });
    });
});
