/** Leases on the server's clock: never longer than a lease after the confirmation, whatever is late. */
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const duration = 700;

test.describe("a lease", () => {
    test.it("ends within one lease of its confirmation, in true time", () => {
        const property = fastCheck.property(
            fastCheck.record({
                clockOffset: fastCheck.integer({ min: -100_000, max: 100_000 }),
                sampledAt: fastCheck.nat(5000),
                answerTook: fastCheck.nat(3000),
                confirmedAt: fastCheck.nat(8000),
            }),
            ({ clockOffset, sampledAt, answerTook, confirmedAt }) => {
                const sample = { serverClock: sampledAt + clockOffset, receivedAt: sampledAt + answerTook };
                const expiresInTrueTime = ownership.leaseExpiry(sample, confirmedAt, duration) - clockOffset;
                earl.expect(expiresInTrueTime <= confirmedAt + duration).toEqual(true);
            },
        );
        fastCheck.assert(property, { seed: 17, numRuns: 500 });
    });

    test.it("is waited out with room for clocks that run apart by one part in twenty", () => {
        earl.expect(ownership.leaseExpiryWaitMilliseconds(duration) >= duration * 1.05).toEqual(true);
    });
});
