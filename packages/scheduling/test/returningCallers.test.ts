/** Recognition of callers that come back after a refusal, from the time that their requests state. */
import * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import * as earl from "earl";
import * as test from "node:test";

const usualMilliseconds = 6000;

/** Creates a recognition that has seen first attempts with the usual time. */
const createTrained = (count = 40): scheduling.ReturningCallers => {
    const callers = scheduling.createReturningCallers();
    for (let index = 0; index < count; index += 1) {
        callers.onRequest("lookup", usualMilliseconds);
    }
    return callers;
};

test.describe("a caller that comes back", () => {
    test.it("is recognised by the time that is missing", () => {
        const callers = createTrained();
        earl.expect(callers.onRequest("lookup", usualMilliseconds - 700)).toEqual(700);
        earl.expect(callers.onRequest("lookup", usualMilliseconds)).toEqual(0);
    });

    // Guards against a preference for callers of a route on which first attempts state any time.
    test.it("is not assumed before the usual time is known, nor on a route without one", () => {
        earl.expect(createTrained(5).onRequest("lookup", usualMilliseconds - 700)).toEqual(0);
        earl.expect(createTrained().onRequest("other", usualMilliseconds - 700)).toEqual(0);
        const random = foundation.createRandom(1);
        const callers = scheduling.createReturningCallers();
        const elapsed = Array.from({ length: 500 }, () => callers.onRequest("lookup", 6000 + random.below(4000)));
        earl.expect(elapsed.filter(milliseconds => milliseconds > 0)).toEqual([]);
    });

    // Guards against a client that always states a shorter time and would be preferred for ever.
    test.it("is not assumed if many requests state the same shorter time", () => {
        const callers = createTrained();
        for (let index = 0; index < 10; index += 1) {
            callers.onRequest("lookup", 3000);
            callers.onRequest("lookup", usualMilliseconds);
        }
        earl.expect(callers.onRequest("lookup", 3000)).toEqual(0);
    });

    test.it("is recognised while two of three attempts are retries, and after the usual time has changed", () => {
        const random = foundation.createRandom(2);
        const callers = scheduling.createReturningCallers();
        let recognised = 0;
        for (let index = 0; index < 300; index += 1) {
            callers.onRequest("lookup", usualMilliseconds);
            recognised += [1, 2].filter(() => {
                const elapsed = 100 + random.below(3000);
                return callers.onRequest("lookup", usualMilliseconds - elapsed) === elapsed;
            }).length;
        }
        earl.expect(recognised > 500).toEqual(true);
        for (let index = 0; index < 800; index += 1) {
            callers.onRequest("lookup", 9000);
        }
        earl.expect(callers.onRequest("lookup", 8500)).toEqual(500);
    });

    test.it("is not assumed from a time that is malformed, longer, hardly shorter or nearly over", () => {
        const callers = createTrained();
        const stated = [NaN, Infinity, -1, 0, usualMilliseconds + 500, usualMilliseconds - 20, 300];
        earl.expect(stated.map(milliseconds => callers.onRequest("lookup", milliseconds))).toEqual(stated.map(() => 0));
    });
});
