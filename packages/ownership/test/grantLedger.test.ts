/** The ledger of grants: since when a holder is named, and from when it may be granted. */
import { emptyState, type LogState, type SlotEntry } from "@mulberryseam/ledger";
import { createGrantLedger, type GrantLedger, waitOutMilliseconds } from "@mulberryseam/ownership";
import { expect } from "earl";
import { describe, it } from "node:test";

const duration = 700;
const wait = waitOutMilliseconds(duration);

const createState = (changedAt: number, entry: Partial<SlotEntry>, lost: string[] = []): LogState => ({
    ...emptyState(),
    offset: changedAt,
    changedAt,
    servers: ["a", "b", "c"].map(name => ({
        name,
        session: 1,
        incarnation: "run-1",
        status: lost.includes(name) ? "lost" : "serving",
        statusAt: 1,
    })),
    tables: [{
        service: "records",
        version: changedAt,
        slots: [{ owner: "a@1", token: 4, heir: "b@1", heirToken: 5, previous: undefined, ...entry }],
    }],
});

const takeRound = (ledger: GrantLedger, state: LogState, completedAt: number, lapses: string[] = []): void =>
    ledger.takeRound(
        { beganAt: completedAt - 20, completedAt, knowledge: { offset: state.changedAt, lapses } },
        state,
        duration,
    );

const ownsAt = (ledger: GrantLedger, server: string, now: number): boolean => ledger.dueFor(server, now).length > 0;

describe("the ledger of grants", () => {
    it("makes a grant due one lease after it was first confirmed", () => {
        const ledger = createGrantLedger();
        takeRound(ledger, createState(2, {}), 100);
        takeRound(ledger, createState(2, {}), 500);
        expect(ownsAt(ledger, "a@1", 100 + wait - 1)).toEqual(false);
        expect(ownsAt(ledger, "a@1", 100 + wait)).toEqual(true);
    });

    it("passes over a round whose knowledge is not what was folded", () => {
        const ledger = createGrantLedger();
        const state = createState(3, {});
        ledger.takeRound({ beganAt: 0, completedAt: 10, knowledge: { offset: 2, lapses: [] } }, state, duration);
        expect(ledger.holder("records", 0, 5000)).toEqual(undefined);
        expect(ledger.confirmedAt()).toEqual(undefined);
    });

    it("passes over a round older than the last one taken", () => {
        const ledger = createGrantLedger();
        takeRound(ledger, createState(3, { owner: "c@1", token: 6 }), 500);
        takeRound(ledger, createState(2, {}), 400);
        expect(ledger.holder("records", 0, 500)?.holder).toEqual("c@1");
        expect(ledger.confirmedAt()).toEqual(480);
    });

    it("turns to the heir when the owner's session lapses, after a wait", () => {
        const ledger = createGrantLedger();
        takeRound(ledger, createState(2, {}), 100);
        takeRound(ledger, createState(2, {}), 2000, ["a@1"]);
        expect(ownsAt(ledger, "a@1", 2000)).toEqual(false);
        expect(ownsAt(ledger, "b@1", 2000 + wait - 1)).toEqual(false);
        expect(ledger.dueFor("b@1", 2000 + wait)).toEqual([{ service: "records", slot: 0, token: 5 }]);
    });

    it("does not wait again when the log confirms an heir that holds already", () => {
        const ledger = createGrantLedger();
        takeRound(ledger, createState(2, {}), 100, ["a@1"]);
        expect(ownsAt(ledger, "b@1", 100 + wait)).toEqual(true);
        takeRound(ledger, createState(3, {}, ["a"]), 2000);
        takeRound(ledger, createState(4, { owner: "b@1", token: 5, heir: "c@1", heirToken: 9 }, ["a"]), 2100);
        expect(ownsAt(ledger, "b@1", 2101)).toEqual(true);
    });

    it("makes a grant due at once when the holder before gave the slot up", () => {
        const ledger = createGrantLedger();
        const moved = createState(3, { owner: "c@1", token: 6, previous: { holder: "a@1", token: 4 } });
        takeRound(ledger, createState(2, {}), 100);
        takeRound(ledger, moved, 2000);
        expect(ledger.toRelease("a@1")).toEqual([{ service: "records", slot: 0, token: 4 }]);
        expect(ownsAt(ledger, "c@1", 2010)).toEqual(false);
        ledger.takeRelease({ service: "records", slot: 0, token: 4 });
        expect(ownsAt(ledger, "c@1", 2010)).toEqual(true);
    });

    it("waits in spite of a release when the session before had lapsed, since its heir may hold the slot", () => {
        const ledger = createGrantLedger();
        const moved = createState(3, { owner: "c@1", token: 6, previous: { holder: "a@1", token: 4 } });
        takeRound(ledger, moved, 2000, ["a@1"]);
        ledger.takeRelease({ service: "records", slot: 0, token: 4 });
        expect(ownsAt(ledger, "c@1", 2010)).toEqual(false);
        expect(ownsAt(ledger, "c@1", 2000 + wait)).toEqual(true);
    });

    it("names nobody when owner and heir are both gone", () => {
        const ledger = createGrantLedger();
        takeRound(ledger, createState(2, {}), 100, ["a@1", "b@1"]);
        expect(ledger.holder("records", 0, 5000)).toEqual(undefined);
    });
});
