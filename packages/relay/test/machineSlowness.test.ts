/** Load reports with a fourth figure, over real sockets. */
import * as foundation from "@mulberryseam/foundation";
import type * as relay from "@mulberryseam/relay";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const respondWithLoad = (load: () => string): relayFixture.Behaviour => (request, response) => {
    response.writeHead(200, {
        "request-id": request.headers["request-id"],
        "response-signature": "signature",
        "server-load": load(),
        "content-length": 2,
    });
    response.end("ok");
};

/** Returns the pool of a fixture with the options to be given to it. */
const capturePool = (): {
    pool: () => relay.UpstreamPool;
    adaptPool: relayFixture.RelayFixtureOptions["adaptPool"];
} => {
    let captured: relay.UpstreamPool | undefined;
    return {
        pool: () => captured as relay.UpstreamPool,
        adaptPool: pool => {
            captured = pool;
            return {};
        },
    };
};

test.describe("a load report with a fourth figure", () => {
    test.it("counts for the expected time, and for the average of the service", async () => {
        const timers = foundation.createVirtualTimerService();
        const { pool, adaptPool } = capturePool();
        const loads = ["1,0,4,100", "1,0,4,100", "1,0,4,100", "1,0,4,300"];
        const behaviours = [respondWithLoad(() => loads.shift() ?? "1,0,4,100")];
        await relayFixture.withRelay({ behaviours, timers, adaptPool }, async ({ sendRequest }) => {
            for (let count = 0; count < 4; count += 1) {
                await sendRequest({ identifier: `request-${count}` });
            }
            earl.expect(pool().observations.averageSlowness()).toEqual([["orders", 150]]);
            const [target] = pool().usable("orders");
            earl.expect(pool().toCandidate(target, 0).slowness).toEqual({
                percent: 300,
                factor: 2,
                ageMilliseconds: 0,
            });
            const fresh = pool().toCandidate(target, 0).serviceMilliseconds;
            await virtualTime.advance(timers, 400);
            earl.expect(pool().toCandidate(target, 0).serviceMilliseconds).toEqual(fresh / 2);
        });
    });

    // Guards against a service whose load is unknown, and against a log line for each response, because of a malformed figure.
    test.it("that is malformed is logged once in a while for an upstream, and the other three count", async () => {
        const timers = foundation.createVirtualTimerService();
        const { pool, adaptPool } = capturePool();
        const behaviours = [respondWithLoad(() => "4,5,4,-1"), respondWithLoad(() => "4,5,4,NaN")];
        await relayFixture.withRelay({ behaviours, timers, adaptPool }, async ({ sendRequest, events }) => {
            const linesOf = (): unknown[] =>
                events.flatMap(({ event, fields }) => event === "slowness-unreadable" ? [fields] : []);
            const sendMany = async (): Promise<void> => {
                for (let count = 0; count < 20; count += 1) {
                    earl.expect((await sendRequest({ identifier: `request-${count}` })).status).toEqual(200);
                }
            };
            await sendMany();
            const first = { upstream: "upstream-0", service: "orders", slowness: "-1" };
            const second = { upstream: "upstream-1", service: "orders", slowness: "NaN" };
            const byUpstream = (lines: unknown[]): string[] => lines.map(line => JSON.stringify(line)).sort();
            earl.expect(byUpstream(linesOf())).toEqual(byUpstream([first, second]));
            earl.expect(pool().usable("orders").map(({ health }) => health.queueLength(timers.now()) > 7)).toEqual([
                true,
                true,
            ]);
            earl.expect(pool().observations.averageSlowness()).toEqual([]);
            timers.advance(61_000);
            await sendMany();
            earl.expect(linesOf().length).toEqual(4);
        });
    });

    test.it("is named in the log of a request, with its age at the start of the work", async () => {
        const timers = foundation.createVirtualTimerService();
        const behaviours: relayFixture.Behaviour[] = [(request, response, body) => {
            if (request.url === "/orders/lost") {
                response.socket?.destroy();
                return;
            }
            respondWithLoad(() => "0,0,4,300")(request, response, body);
        }];
        await relayFixture.withRelay({ behaviours, timers }, async ({ sendRequest, events }) => {
            await sendRequest({ identifier: "answered" });
            await virtualTime.advance(timers, 100);
            await sendRequest({ identifier: "lost", path: "/orders/lost" });
            const line = events.find(({ event }) => event === "request-failed")?.fields;
            earl.expect([line?.request, line?.slowness, line?.slownessAge]).toEqual(["lost", 300, 100]);
        });
    });
});
