/** The load of keys. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";

test.describe("the load of keys", () => {
    test.it("gives requests a second, from the first second on and after a change", () => {
        const load = assignment.createKeyLoad();
        const perSecond = (): number => load.prefixSums()[assignment.keyCount] / load.seconds();
        const play = (seconds: number, requestsPerSecond: number): void => {
            for (let step = 0; step < seconds * 2; step += 1) {
                load.add(step, requestsPerSecond / 2);
                load.fade(500);
            }
        };
        play(1, 100);
        earl.expect(Math.abs(perSecond() - 100) < 1).toEqual(true);
        play(10, 300);
        earl.expect(Math.abs(perSecond() - 300) < 10).toEqual(true);
    });
});
