/** The bytes of requests that an instance has at one upstream. */
import type * as relay from "@mulberryseam/relay";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const largeBytes = 900 * 1024;

interface HoldingFixture extends relayFixture.RelayFixture {
    /** Bytes at all upstreams, as the instance counts them. */
    outstandingBytes: () => number;
    /** Number of requests whose whole bodies have reached the upstreams. */
    heldCount: () => number;
    releaseAll: () => void;
}

/** Runs with two upstreams that respond only when they are told to. */
const withHoldingUpstreams = async (run: (fixture: HoldingFixture) => Promise<void>): Promise<void> => {
    let held: (() => void)[] = [];
    const hold: relayFixture.Behaviour = (request, response, body) => {
        held.push(() => relayFixture.respondWith("done")(request, response, body));
    };
    let pool: relay.UpstreamPool | undefined;
    await relayFixture.withRelay({
        behaviours: [hold, hold],
        maxBodyBytes: 2 * largeBytes,
        adaptPool: original => {
            pool = original;
            return {};
        },
    }, fixture =>
        run({
            ...fixture,
            outstandingBytes: () => pool?.outstandingBytes().get("orders") ?? 0,
            heldCount: () => held.length,
            releaseAll: () => {
                held.forEach(respond => respond());
                held = [];
            },
        }));
};

test.describe("large requests", () => {
    // Guards against an upstream that crashes of the requests that it holds.
    test.it("go to another upstream while one has as many bytes as it may, and are refused as not run if all have", () =>
        withHoldingUpstreams(async fixture => {
            const send = (identifier: string): Promise<relayFixture.CallerResponse> =>
                fixture.sendRequest({ identifier, body: Buffer.alloc(largeBytes, "u") });
            const first = send("first");
            await virtualTime.waitUntil(() => fixture.heldCount() === 1);
            const second = send("second");
            await virtualTime.waitUntil(() => fixture.heldCount() === 2);
            earl.expect(fixture.requestCounts()).toEqual([1, 1]);
            earl.expect(fixture.outstandingBytes()).toEqual(2 * largeBytes);
            earl.expect((await send("third")).status).toEqual(503);
            fixture.releaseAll();
            earl.expect([(await first).status, (await second).status]).toEqual([200, 200]);
            await virtualTime.waitUntil(() => fixture.outstandingBytes() === 0);
        }));
});

test.describe("small requests", () => {
    test.it("are sent and not counted whatever else is outstanding", () =>
        withHoldingUpstreams(async fixture => {
            const large = [0, 1].map(index =>
                fixture.sendRequest({ identifier: `large-${index}`, body: Buffer.alloc(largeBytes, "u") })
            );
            await virtualTime.waitUntil(() => fixture.heldCount() === 2);
            const small = [0, 1, 2, 3].map(index =>
                fixture.sendRequest({ identifier: `small-${index}`, body: Buffer.alloc(8 * 1024, "u") })
            );
            await virtualTime.waitUntil(() => fixture.heldCount() === 6);
            earl.expect(fixture.outstandingBytes()).toEqual(2 * largeBytes);
            fixture.releaseAll();
            earl.expect((await Promise.all([...large, ...small])).map(({ status }) => status))
                .toEqual([200, 200, 200, 200, 200, 200]);
        }));
});
