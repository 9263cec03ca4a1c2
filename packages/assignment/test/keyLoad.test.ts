/** Decaying request load of keys. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";

test.describe("the key load", () => {
    test.it("measures requests per second, from the first second on and after a change of rate", () => {
        const load = assignment.createKeyLoad();
        const perSecond = (): number => load.prefixSums()[assignment.keyCount] / load.windowSeconds();
        const simulateLoad = (seconds: number, requestsPerSecond: number): void => {
            for (let step = 0; step < seconds * 2; step += 1) {
                load.add(step, requestsPerSecond / 2);
                load.decay(500);
            }
        };
        simulateLoad(1, 100);
        earl.expect(Math.abs(perSecond() - 100) < 1).toEqual(true);
        simulateLoad(10, 300);
        earl.expect(Math.abs(perSecond() - 300) < 10).toEqual(true);
    });
});
