/** The ledger of grants: since when a holder is named, and from when it may be granted. */
import * as ledgers from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as test from "node:test";

const duration = 700;
const wait = ownership.waitOutMilliseconds(duration);

const createState = (changedAt: number, entry: Partial<ledgers.SlotEntry>, lost: string[] = []): ledgers.LogState => ({
    ...ledgers.createEmptyState(),
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

const takeRound = (
    ledger: ownership.GrantLedger,
    state: ledgers.LogState,
    completedAt: number,
    lapses: string[] = [],
): void =>
    ledger.takeRound(
        { beganAt: completedAt - 20, completedAt, knowledge: { offset: state.changedAt, lapses } },
        state,
        duration,
    );

const ownsAt = (ledger: ownership.GrantLedger, server: string, now: number): boolean =>
    ledger.dueFor(server, now).length > 0;

test.describe("the ledger of grants", () => {
    test.it("makes a grant due one lease after it was first confirmed", () => {
        const ledger = ownership.createGrantLedger();
        takeRound(ledger, createState(2, {}), 100);
        takeRound(ledger, createState(2, {}), 500);
        earl.expect(ownsAt(ledger, "a@1", 100 + wait - 1)).toEqual(false);
        earl.expect(ownsAt(ledger, "a@1", 100 + wait)).toEqual(true);
    });

    test.it("passes over a round whose knowledge is not what was folded", () => {
        const ledger = ownership.createGrantLedger();
        const state = createState(3, {});
        ledger.takeRound({ beganAt: 0, completedAt: 10, knowledge: { offset: 2, lapses: [] } }, state, duration);
        earl.expect(ledger.holder("records", 0, 5000)).toEqual(undefined);
        earl.expect(ledger.confirmedAt()).toEqual(undefined);
    });

    test.it("passes over a round older than the last one taken", () => {
        const ledger = ownership.createGrantLedger();
        takeRound(ledger, createState(3, { owner: "c@1", token: 6 }), 500);
        takeRound(ledger, createState(2, {}), 400);
        earl.expect(ledger.holder("records", 0, 500)?.holder).toEqual("c@1");
        earl.expect(ledger.confirmedAt()).toEqual(480);
    });

    test.it("turns to the heir when the owner's session lapses, after a wait", () => {
        const ledger = ownership.createGrantLedger();
        takeRound(ledger, createState(2, {}), 100);
        takeRound(ledger, createState(2, {}), 2000, ["a@1"]);
        earl.expect(ownsAt(ledger, "a@1", 2000)).toEqual(false);
        earl.expect(ownsAt(ledger, "b@1", 2000 + wait - 1)).toEqual(false);
        earl.expect(ledger.dueFor("b@1", 2000 + wait)).toEqual([{ service: "records", slot: 0, token: 5 }]);
    });

    test.it("does not wait again when the log confirms an heir that holds already", () => {
        const ledger = ownership.createGrantLedger();
        takeRound(ledger, createState(2, {}), 100, ["a@1"]);
        earl.expect(ownsAt(ledger, "b@1", 100 + wait)).toEqual(true);
        takeRound(ledger, createState(3, {}, ["a"]), 2000);
        takeRound(ledger, createState(4, { owner: "b@1", token: 5, heir: "c@1", heirToken: 9 }, ["a"]), 2100);
        earl.expect(ownsAt(ledger, "b@1", 2101)).toEqual(true);
    });

    test.it("makes a grant due at once when the holder before gave the slot up", () => {
        const ledger = ownership.createGrantLedger();
        const moved = createState(3, { owner: "c@1", token: 6, previous: { holder: "a@1", token: 4 } });
        takeRound(ledger, createState(2, {}), 100);
        takeRound(ledger, moved, 2000);
        earl.expect(ledger.toRelease("a@1")).toEqual([{ service: "records", slot: 0, token: 4 }]);
        earl.expect(ownsAt(ledger, "c@1", 2010)).toEqual(false);
        ledger.takeRelease({ service: "records", slot: 0, token: 4 });
        earl.expect(ownsAt(ledger, "c@1", 2010)).toEqual(true);
    });

    test.it("waits in spite of a release when the session before had lapsed, since its heir may hold the slot", () => {
        const ledger = ownership.createGrantLedger();
        const moved = createState(3, { owner: "c@1", token: 6, previous: { holder: "a@1", token: 4 } });
        takeRound(ledger, moved, 2000, ["a@1"]);
        ledger.takeRelease({ service: "records", slot: 0, token: 4 });
        earl.expect(ownsAt(ledger, "c@1", 2010)).toEqual(false);
        earl.expect(ownsAt(ledger, "c@1", 2000 + wait)).toEqual(true);
    });

    test.it("names nobody when owner and heir are both gone", () => {
        const ledger = ownership.createGrantLedger();
        takeRound(ledger, createState(2, {}), 100, ["a@1", "b@1"]);
        earl.expect(ledger.holder("records", 0, 5000)).toEqual(undefined);
    });
});
