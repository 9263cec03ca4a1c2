/** How many requests wait in an instance, and in how much memory. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import type * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as test from "node:test";
import type * as requestState from "../src/requestState";

const longMilliseconds = 1_000_000;
const megabyte = 1024 * 1024;

const createState = (): requestState.RequestState => {
    const route: Partial<routing.Route> = { name: "bulk", rank: 1, targetMilliseconds: longMilliseconds };
    const state: Partial<requestState.RequestState> = {
        route: route as routing.Route,
        service: "orders",
        arrivedAt: 0,
        deadlineAt: longMilliseconds,
        attemptCount: 0,
        isFinished: false,
        underWayMilliseconds: 0,
        waitedMilliseconds: 0,
    };
    return state as requestState.RequestState;
};

const full: relay.Assessment = {
    kind: "full",
    chosen: {
        target: {} as relay.PooledUpstream,
        input: {
            isMeasured: true,
            expectedMilliseconds: 10,
            waitMilliseconds: 0,
            remainingMilliseconds: longMilliseconds,
            targetMilliseconds: longMilliseconds,
            slots: 4,
            serviceMilliseconds: 10,
        },
        limit: { requests: 6, serviceMilliseconds: 10 },
        outstandingCount: () => 6,
    },
};

/** Enters requests that find no room, and returns the causes of the refusals. */
const enterRequests = async (
    count: number,
    bytes: number,
    setOf: (index: number) => string,
): Promise<{ causes: string[]; waiting: number; }> => {
    const causes: string[] = [];
    const requests = relay.createWaitingRequests({
        timers: foundation.createVirtualTimerService(),
        log: { write: () => undefined, sample: () => undefined },
        failures: foundation.createTransparentFailureBoundary(),
    });
    for (let index = 0; index < count; index += 1) {
        const candidate = {
            state: createState(),
            set: setOf(index),
            bytes,
            assess: () => full,
            send: () => Promise.reject(new Error("there is no room")),
        };
        void requests.enter(candidate).then(result => {
            causes.push(result.kind === "refused" ? result.cause : result.kind);
        });
    }
    await new Promise(resolve => setImmediate(resolve));
    return { causes, waiting: requests.counts().get("orders") ?? 0 };
};

const limitCauses = (count: number): string[] => Array.from({ length: count }, () => relay.RefusalCause.limit);

// Guards against an instance that runs out of memory or processor time while nothing is served.
test.describe("requests that could all wait for long", () => {
    test.it("are limited for a set of upstreams", async () => {
        const { causes, waiting } = await enterRequests(relay.maxWaitingPerSet + 6, 0, () => "orders");
        earl.expect([causes, waiting]).toEqual([limitCauses(6), relay.maxWaitingPerSet]);
    });

    test.it("are limited for the instance", async () => {
        const { causes, waiting } = await enterRequests(520, 0, index => `orders ${index % 20}`);
        earl.expect([causes, waiting]).toEqual([limitCauses(8), 512]);
    });

    test.it("are limited by their bytes", async () => {
        const { causes, waiting } = await enterRequests(10, megabyte, () => "orders");
        earl.expect([causes, waiting]).toEqual([limitCauses(2), 8]);
    });
});
