/** What an instance does that is behind with its work. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

test.describe("an instance that is behind with its work", () => {
    test.it("refuses the least urgent first, and nothing while it keeps up", () => {
        const refused = (delay: number): number[] => [0, 1, 2, 3].filter(rank => relay.isBehind(rank, delay));
        earl.expect(refused(50)).toEqual([]);
        earl.expect(refused(150)).toEqual([2, 3]);
        earl.expect(refused(200)).toEqual([1, 2, 3]);
        earl.expect(refused(260)).toEqual([0, 1, 2, 3]);
    });

    test.it("knows how long requests have waited, and forgets it once it has caught up", async () => {
        const timers = foundation.createVirtualTimerService();
        const owner = foundation.createOwner();
        const delay = relay.createLoopDelay(timers, owner);
        timers.advance(200);
        earl.expect(delay.milliseconds() < 30).toEqual(true);
        await owner.dispose();

        let now = 0;
        let look = (): void => undefined;
        const late = relay.createLoopDelay({
            ...timers,
            now: () => now,
            onInterval: (...[, callback]) => {
                look = callback;
                return { cancel: () => undefined };
            },
        }, foundation.createOwner());
        now = 320;
        earl.expect(late.milliseconds()).toEqual(300);
        look();
        earl.expect(late.milliseconds()).toEqual(300);
        for (let turn = 0; turn < 20; turn += 1) {
            now += 20;
            look();
        }
        earl.expect(late.milliseconds() < 30).toEqual(true);
    });

    test.it("tells callers at once that their request has not run and when to come back", () =>
        relayFixture.using({ behaviours: [relayFixture.answerWith("done")], delayMilliseconds: 400 }, async fixture => {
            const answer = await fixture.ask({ body: Buffer.from("order") });
            earl.expect(answer.status).toEqual(503);
            earl.expect(Number(answer.headers["retry-after"]) > 0).toEqual(true);
            earl.expect(sum(fixture.arrivals())).toEqual(0);
        }));

    test.it("sends nothing on for a caller that had left before its request was read", () =>
        relayFixture.using({ behaviours: [relayFixture.answerWith("done")] }, async fixture => {
            // Leaves a connection to the upstream open, on which a request would be sent at once.
            await fixture.ask({ body: Buffer.from("order") });
            const before = sum(fixture.arrivals());
            const socket = net.connect(fixture.port, "127.0.0.1");
            await new Promise(resolve => socket.once("connect", resolve));
            await new Promise(resolve => setTimeout(resolve, 20));
            const head = "GET /orders/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: late\r\n\r\n";
            socket.write(head);
            socket.destroy();
            // The instance does other work until both the request and the end of its connection have arrived.
            await new Promise<void>(resolve => process.nextTick(resolve));
            for (const until = performance.now() + 200; performance.now() < until;) {
                Math.sqrt(until);
            }
            await new Promise(resolve => setTimeout(resolve, 100));
            earl.expect(sum(fixture.arrivals())).toEqual(before);
        }));
});
