/**
 * A lease expires on the server's clock, at most one lease duration after the round that confirmed it began. Clock
 * offsets and delayed responses must not extend it, or a slot could have an old and a new owner at once.
 */
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const durationMilliseconds = 700;

test.describe("a lease", () => {
    test.it("expires within one lease duration of its confirmation in real time", () => {
        const property = fastCheck.property(
            fastCheck.record({
                clockOffset: fastCheck.integer({ min: -100_000, max: 100_000 }),
                sampledAt: fastCheck.nat(5000),
                responseMilliseconds: fastCheck.nat(3000),
                confirmedAt: fastCheck.nat(8000),
            }),
            ({ clockOffset, sampledAt, responseMilliseconds, confirmedAt }) => {
                const sample = { serverClock: sampledAt + clockOffset, receivedAt: sampledAt + responseMilliseconds };
                const trueExpiry = ownership.leaseExpiry(sample, confirmedAt, durationMilliseconds) - clockOffset;
                earl.expect(trueExpiry <= confirmedAt + durationMilliseconds).toEqual(true);
            },
        );
        fastCheck.assert(property, { seed: 17, numRuns: 500 });
    });

    test.it("is followed by a wait long enough for a clock drift of 5%", () => {
        earl.expect(ownership.leaseExpiryWaitMilliseconds(durationMilliseconds) >= durationMilliseconds * 1.05).toEqual(
            true,
        );
    });
});
