/** The fold: what is accepted, what is refused, and that equal records give equal states. */
import * as ledger from "@mulberryseam/ledger";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";
import * as fixtures from "./fixtures";

test.describe("publishing", () => {
    test.it("lets exactly one of two racing operators win and tells the other what it lost to", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish("first", -1), "amina");
        log.append(fixtures.createPublish("second", -1), "talei");
        const follower = ledger.createLogFollower();
        const folded = follower.takePage(log.page(0));
        earl.expect(folded.map(entry => entry.outcome.kind)).toEqual(["accepted", "refused"]);
        earl.expect(folded[1].outcome.reason).toEqual("environment \"production\" is at version 0, written by amina");
        earl.expect(follower.state()?.environments[0].document).toEqual("first");
    });

    test.it("folds a repeated record to nothing", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish("first", -1), "amina", 1);
        log.append(fixtures.createPublish("first", -1), "amina", 1);
        log.append(fixtures.createPublish("second", 0), "amina", 2);
        log.append(fixtures.createPublish("first", -1), "amina", 1);
        const folded = ledger.createLogFollower().takePage(log.page(0));
        earl.expect(folded.map(entry => entry.outcome.kind)).toEqual(["accepted", "repeated", "accepted", "repeated"]);
    });

    test.it("refuses a promotion of a version that has been replaced meanwhile", () => {
        const log = fixtures.createTestLog();
        log.append({ kind: "publish", environment: "trial", basedOn: -1, document: "a" });
        log.append({ kind: "publish", environment: "trial", basedOn: 0, document: "b" });
        log.append({ kind: "promote", from: "trial", to: "production", basedOnFrom: 0, basedOnTo: -1 });
        log.append({ kind: "promote", from: "trial", to: "production", basedOnFrom: 1, basedOnTo: -1 });
        const folded = ledger.createLogFollower().takePage(log.page(0));
        earl.expect(folded.map(entry => entry.outcome.kind)).toEqual(["accepted", "accepted", "refused", "accepted"]);
    });
});

test.describe("leading", () => {
    test.it("refuses a claim of a term that is taken and a plan of an old term", () => {
        const log = fixtures.createTestLog();
        const [first, second] = [fixtures.createMember("first"), fixtures.createMember("second")];
        log.append({ kind: "claim", term: 1, member: first });
        log.append({ kind: "members", term: 1, basedOn: 0, add: second });
        log.append({ kind: "claim", term: 2, member: second });
        log.append({ kind: "claim", term: 2, member: first });
        log.append({ kind: "servers", term: 1, basedOn: -1, changes: [] });
        const folded = ledger.createLogFollower().takePage(log.page(0));
        earl.expect(folded.map(entry => entry.outcome.kind))
            .toEqual(["accepted", "accepted", "accepted", "refused", "refused"]);
    });

    test.it("refuses to change members by more than one, or from a stale list", () => {
        const log = fixtures.createTestLog();
        log.append({ kind: "claim", term: 1, member: fixtures.createMember("first") });
        log.append({
            kind: "members",
            term: 1,
            basedOn: 0,
            add: fixtures.createMember("second"),
            remove: "first#run-1",
        });
        log.append({ kind: "members", term: 1, basedOn: 0, add: fixtures.createMember("second") });
        log.append({ kind: "members", term: 1, basedOn: 0, add: fixtures.createMember("third") });
        const folded = ledger.createLogFollower().takePage(log.page(0));
        earl.expect(folded.map(entry => entry.outcome.kind)).toEqual(["accepted", "refused", "accepted", "refused"]);
    });
});

test.describe("assigning", () => {
    const createAssigned = () => {
        const log = fixtures.createTestLog();
        const server = (name: string) => ({ name, incarnation: "run-1", status: "serving" as const });
        log.append({ kind: "claim", term: 1, member: fixtures.createMember("first") });
        log.append({ kind: "servers", term: 1, basedOn: -1, changes: [server("a"), server("b"), server("c")] });
        log.append({
            kind: "assign",
            term: 1,
            service: "records",
            basedOn: -1,
            slotCount: 1,
            assignments: [{ slot: 0, owner: "a@1", heir: "b@1" }],
        });
        return log;
    };
    const assign = (basedOn: number, owner: string, heir: string): ledger.RecordBody => ({
        kind: "assign",
        term: 1,
        service: "records",
        basedOn,
        slotCount: 1,
        assignments: [{ slot: 0, owner, heir }],
    });

    test.it("gives each new holder a token above every token before, the heir's included", () => {
        const log = createAssigned();
        const before = fixtures.followToEnd(log).state()?.tables[0].slots[0];
        log.append(assign(2, "c@1", "a@1"));
        const after = fixtures.followToEnd(log).state()?.tables[0].slots[0];
        earl.expect((after?.token ?? 0) > (before?.heirToken ?? 0)).toEqual(true);
        earl.expect((after?.heirToken ?? 0) > (after?.token ?? 0)).toEqual(true);
        earl.expect(after?.previous).toEqual({ holder: "a@1", token: before?.token ?? -1 });
    });

    test.it("keeps the owner's token when only the heir changes", () => {
        const log = createAssigned();
        const before = fixtures.followToEnd(log).state()?.tables[0].slots[0];
        log.append(assign(2, "a@1", "c@1"));
        const after = fixtures.followToEnd(log).state()?.tables[0].slots[0];
        earl.expect(after?.token).toEqual(before?.token);
        earl.expect((after?.heirToken ?? 0) > (before?.heirToken ?? 0)).toEqual(true);
    });

    test.it("keeps the heir's token when the heir of a lost owner becomes the owner", () => {
        const log = createAssigned();
        const before = fixtures.followToEnd(log).state()?.tables[0].slots[0];
        log.append({
            kind: "servers",
            term: 1,
            basedOn: 1,
            changes: [{ name: "a", incarnation: "run-1", status: "lost" }],
        });
        log.append(assign(2, "b@1", "c@1"));
        const after = fixtures.followToEnd(log).state()?.tables[0].slots[0];
        earl.expect(after?.token).toEqual(before?.heirToken);
        earl.expect(after?.previous).toEqual({ holder: "a@1", token: before?.token ?? -1 });
    });

    test.it("refuses an assignment based on an old table", () => {
        const log = createAssigned();
        log.append(assign(2, "b@1", "a@1"));
        log.append(assign(2, "c@1", "a@1"));
        earl.expect(fixtures.followToEnd(log).state()?.tables[0].slots[0].owner).toEqual("b@1");
    });

    test.it("gives a lost server that returns a new session", () => {
        const log = createAssigned();
        const change = (status: "lost" | "serving") => [{ name: "a", incarnation: "run-1", status }];
        log.append({ kind: "servers", term: 1, basedOn: 1, changes: change("lost") });
        log.append({ kind: "servers", term: 1, basedOn: 3, changes: change("serving") });
        const server = fixtures.followToEnd(log).state()?.servers.find(entry => entry.name === "a");
        earl.expect(server?.session).toEqual(4);
    });
});

test.describe("the fold as a whole", () => {
    test.it("gives the same state however the log is cut into pages", () => {
        const bodies: fastCheck.Arbitrary<ledger.RecordBody> = fastCheck.oneof(
            fastCheck.record({
                kind: fastCheck.constant("publish" as const),
                environment: fastCheck.constantFrom("trial", "production"),
                basedOn: fastCheck.integer({ min: -1, max: 10 }),
                document: fastCheck.string({ maxLength: 4 }),
            }),
            fastCheck.record({
                kind: fastCheck.constant("claim" as const),
                term: fastCheck.nat(3),
                member: fastCheck.constantFrom(fixtures.createMember("first"), fixtures.createMember("second")),
            }),
        );
        const property = fastCheck.property(
            fastCheck.array(bodies, { maxLength: 20 }),
            fastCheck.integer({ min: 1, max: 5 }),
            (drawn, limit) => {
                const log = fixtures.createTestLog();
                drawn.forEach(body => log.append(body));
                const whole = ledger.createLogFollower();
                whole.takePage(log.page(0));
                const cut = ledger.createLogFollower();
                while (cut.nextOffset() < drawn.length) {
                    cut.takePage(log.page(cut.nextOffset(), limit));
                }
                earl.expect(cut.state() ?? whole.state()).toEqual(whole.state());
            },
        );
        fastCheck.assert(property, { seed: 7, numRuns: 200 });
    });

    test.it("is read back from text, and garbage is refused without a throw", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish("first", -1));
        const state = fixtures.followToEnd(log).state();
        earl.expect(JSON.stringify(ledger.parseState(JSON.stringify(state)).unwrap())).toEqual(JSON.stringify(state));
        const property = fastCheck.property(fastCheck.oneof(fastCheck.string(), fastCheck.json()), text => {
            earl.expect(ledger.parseState(text).err).toEqual(true);
        });
        fastCheck.assert(property, { seed: 23, numRuns: 300 });
    });

    test.it("passes over records that are not well formed", () => {
        const follower = ledger.createLogFollower();
        follower.takePage({ oldestOffset: 0, nextOffset: 1, records: [{ offset: 0, value: { nonsense: true } }] });
        earl.expect(follower.state()?.offset).toEqual(0);
    });
});
