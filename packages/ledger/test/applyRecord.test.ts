/** Applying log records: accepted and refused records, fencing tokens, and equal states from equal records. */
import * as ledger from "@mulberryseam/ledger";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";
import * as fixtures from "./fixtures";

test.describe("applying publish and promote records", () => {
    test.it("accepts only one of two concurrent publishes, and names its version and writer to the other", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish("first", -1), "amina");
        log.append(fixtures.createPublish("second", -1), "talei");
        const follower = ledger.createLogFollower();
        const applied = follower.applyPage(log.page(0));
        earl.expect(applied.map(entry => entry.outcome.kind)).toEqual(["accepted", "refused"]);
        earl.expect(applied[1].outcome.reason).toEqual("environment \"production\" is at version 0, written by amina");
        earl.expect(follower.state()?.environments[0].document).toEqual("first");
    });

    test.it("does not apply a record again when a retried append is in the log twice", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish("first", -1), "amina", 1);
        log.append(fixtures.createPublish("first", -1), "amina", 1);
        log.append(fixtures.createPublish("second", 0), "amina", 2);
        log.append(fixtures.createPublish("first", -1), "amina", 1);
        const applied = ledger.createLogFollower().applyPage(log.page(0));
        earl.expect(applied.map(entry => entry.outcome.kind)).toEqual(["accepted", "repeated", "accepted", "repeated"]);
    });

    test.it("refuses to promote a version that has since been replaced", () => {
        const log = fixtures.createTestLog();
        log.append({ kind: "publish", environment: "trial", basedOn: -1, document: "a" });
        log.append({ kind: "publish", environment: "trial", basedOn: 0, document: "b" });
        log.append({ kind: "promote", from: "trial", to: "production", basedOnFrom: 0, basedOnTo: -1 });
        log.append({ kind: "promote", from: "trial", to: "production", basedOnFrom: 1, basedOnTo: -1 });
        const applied = ledger.createLogFollower().applyPage(log.page(0));
        earl.expect(applied.map(entry => entry.outcome.kind)).toEqual(["accepted", "accepted", "refused", "accepted"]);
    });
});

test.describe("applying claim and members records", () => {
    test.it("refuses a claim of a term that has a leader, and changes from the leader of an earlier term", () => {
        const log = fixtures.createTestLog();
        const [first, second] = [fixtures.createMember("first"), fixtures.createMember("second")];
        log.append({ kind: "claim", term: 1, member: first });
        log.append({ kind: "members", term: 1, basedOn: 0, add: second });
        log.append({ kind: "claim", term: 2, member: second });
        log.append({ kind: "claim", term: 2, member: first });
        log.append({ kind: "servers", term: 1, basedOn: -1, changes: [] });
        const applied = ledger.createLogFollower().applyPage(log.page(0));
        earl.expect(applied.map(entry => entry.outcome.kind))
            .toEqual(["accepted", "accepted", "accepted", "refused", "refused"]);
    });

    test.it("refuses to change more than one member at a time, or to change an outdated member list", () => {
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
        const applied = ledger.createLogFollower().applyPage(log.page(0));
        earl.expect(applied.map(entry => entry.outcome.kind)).toEqual(["accepted", "refused", "accepted", "refused"]);
    });
});

test.describe("applying assign records", () => {
    const createAssignedLog = () => {
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
    const createAssign = (basedOn: number, owner: string, heir: string): ledger.RecordBody => ({
        kind: "assign",
        term: 1,
        service: "records",
        basedOn,
        slotCount: 1,
        assignments: [{ slot: 0, owner, heir }],
    });

    test.it("assigns a new owner a token above all earlier tokens, including the successor's", () => {
        const log = createAssignedLog();
        const before = fixtures.createFollowerAtEnd(log).state()?.tables[0].slots[0];
        log.append(createAssign(2, "c@1", "a@1"));
        const after = fixtures.createFollowerAtEnd(log).state()?.tables[0].slots[0];
        earl.expect((after?.token ?? 0) > (before?.heirToken ?? 0)).toEqual(true);
        earl.expect((after?.heirToken ?? 0) > (after?.token ?? 0)).toEqual(true);
        earl.expect(after?.previous).toEqual({ holder: "a@1", token: before?.token ?? -1 });
    });

    test.it("keeps the owner's token when only the successor changes", () => {
        const log = createAssignedLog();
        const before = fixtures.createFollowerAtEnd(log).state()?.tables[0].slots[0];
        log.append(createAssign(2, "a@1", "c@1"));
        const after = fixtures.createFollowerAtEnd(log).state()?.tables[0].slots[0];
        earl.expect(after?.token).toEqual(before?.token);
        earl.expect((after?.heirToken ?? 0) > (before?.heirToken ?? 0)).toEqual(true);
    });

    test.it("keeps the successor's token when the successor of a lost owner becomes the owner", () => {
        const log = createAssignedLog();
        const before = fixtures.createFollowerAtEnd(log).state()?.tables[0].slots[0];
        log.append({
            kind: "servers",
            term: 1,
            basedOn: 1,
            changes: [{ name: "a", incarnation: "run-1", status: "lost" }],
        });
        log.append(createAssign(2, "b@1", "c@1"));
        const after = fixtures.createFollowerAtEnd(log).state()?.tables[0].slots[0];
        earl.expect(after?.token).toEqual(before?.heirToken);
        earl.expect(after?.previous).toEqual({ holder: "a@1", token: before?.token ?? -1 });
    });

    test.it("refuses an assignment based on an outdated table version", () => {
        const log = createAssignedLog();
        log.append(createAssign(2, "b@1", "a@1"));
        log.append(createAssign(2, "c@1", "a@1"));
        earl.expect(fixtures.createFollowerAtEnd(log).state()?.tables[0].slots[0].owner).toEqual("b@1");
    });

    test.it("starts a new session when a lost server returns", () => {
        const log = createAssignedLog();
        const createChanges = (status: "lost" | "serving") => [{ name: "a", incarnation: "run-1", status }];
        log.append({ kind: "servers", term: 1, basedOn: 1, changes: createChanges("lost") });
        log.append({ kind: "servers", term: 1, basedOn: 3, changes: createChanges("serving") });
        const server = fixtures.createFollowerAtEnd(log).state()?.servers.find(entry => entry.name === "a");
        earl.expect(server?.session).toEqual(4);
    });
});

test.describe("the state of the log", () => {
    test.it("does not depend on how the log is divided into pages", () => {
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
            (generatedBodies, limit) => {
                const log = fixtures.createTestLog();
                generatedBodies.forEach(body => log.append(body));
                const singlePageFollower = ledger.createLogFollower();
                singlePageFollower.applyPage(log.page(0));
                const pagedFollower = ledger.createLogFollower();
                while (pagedFollower.nextOffset() < generatedBodies.length) {
                    pagedFollower.applyPage(log.page(pagedFollower.nextOffset(), limit));
                }
                earl.expect(pagedFollower.state() ?? singlePageFollower.state()).toEqual(singlePageFollower.state());
            },
        );
        fastCheck.assert(property, { seed: 7, numRuns: 200 });
    });

    test.it("is parsed from its JSON text, and malformed text is refused without throwing", () => {
        const log = fixtures.createTestLog();
        log.append(fixtures.createPublish("first", -1));
        const state = fixtures.createFollowerAtEnd(log).state();
        earl.expect(JSON.stringify(ledger.parseState(JSON.stringify(state)).unwrap())).toEqual(JSON.stringify(state));
        const property = fastCheck.property(fastCheck.oneof(fastCheck.string(), fastCheck.json()), text => {
            earl.expect(ledger.parseState(text).err).toEqual(true);
        });
        fastCheck.assert(property, { seed: 23, numRuns: 300 });
    });

    test.it("advances past malformed records", () => {
        const follower = ledger.createLogFollower();
        follower.applyPage({ oldestOffset: 0, nextOffset: 1, records: [{ offset: 0, value: { nonsense: true } }] });
        earl.expect(follower.state()?.offset).toEqual(0);
    });
});
