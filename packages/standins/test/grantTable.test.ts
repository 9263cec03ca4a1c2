/** The grants of a server: what late, foreign and stale messages can and cannot do. */
import * as standins from "@mulberryseam/standins";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const slot = (token: number) => ({ service: "records", slot: 3, token });

const message = (change: Partial<standins.GrantMessage>): standins.GrantMessage => ({
    incarnation: "run-1",
    expiresAt: 1000,
    slots: [],
    release: [],
    ...change,
});

test.describe("the grants of a server", () => {
    test.it("end at the instant they carry, whenever the message arrives", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.take(message({ slots: [slot(10)] }), 900);
        earl.expect(table.owns(slot(10), 999)).toEqual(true);
        earl.expect(table.owns(slot(10), 1000)).toEqual(false);
        table.take(message({ slots: [slot(10)] }), 1100);
        earl.expect(table.owns(slot(10), 1100)).toEqual(false);
    });

    test.it("are not shortened by a message that is older", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.take(message({ slots: [slot(10)], expiresAt: 1500 }), 900);
        table.take(message({ slots: [slot(10)], expiresAt: 1000 }), 950);
        earl.expect(table.owns(slot(10), 1400)).toEqual(true);
    });

    test.it("for another run of the server are refused", () => {
        const table = standins.createGrantTable("run-2", () => false);
        table.take(message({ slots: [slot(10)] }), 900);
        earl.expect(table.owns(slot(10), 950)).toEqual(false);
        table.take(message({ incarnation: "run-2", slots: [slot(10)] }), 900);
        earl.expect(table.take(message({ release: [slot(10)] }), 910).released).toEqual([]);
        earl.expect(table.owns(slot(10), 950)).toEqual(true);
    });

    test.it("once released cannot be revived by a late message under the same token", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.take(message({ slots: [slot(10)] }), 900);
        earl.expect(table.take(message({ release: [slot(10)] }), 910).released).toEqual([slot(10)]);
        table.take(message({ slots: [slot(10)] }), 920);
        earl.expect(table.owns(slot(10), 930)).toEqual(false);
        table.take(message({ slots: [slot(12)] }), 940);
        earl.expect(table.owns(slot(12), 950)).toEqual(true);
    });

    test.it("are said to be released only when they were held", () => {
        const table = standins.createGrantTable("run-1", () => false);
        earl.expect(table.take(message({ release: [slot(10)] }), 910).released).toEqual([]);
        table.take(message({ slots: [slot(10)] }), 920);
        earl.expect(table.owns(slot(10), 930)).toEqual(false);
    });

    test.it("under a lower token never replace those under a higher one", () => {
        const table = standins.createGrantTable("run-1", () => false);
        table.take(message({ slots: [slot(12)] }), 900);
        table.take(message({ slots: [slot(10)] }), 910);
        earl.expect(table.owns(slot(12), 920)).toEqual(true);
        earl.expect(table.owns(slot(10), 920)).toEqual(false);
    });

    test.it("never last beyond the latest instant that any message carried", () => {
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
                let latest = 0;
                for (const event of [...events].sort((left, right) => left.now - right.now)) {
                    const slots = [slot(event.token)];
                    latest = event.isRelease ? latest : Math.max(latest, event.expiresAt);
                    table.take(
                        message(event.isRelease ? { release: slots } : { slots, expiresAt: event.expiresAt }),
                        event.now,
                    );
                }
                const isOwned = [1, 2, 3, 4].some(token => table.owns(slot(token), latest));
                earl.expect(isOwned).toEqual(false);
            },
        );
        fastCheck.assert(property, { seed: 11, numRuns: 300 });
    });
});
