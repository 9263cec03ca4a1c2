/** Requests for a service whose routes do not differ: the same ones are sent and refused as without waiting in the instance. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as slottedUpstream from "./fixtures/slottedUpstream";
import * as virtualTime from "./fixtures/virtualTime";

const slots = 4;
const workMilliseconds = 200;
/** Requests between two pauses. */
const pauseInterval = 15;

/** Decisions of the version without waiting requests (c13968f), recorded by this test: a retry time in seconds for each refusal. */
const decisionsWithoutKeys = [
    "sent sent sent sent sent sent sent sent sent sent sent sent 503:0.221 503:0.195 503:0.193",
    "sent sent sent sent 503:0.272 503:0.223 503:0.256 503:0.194 503:0.222 503:0.259 503:0.209 503:0.278 503:0.265 503:0.207 503:0.219",
    "sent sent sent sent 503:0.310 503:0.252 503:0.242 503:0.236 503:0.311 503:0.285 503:0.209 503:0.304 503:0.246 503:0.254 503:0.205",
    "sent sent sent sent 503:0.232 503:0.214 503:0.249 503:0.220 503:0.298 503:0.207 503:0.239 503:0.237 503:0.270 503:0.296 503:0.288",
];
const decisionsWithKeys = [
    "sent sent sent sent sent sent sent sent sent sent sent sent 503:0.337 503:0.335 503:0.336",
    "sent sent sent sent 503:0.228 503:0.190 503:0.236 503:0.201 503:0.208 503:0.230 503:0.208 503:0.191 503:0.194 503:0.229 503:0.170",
    "sent sent sent sent 503:0.325 503:0.225 503:0.301 503:0.223 503:0.284 503:0.352 503:0.286 503:0.358 503:0.282 503:0.314 503:0.221",
    "sent sent sent sent 503:0.343 503:0.425 503:0.393 503:0.339 503:0.298 503:0.297 503:0.341 503:0.308 503:0.398 503:0.450 503:0.321",
];

/** Sends requests one after another, with pauses, and returns what is decided about each one. */
const recordDecisions = async (
    options: Partial<relayFixture.RelayFixtureOptions>,
    requestCount = 60,
): Promise<string> => {
    const timers = foundation.createVirtualTimerService();
    const upstream = slottedUpstream.createSlottedUpstream(timers, slots, workMilliseconds);
    let decisions = "";
    await relayFixture.withRelay({ behaviours: [upstream.behaviour], timers, ...options }, async fixture => {
        const responses: Promise<relayFixture.CallerResponse>[] = [];
        for (let index = 0; index < requestCount; index += 1) {
            const sentBefore = upstream.received.length;
            const finishedBefore = fixture.finished.length;
            const response = fixture.sendRequest({ identifier: `request-${index}`, key: 1 });
            responses.push(response);
            const waitingBefore = fixture.waitingCounts().get("orders") ?? 0;
            const isWaiting = (): boolean => (fixture.waitingCounts().get("orders") ?? 0) > waitingBefore;
            await virtualTime.waitUntil(() =>
                upstream.received.length > sentBefore || fixture.finished.length > finishedBefore || isWaiting()
            );
            if (isWaiting()) {
                decisions += "waits ";
            }
            else if (upstream.received.length > sentBefore) {
                decisions += "sent ";
            }
            else {
                const { status, headers } = await response;
                decisions += `${status}:${String(headers["retry-after"])} `;
            }
            if (index % pauseInterval === pauseInterval - 1 && index < requestCount - 1) {
                const openCount = upstream.openCount();
                await virtualTime.advance(timers, workMilliseconds);
                await virtualTime.waitUntil(() =>
                    upstream.openCount() < openCount && fixture.outstandingCounts()[0] === upstream.openCount()
                );
            }
        }
        await virtualTime.advance(timers, 2000);
        await Promise.all(responses);
    });
    return decisions.trim();
};

const equalRoutes = [{ name: "other", pathPrefix: "/other/" }];

test.describe("requests for a service whose routes do not differ", () => {
    for (const [isKeyed, expected] of [[false, decisionsWithoutKeys], [true, decisionsWithKeys]] as const) {
        const name = isKeyed ? "with keys" : "without keys";

        // Guards against deployments that are served differently although their documents ask for nothing new.
        test.it(`${name} are sent and refused as before`, async () => {
            earl.expect(await recordDecisions({ isKeyed })).toEqual(expected.join(" "));
            earl.expect(await recordDecisions({ isKeyed, furtherRoutes: equalRoutes })).toEqual(expected.join(" "));
        });

        // Guards against earlier deployments, with timeouts of at most 2.5 times their targets, that are served differently.
        test.it(`${name} are sent and refused as before if the routes differ and leave no time for a wait`, async () => {
            const furtherRoutes = equalRoutes.map(route => ({ ...route, rank: 2 }));
            earl.expect(await recordDecisions({ isKeyed, furtherRoutes })).toEqual(expected.join(" "));
        });

        // Shows that these decisions tell requests that wait from those that do not.
        test.it(`${name} are decided about differently as soon as the routes differ and leave time for a wait`, async () => {
            const furtherRoutes = equalRoutes.map(route => ({ ...route, rank: 2 }));
            const options = { isKeyed, furtherRoutes, timeoutMilliseconds: 3000 };
            const decisions = await recordDecisions(options, pauseInterval);
            earl.expect(decisions.includes("waits")).toEqual(true);
        });
    }
});
