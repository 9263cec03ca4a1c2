/** Late, reordered and misaddressed messages must not extend, revive or replace the grants of a server. */
import * as standins from "@mulberryseam/standins";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const slot = (token: number) => ({ service: "records", slot: 3, token });

const message = (overrides: Partial<standins.GrantMessage>): standins.GrantMessage => ({
    incarnation: "run-1",
    expiresAt: 1000,
    slots: [],
    release: [],
    ...overrides,
});

test.describe("grant table", () => {
    test.it("expires grants at the time given in the message, even if the message arrives late", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.handleMessage(message({ slots: [slot(10)] }), 900);
        earl.expect(table.owns(slot(10), 999)).toEqual(true);
        earl.expect(table.owns(slot(10), 1000)).toEqual(false);
        table.handleMessage(message({ slots: [slot(10)] }), 1100);
        earl.expect(table.owns(slot(10), 1100)).toEqual(false);
    });

    test.it("does not shorten a grant when an older message arrives late", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.handleMessage(message({ slots: [slot(10)], expiresAt: 1500 }), 900);
        table.handleMessage(message({ slots: [slot(10)], expiresAt: 1000 }), 950);
        earl.expect(table.owns(slot(10), 1400)).toEqual(true);
    });

    test.it("ignores grants and releases for another incarnation of the server", () => {
        const table = standins.createGrantTable("run-2", () => false);
        table.handleMessage(message({ slots: [slot(10)] }), 900);
        earl.expect(table.owns(slot(10), 950)).toEqual(false);
        table.handleMessage(message({ incarnation: "run-2", slots: [slot(10)] }), 900);
        earl.expect(table.handleMessage(message({ release: [slot(10)] }), 910).released).toEqual([]);
        earl.expect(table.owns(slot(10), 950)).toEqual(true);
    });

    test.it("does not restore a released grant when a late message repeats its token", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.handleMessage(message({ slots: [slot(10)] }), 900);
        earl.expect(table.handleMessage(message({ release: [slot(10)] }), 910).released).toEqual([slot(10)]);
        table.handleMessage(message({ slots: [slot(10)] }), 920);
        earl.expect(table.owns(slot(10), 930)).toEqual(false);
        table.handleMessage(message({ slots: [slot(12)] }), 940);
        earl.expect(table.owns(slot(12), 950)).toEqual(true);
    });

    test.it("reports a release only if the grant was held, and rejects later grants with its token", () => {
        const table = standins.createGrantTable("run-1", () => false);
        earl.expect(table.handleMessage(message({ release: [slot(10)] }), 910).released).toEqual([]);
        table.handleMessage(message({ slots: [slot(10)] }), 920);
        earl.expect(table.owns(slot(10), 930)).toEqual(false);
    });

    test.it("does not replace a grant by one with a lower token", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.handleMessage(message({ slots: [slot(12)] }), 900);
        table.handleMessage(message({ slots: [slot(10)] }), 910);
        earl.expect(table.owns(slot(12), 920)).toEqual(true);
        earl.expect(table.owns(slot(10), 920)).toEqual(false);
    });

    test.it("holds no grant beyond the latest expiry time of any message", () => {
        const property = fastCheck.property(
            fastCheck.array(
                fastCheck.record({
                    token: fastCheck.integer({ min: 1, max: 4 }),
                    expiresAt: fastCheck.nat(1000),
                    now: fastCheck.nat(1000),
                    isRelease: fastCheck.boolean(),
                }),
                { maxLength: 20 },
            ),
            events => {
                const table = standins.createGrantTable("run-1", () => false);
                let maxExpiresAt = 0;
                for (const event of [...events].sort((left, right) => left.now - right.now)) {
                    const slots = [slot(event.token)];
                    maxExpiresAt = event.isRelease ? maxExpiresAt : Math.max(maxExpiresAt, event.expiresAt);
                    table.handleMessage(
                        message(event.isRelease ? { release: slots } : { slots, expiresAt: event.expiresAt }),
                        event.now,
                    );
                }
                const isOwned = [1, 2, 3, 4].some(token => table.owns(slot(token), maxExpiresAt));
                earl.expect(isOwned).toEqual(false);
            },
        );
        fastCheck.assert(property, { seed: 11, numRuns: 300 });
    });
});
