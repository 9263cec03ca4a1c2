/**
 * The grant tracker must delay the grant of a new holder until every lease of the previous holder has expired, or until
 * the previous holder releases the slot. A grant made too early would give the slot two owners.
 */
import * as ledger from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as test from "node:test";

const durationMilliseconds = 700;
const waitMilliseconds = ownership.leaseExpiryWaitMilliseconds(durationMilliseconds);

const createState = (
    changedAt: number,
    entry: Partial<ledger.SlotEntry>,
    lostServers: string[] = [],
): ledger.LogState => ({
    ...ledger.createEmptyState(),
    offset: changedAt,
    changedAt,
    servers: ["a", "b", "c"].map(name => ({
        name,
        session: 1,
        incarnation: "run-1",
        status: lostServers.includes(name) ? "lost" : "serving",
        statusAt: 1,
    })),
    tables: [{
        service: "records",
        version: changedAt,
        slots: [{ owner: "a@1", token: 4, heir: "b@1", heirToken: 5, previous: undefined, ...entry }],
    }],
});

const applyRound = (
    tracker: ownership.GrantTracker,
    state: ledger.LogState,
    completedAt: number,
    expiredSessions: string[] = [],
): void =>
    tracker.applyRound(
        { beganAt: completedAt - 20, completedAt, knowledge: { offset: state.changedAt, lapses: expiredSessions } },
        state,
        durationMilliseconds,
    );

const isGrantable = (tracker: ownership.GrantTracker, server: string, now: number): boolean =>
    tracker.grantableSlots(server, now).length > 0;

test.describe("the grant tracker", () => {
    test.it("makes a slot grantable once older leases have expired after the holder's first confirmation", () => {
        const tracker = ownership.createGrantTracker();
        applyRound(tracker, createState(2, {}), 100);
        applyRound(tracker, createState(2, {}), 500);
        earl.expect(isGrantable(tracker, "a@1", 100 + waitMilliseconds - 1)).toEqual(false);
        earl.expect(isGrantable(tracker, "a@1", 100 + waitMilliseconds)).toEqual(true);
    });

    test.it("ignores a round whose knowledge differs from the applied log", () => {
        const tracker = ownership.createGrantTracker();
        const state = createState(3, {});
        tracker.applyRound(
            { beganAt: 0, completedAt: 10, knowledge: { offset: 2, lapses: [] } },
            state,
            durationMilliseconds,
        );
        earl.expect(tracker.holder("records", 0, 5000)).toEqual(undefined);
        earl.expect(tracker.confirmedAt()).toEqual(undefined);
    });

    test.it("ignores a round older than the last applied one", () => {
        const tracker = ownership.createGrantTracker();
        applyRound(tracker, createState(3, { owner: "c@1", token: 6 }), 500);
        applyRound(tracker, createState(2, {}), 400);
        earl.expect(tracker.holder("records", 0, 500)?.holder).toEqual("c@1");
        earl.expect(tracker.confirmedAt()).toEqual(480);
    });

    test.it("lets the successor be granted the slot once the leases of the owner's expired session have expired", () => {
        const tracker = ownership.createGrantTracker();
        applyRound(tracker, createState(2, {}), 100);
        applyRound(tracker, createState(2, {}), 2000, ["a@1"]);
        earl.expect(isGrantable(tracker, "a@1", 2000)).toEqual(false);
        earl.expect(isGrantable(tracker, "b@1", 2000 + waitMilliseconds - 1)).toEqual(false);
        earl.expect(tracker.grantableSlots("b@1", 2000 + waitMilliseconds)).toEqual([{
            service: "records",
            slot: 0,
            token: 5,
        }]);
    });

    test.it("does not wait again when the log records a successor that already holds the slot as owner", () => {
        const tracker = ownership.createGrantTracker();
        applyRound(tracker, createState(2, {}), 100, ["a@1"]);
        earl.expect(isGrantable(tracker, "b@1", 100 + waitMilliseconds)).toEqual(true);
        applyRound(tracker, createState(3, {}, ["a"]), 2000);
        applyRound(tracker, createState(4, { owner: "b@1", token: 5, heir: "c@1", heirToken: 9 }, ["a"]), 2100);
        earl.expect(isGrantable(tracker, "b@1", 2101)).toEqual(true);
    });

    test.it("makes a slot grantable immediately when the previous owner releases it", () => {
        const tracker = ownership.createGrantTracker();
        const moved = createState(3, { owner: "c@1", token: 6, previous: { holder: "a@1", token: 4 } });
        applyRound(tracker, createState(2, {}), 100);
        applyRound(tracker, moved, 2000);
        earl.expect(tracker.slotsToRelease("a@1")).toEqual([{ service: "records", slot: 0, token: 4 }]);
        earl.expect(isGrantable(tracker, "c@1", 2010)).toEqual(false);
        tracker.recordRelease({ service: "records", slot: 0, token: 4 });
        earl.expect(isGrantable(tracker, "c@1", 2010)).toEqual(true);
    });

    test.it("waits despite a release if the previous owner's session expired, as its successor may hold the slot", () => {
        const tracker = ownership.createGrantTracker();
        const moved = createState(3, { owner: "c@1", token: 6, previous: { holder: "a@1", token: 4 } });
        applyRound(tracker, moved, 2000, ["a@1"]);
        tracker.recordRelease({ service: "records", slot: 0, token: 4 });
        earl.expect(isGrantable(tracker, "c@1", 2010)).toEqual(false);
        earl.expect(isGrantable(tracker, "c@1", 2000 + waitMilliseconds)).toEqual(true);
    });

    test.it("returns no holder when the sessions of owner and successor have both expired", () => {
        const tracker = ownership.createGrantTracker();
        applyRound(tracker, createState(2, {}), 100, ["a@1", "b@1"]);
        earl.expect(tracker.holder("records", 0, 5000)).toEqual(undefined);
    });
});
