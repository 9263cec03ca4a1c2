/** Requests to failure domains that the operators evacuate. */
import * as eligibilities from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import * as requestState from "../src/requestState";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const { withRelay, respondWith } = relayFixture;

const near = "north-a";
const other = "north-b";
const graceMilliseconds = 4000;
const evacuatedReason = requestState.FailureReason.evacuated;

interface EvacuationFixture {
    options: Pick<
        relayFixture.RelayFixtureOptions,
        "timers" | "evacuations" | "failureDomains" | "ownerGraceMilliseconds"
    >;
    timers: foundation.VirtualTimerService;
    evacuate: (failureDomain: string) => void;
    end: (failureDomain: string) => void;
    /** Tells the instance that the time for owners has passed. */
    notifyChange: () => void;
}

const createEvacuationFixture = (): EvacuationFixture => {
    const timers = foundation.createVirtualTimerService();
    const evacuations = eligibilities.createEvacuations();
    return {
        options: {
            timers,
            evacuations,
            failureDomains: [near, other],
            ownerGraceMilliseconds: graceMilliseconds,
        },
        timers,
        evacuate: failureDomain => {
            const now = timers.now();
            evacuations.begin({ failureDomain, knownSince: now, earliestBeginAt: now });
        },
        end: failureDomain => evacuations.end(failureDomain, timers.now()),
        notifyChange: evacuations.notifyChange,
    };
};

/** Breaks the connection off, as an upstream that crashes. */
const crash: relayFixture.Behaviour = request => request.socket.destroy();

const reasonsOf = ({ finished }: relayFixture.RelayFixture): (string | undefined)[] =>
    finished.map(({ reason }) => reason);

test.describe("an upstream without keys in an evacuated failure domain", () => {
    test.it("gets no request until the evacuation is over", () => {
        const { options, evacuate, end } = createEvacuationFixture();
        const behaviours = [respondWith("near"), respondWith("other")];
        return withRelay({ ...options, behaviours }, async fixture => {
            evacuate(near);
            for (let iteration = 0; iteration < 20; iteration += 1) {
                earl.expect((await fixture.sendRequest()).body.toString()).toEqual("other");
            }
            end(near);
            evacuate(other);
            earl.expect((await fixture.sendRequest()).body.toString()).toEqual("near");
            earl.expect(fixture.requestCounts()).toEqual([1, 20]);
        });
    });

    // Guards against retries that go back to the evacuated failure domain when every other upstream has been tried.
    test.it("gets no request that is sent again", () => {
        const { options, evacuate } = createEvacuationFixture();
        const behaviours = [respondWith("near"), crash];
        const kind = routing.RouteKind.idempotent;
        return withRelay({ ...options, behaviours, kind }, async fixture => {
            evacuate(near);
            earl.expect((await fixture.sendRequest()).status).toEqual(502);
            earl.expect(fixture.requestCounts()[0]).toEqual(0);
        });
    });

    for (const isKeyed of [false, true]) {
        // Guards against requests that wait although nothing can serve them. Virtual time stands still.
        test.it(`leaves its callers with an immediate refusal if all are evacuated, ${isKeyed ? "with" : "without"} keys`, () => {
            const { options, evacuate, timers } = createEvacuationFixture();
            const behaviours = [respondWith("near"), respondWith("other")];
            return withRelay({ ...options, behaviours, isKeyed }, async fixture => {
                evacuate(near);
                evacuate(other);
                await virtualTime.advance(timers, graceMilliseconds);
                const response = await fixture.sendRequest({ key: 7 });
                earl.expect(response.status).toEqual(503);
                earl.expect(Number(response.headers["retry-after"]) > 0).toEqual(true);
                earl.expect(reasonsOf(fixture)).toEqual([evacuatedReason]);
                earl.expect(fixture.requestCounts()).toEqual([0, 0]);
            });
        });
    }

    // Guards against requests that reach the failure domain later, once a connection there is free.
    test.it("gets none of the requests that wait for a connection, which go elsewhere", async () => {
        const { options, evacuate } = createEvacuationFixture();
        let answer: () => void = () => undefined;
        const behaviour: relayFixture.Behaviour = (...parameters) => {
            answer = () => respondWith("near")(...parameters);
        };
        const behaviours = [behaviour, respondWith("other")];
        return withRelay({ ...options, behaviours, connectionLimit: 1 }, async fixture => {
            const elsewhere = fixture.directory.find("upstream-1")?.upstream as routing.Upstream;
            fixture.directory.onEntry({ ...elsewhere, isDraining: true }, 0);
            const responses = [1, 2, 3].map(() => fixture.sendRequest());
            await virtualTime.waitUntil(() => fixture.openRequestCount() === 3 && fixture.requestCounts()[0] === 1);
            await new Promise(resolve => setTimeout(resolve, 50));
            fixture.directory.onEntry({ ...elsewhere, isDraining: false }, 0);
            evacuate(near);
            await virtualTime.waitUntil(() => fixture.requestCounts()[1] === 2);
            answer();
            const bodies = (await Promise.all(responses)).map(({ body }) => body.toString());
            earl.expect(bodies.sort()).toEqual(["near", "other", "other"]);
            earl.expect(fixture.requestCounts()).toEqual([1, 2]);
        });
    });
});

test.describe("the owner of a key in an evacuated failure domain", () => {
    test.it("gets requests for the key for a time, and none later, which are refused at once", () => {
        const { options, evacuate, timers } = createEvacuationFixture();
        const behaviours = [respondWith("near"), respondWith("other")];
        return withRelay({ ...options, behaviours, isKeyed: true }, async fixture => {
            evacuate(near);
            await virtualTime.advance(timers, graceMilliseconds - 10);
            earl.expect((await fixture.sendRequest({ key: 7 })).body.toString()).toEqual("near");
            await virtualTime.advance(timers, 20);
            earl.expect((await fixture.sendRequest({ key: 7 })).status).toEqual(503);
            earl.expect(reasonsOf(fixture).at(-1)).toEqual(evacuatedReason);
            earl.expect(fixture.requestCounts()).toEqual([1, 0]);
        });
    });

    test.it("gets none of the requests without a key", () => {
        const { options, evacuate } = createEvacuationFixture();
        const behaviours = [respondWith("near"), respondWith("other")];
        return withRelay({ ...options, behaviours, isKeyed: true }, async fixture => {
            evacuate(near);
            for (let iteration = 0; iteration < 10; iteration += 1) {
                earl.expect((await fixture.sendRequest()).body.toString()).toEqual("other");
            }
        });
    });

    // Guards against a retry that reaches the failure domain, and against one that is refused while its key is about to move.
    test.it("gets no request that is sent again, which waits until the key has moved", () => {
        const { options, evacuate, timers } = createEvacuationFixture();
        let ownerIndex = 0;
        const relayOptions = {
            ...options,
            behaviours: [crash, respondWith("other")],
            isKeyed: true,
            kind: routing.RouteKind.idempotent,
            ownerIndex: () => ownerIndex,
        };
        return withRelay(relayOptions, async fixture => {
            evacuate(near);
            const response = fixture.sendRequest({ key: 7 });
            await virtualTime.waitUntil(() => fixture.requestCounts()[0] === 1);
            await virtualTime.waitUntil(() => fixture.failedAttemptCount() === 1);
            await virtualTime.advance(timers, 200);
            earl.expect(fixture.requestCounts()).toEqual([1, 0]);
            ownerIndex = 1;
            await virtualTime.advance(timers, 100);
            earl.expect((await response).body.toString()).toEqual("other");
            earl.expect(fixture.requestCounts()).toEqual([1, 1]);
        });
    });

    // Guards against a request that waits for a connection until after the bound.
    test.it("gets none of the requests that wait for a connection when the time has passed", () => {
        const { options, evacuate, timers, notifyChange } = createEvacuationFixture();
        let answer: () => void = () => undefined;
        const behaviour: relayFixture.Behaviour = (...parameters) => {
            answer = () => respondWith("near")(...parameters);
        };
        const relayOptions = { ...options, behaviours: [behaviour, respondWith("other")], isKeyed: true };
        return withRelay({ ...relayOptions, connectionLimit: 1, timeoutMilliseconds: 60_000 }, async fixture => {
            evacuate(near);
            await virtualTime.advance(timers, graceMilliseconds - 20);
            const request = { key: 7, deadlineMilliseconds: 30_000 };
            const responses = [1, 2, 3].map(() => fixture.sendRequest(request));
            await virtualTime.waitUntil(() => fixture.openRequestCount() === 3 && fixture.requestCounts()[0] === 1);
            await new Promise(resolve => setTimeout(resolve, 50));
            await virtualTime.advance(timers, 30);
            notifyChange();
            await virtualTime.waitUntil(() => fixture.failedAttemptCount() === 2);
            // A request is selected for again after a short pause.
            await virtualTime.advance(timers, 50);
            await virtualTime.waitUntil(() => fixture.finished.length === 2);
            answer();
            const statuses = (await Promise.all(responses)).map(({ status }) => status);
            earl.expect(statuses.sort()).toEqual([200, 503, 503]);
            earl.expect(reasonsOf(fixture).slice(0, 2)).toEqual([evacuatedReason, evacuatedReason]);
            earl.expect(fixture.requestCounts()).toEqual([1, 0]);
        });
    });
});

test.describe("a delegated request to an evacuated failure domain", () => {
    /** Sends a request to an instance with a delegate, of which only one knows of the evacuation. */
    const sendDelegated = async (isKnownToDelegate: boolean): Promise<unknown> => {
        const evacuations = eligibilities.createEvacuations();
        evacuations.begin({ failureDomain: near, knownSince: 0, earliestBeginAt: -Infinity });
        const known = { evacuations, ownerGraceMilliseconds: graceMilliseconds };
        const second = await relayFixture.createRelayFixture({
            behaviours: [respondWith("second")],
            isKeyed: true,
            ...(isKnownToDelegate ? known : {}),
        });
        const first = await relayFixture.createRelayFixture({
            behaviours: [respondWith("first")],
            isKeyed: true,
            delegate: { identifier: "second", host: "127.0.0.1", port: second.delegatePort },
            ...(isKnownToDelegate ? {} : known),
        });
        const { status } = await first.sendRequest({ key: 8 });
        const counts = [...first.requestCounts(), ...second.requestCounts()];
        const reasons = reasonsOf(first);
        await first.dispose();
        await second.dispose();
        return { status, reasons, counts };
    };
    const refusal = { status: 503, reasons: [evacuatedReason], counts: [0, 0] };

    // Guards against a path around the bound: the delegate selects the upstream by what it knows.
    test.it("is refused by a delegate that knows of the evacuation when the first instance does not", async () =>
        earl.expect(await sendDelegated(true)).toEqual(refusal));

    test.it("is not delegated by an instance that knows of the evacuation when the delegate does not", async () =>
        earl.expect(await sendDelegated(false)).toEqual(refusal));
});
