/** Several instances that send requests of different ranks to one upstream, in each of which requests wait for room. */
import * as earl from "earl";
import * as test from "node:test";
import * as sharedWaiting from "./fixtures/sharedWaiting";

const load = {
    seed: 1,
    slots: 6,
    maxWaiting: 24,
    serviceMilliseconds: 230,
    targetMilliseconds: 1000,
    deadlineMilliseconds: 4000,
    durationMilliseconds: 20_000,
    rankCount: 3,
};

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

test.describe("requests that wait in instances which share an upstream", () => {
    for (const [instanceCount, loadFactor] of [[1, 1.5], [1, 3], [11, 1.5], [11, 3]]) {
        // Guards against slots that are idle while requests wait, and against a queue at the upstream that nothing can reorder.
        test.it(`keep its slots in use and its queue short, with ${instanceCount} instances at ${loadFactor} times its capacity`, async () => {
            const result = await sharedWaiting.playSharedWaiting({ ...load, instanceCount, loadFactor });
            const capacity = load.durationMilliseconds / load.serviceMilliseconds * load.slots;
            earl.expect(sum(result.inTime) >= capacity * 0.85).toEqual(true);
            earl.expect(result.withoutRoom).toEqual(0);
            earl.expect(result.queued / result.sent <= load.slots).toEqual(true);
            const [first, , last] = result.inTime.map((count, rank) => count / result.arrived[rank]);
            earl.expect(first > last).toEqual(true);
            earl.expect(last >= sum(result.inTime) / sum(result.arrived) / 4).toEqual(true);
        });
    }

    test.it("are all served below its capacity", async () => {
        const result = await sharedWaiting.playSharedWaiting({ ...load, instanceCount: 11, loadFactor: 0.7 });
        earl.expect(result.refused).toEqual(0);
        earl.expect(sum(result.inTime) >= sum(result.arrived) * 0.95).toEqual(true);
    });

    // Guards against many instances that together send more than without waiting: 0.36 of the capacity was used in time then.
    test.it("use more of its capacity in time than without waiting, with 65 instances that hardly know its queue", async () => {
        const result = await sharedWaiting.playSharedWaiting({ ...load, instanceCount: 65, loadFactor: 1.5 });
        const capacity = load.durationMilliseconds / load.serviceMilliseconds * load.slots;
        earl.expect(sum(result.inTime) >= capacity * 0.5).toEqual(true);
    });
});
