/** Upstreams that neither run nor refuse a request for which they have no room, and never respond to it. */
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const input = {
    latestStartAt: 1000,
    serviceMilliseconds: 100,
    deviationMilliseconds: 20,
    attempt: 1,
    isRefusing: false,
};

test.describe("the time until which a response is expected", () => {
    test.it("is unknown before the upstream has reported its queue", () => {
        earl.expect(scheduling.latestResponseAt({ ...input, latestStartAt: Infinity })).toEqual(Infinity);
    });

    test.it("allows for the deviation of service times, and for more time in each further attempt", () => {
        const waitOf = (change: object): number => scheduling.latestResponseAt({ ...input, ...change }) - 1000;
        earl.expect(waitOf({ deviationMilliseconds: 80 }) > waitOf({})).toEqual(true);
        earl.expect(waitOf({ attempt: 2 })).toEqual(waitOf({}) * 2);
        // One in a hundred requests takes five times as long as the others.
        earl.expect(waitOf({ isRefusing: true }) >= 500).toEqual(true);
    });

    test.it("starts when the reported queue has been served", () => {
        const health = scheduling.createUpstreamHealth();
        const answer = (attempt: scheduling.OutstandingAttempt, waiting: number, now: number): void =>
            health.recordResult(attempt, scheduling.HealthSignal.answered, { running: 2, waiting, slots: 2 }, now);
        answer(health.recordStart(0), 0, 100);
        const silent = health.recordStart(200);
        earl.expect(silent.latestStartAt).toEqual(Infinity);
        answer(health.recordStart(300), 4, 400);
        earl.expect(silent.latestStartAt > 550 && silent.latestStartAt < 650).toEqual(true);
        answer(health.recordStart(400), 0, 500);
        earl.expect(silent.latestStartAt).toEqual(500);
    });
});

interface SilentUpstream {
    behaviour: relayFixture.Behaviour;
    ignoreNext: () => void;
}

const createSilentUpstream = (timers: foundation.TimerService): SilentUpstream => {
    let isNextIgnored = false;
    return {
        behaviour: (request, response) => {
            if (isNextIgnored) {
                isNextIgnored = false;
                return;
            }
            timers.onDelay(100, () => {
                response.writeHead(200, {
                    "request-id": request.headers["request-id"],
                    "response-signature": "signature",
                    "server-load": "0,0,4",
                    "content-length": 4,
                });
                response.end("done");
            });
        },
        ignoreNext: () => {
            isNextIgnored = true;
        },
    };
};

/** Sends a request that the owner of its key ignores, then further ones that it answers, for a time in milliseconds. */
const playSilence = async (
    kind: routing.RouteKindValue,
    milliseconds: number,
    retrySlack?: number,
): Promise<{ status: number | undefined; requests: number; }> => {
    const timers = foundation.createVirtualTimerService();
    const upstream = createSilentUpstream(timers);
    const options = { behaviours: [upstream.behaviour], isKeyed: true, kind, timers, retrySlack };
    const result: { status: number | undefined; requests: number; } = { status: undefined, requests: 0 };
    await relayFixture.withRelay(options, async fixture => {
        const sendAnswered = async (): Promise<void> => {
            const count = fixture.requestCounts()[0];
            const response = fixture.sendRequest({ key: 8, identifier: "answered" });
            await virtualTime.waitUntil(() => fixture.requestCounts()[0] > count);
            await virtualTime.advance(timers, 100);
            earl.expect((await response).status).toEqual(200);
            result.requests -= 1;
        };
        await sendAnswered();
        upstream.ignoreNext();
        const silent = fixture.sendRequest({ key: 7, identifier: "silent" });
        await virtualTime.waitUntil(() => fixture.requestCounts()[0] === 2);
        await sendAnswered();
        await virtualTime.advance(timers, milliseconds);
        result.requests += fixture.requestCounts()[0];
        result.status = fixture.openRequestCount() === 0 ? (await silent).status : undefined;
        await virtualTime.advance(timers, 2000);
        await silent;
    });
    return result;
};

test.describe("a request that its upstream ignores", () => {
    test.it("is sent again within its target if it is idempotent", async () => {
        earl.expect(await playSilence(routing.RouteKind.idempotent, 1000)).toEqual({ status: 200, requests: 2 });
    });

    test.it("is waited for if it cannot be sent again, as its upstream may work on it", async () => {
        earl.expect(await playSilence(routing.RouteKind.idempotent, 1000, 0)).toEqual({
            status: undefined,
            requests: 1,
        });
    });

    test.it("is never sent again if it may run only once, and its response is waited for", async () => {
        earl.expect(await playSilence(routing.RouteKind.once, 1000)).toEqual({ status: undefined, requests: 1 });
    });
});
