/** Responses that take many times as long as others of their upstream, and come before the deadline. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import type * as http from "node:http";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const timeoutMilliseconds = 1200;
const usualMilliseconds = 20;

/** How an upstream handles a request to `/orders/slow`; `attempt` counts them from 1. */
type SlowBehaviour = (attempt: number, response: http.ServerResponse, respond: () => void) => void;

/** Creates an upstream that responds to requests within about 20 ms, apart from those to `/orders/slow`. */
const createUnevenUpstream = (
    timers: foundation.TimerService,
    random: foundation.Random,
    behaveSlowly: SlowBehaviour,
    attempts: { count: number; },
): relayFixture.Behaviour =>
(request, response) => {
    const respond = (): void => {
        if (response.destroyed) {
            return;
        }
        response.writeHead(200, {
            "request-id": request.headers["request-id"],
            "response-signature": "signature",
            "server-load": "0,0,4",
            "content-length": 2,
        });
        response.end("ok");
    };
    if (request.url === "/orders/slow") {
        attempts.count += 1;
        behaveSlowly(attempts.count, response, respond);
        return;
    }
    timers.onDelay(usualMilliseconds * (0.7 + 0.6 * random.fraction()), respond);
};

/** Sends a slow request while others are answered; returns its status, and the time in milliseconds and attempts until its response. */
const playSlowRequest = async (
    createBehaviour: (timers: foundation.TimerService) => SlowBehaviour,
    seed: number,
    isKeyed: boolean,
): Promise<{ status: number; milliseconds: number; attempts: number; outstanding: number; }> => {
    const timers = foundation.createVirtualTimerService();
    const random = foundation.createRandom(seed);
    const attempts = { count: 0 };
    const behaveSlowly = createBehaviour(timers);
    const behaviours = [0, 1].map(() => createUnevenUpstream(timers, random, behaveSlowly, attempts));
    const kind = routing.RouteKind.idempotent;
    const result = { status: 0, milliseconds: 0, attempts: 0, outstanding: 0 };
    await relayFixture.withRelay({ behaviours, timers, kind, isKeyed, timeoutMilliseconds }, async fixture => {
        let usualCount = 0;
        const sendUsual = async (): Promise<void> => {
            usualCount += 1;
            let isAnswered = false;
            const identifier = `usual-${usualCount}`;
            void fixture.sendRequest({ key: 8, identifier }).then(() => {
                isAnswered = true;
            });
            for (let elapsed = 0; !isAnswered && elapsed < 10_000; elapsed += 1) {
                await virtualTime.advance(timers, 1);
            }
        };
        for (let count = 0; count < 12; count += 1) {
            await sendUsual();
        }
        const startedAt = timers.now();
        let isEnded = false;
        const slow = fixture.sendRequest({ key: 7, identifier: "slow", path: "/orders/slow" }).then(({ status }) => {
            isEnded = true;
            result.status = status;
            result.milliseconds = timers.now() - startedAt;
        });
        while (!isEnded && timers.now() - startedAt < timeoutMilliseconds * 2) {
            await sendUsual();
            await virtualTime.advance(timers, 10 + random.below(30));
        }
        await slow;
        const sumOutstanding = (): number => fixture.outstandingCounts().reduce((sum, count) => sum + count, 0);
        // The connections of overdue attempts close once the response has ended.
        await virtualTime.advance(timers, 100);
        result.attempts = attempts.count;
        result.outstanding = sumOutstanding();
    });
    return result;
};

/** Responds after a time in milliseconds; never if it is infinite. */
const answerAfter =
    (milliseconds: (attempt: number) => number) =>
    (timers: foundation.TimerService): SlowBehaviour =>
    (attempt, ...[, respond]) => {
        if (milliseconds(attempt) < Infinity) {
            timers.onDelay(milliseconds(attempt), respond);
        }
    };

test.describe("a response that takes many times as long as the others of its upstream", () => {
    const trials = 20;
    for (const isKeyed of [true, false]) {
        // Guards against 504 for a request whose upstream would have answered in time: it was taken to be silent.
        test.it(`after 0.9 s of 1.2 s reaches its caller, ${isKeyed ? "with" : "without"} a key`, async () => {
            const statuses: number[] = [];
            for (let trial = 0; trial < trials; trial += 1) {
                statuses.push((await playSlowRequest(answerAfter(() => 900), trial, isKeyed)).status);
            }
            earl.expect(statuses.filter(status => status !== 200)).toEqual([]);
        });
    }

    // Guards against a request that is sent again although nearly every response of the service comes within this time.
    test.it("within the tail of the service is waited for, and the request sent once", async () => {
        const result = await playSlowRequest(answerAfter(() => usualMilliseconds * 5), 1, true);
        earl.expect([result.status, result.attempts, result.outstanding]).toEqual([200, 1, 0]);
    });

    // Guards against a caller that gets no response because the first attempt of its request has met a silent upstream.
    test.it("that never comes is replaced by that of a further attempt", async () => {
        const result = await playSlowRequest(answerAfter(attempt => attempt === 1 ? Infinity : 100), 1, true);
        earl.expect([result.status, result.attempts, result.outstanding]).toEqual([200, 2, 0]);
        earl.expect(result.milliseconds < timeoutMilliseconds / 2).toEqual(true);
    });

    test.it("reaches its caller although further attempts are refused", async () => {
        const result = await playSlowRequest(
            timers => (attempt, response, respond) => {
                if (attempt === 1) {
                    timers.onDelay(900, respond);
                    return;
                }
                response.writeHead(503, {
                    "request-id": response.req.headers["request-id"],
                    "not-executed": "1",
                    "content-length": 0,
                });
                response.end();
            },
            1,
            false,
        );
        earl.expect([result.status, result.outstanding]).toEqual([200, 0]);
    });

    // Guards against a request that is held until its deadline once every attempt has ended, and against attempts that stay outstanding.
    test.it("and is lost with its upstream ends the request at once", async () => {
        const result = await playSlowRequest(
            timers => (...[, response]) => {
                timers.onDelay(400, () => response.socket?.destroy());
            },
            1,
            false,
        );
        earl.expect([result.status, result.outstanding]).toEqual([502, 0]);
        earl.expect(result.milliseconds < timeoutMilliseconds).toEqual(true);
    });

    test.it("that never comes ends with 504 at the deadline, and leaves no attempt outstanding", async () => {
        const result = await playSlowRequest(answerAfter(() => Infinity), 1, false);
        earl.expect([result.status, result.outstanding]).toEqual([504, 0]);
        earl.expect(result.milliseconds >= timeoutMilliseconds).toEqual(true);
    });
});
