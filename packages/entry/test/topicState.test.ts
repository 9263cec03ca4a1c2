/** What remains of the known state of a topic when the store returns from an older copy. */
import type * as platform from "@mulberryseam/platform";
import * as earl from "earl";
import * as test from "node:test";
import * as recordAges from "../src/recordAges";
import * as topicState from "../src/topicState";

const positionAt = (era: number, offset: number): platform.Position => ({ era, offset });

/** A record whose value is its age and a text; the age is a question mark if it is not known. */
const createRecord = (key: string, text: string, offset: number): platform.StoredRecord => ({
    key,
    value: Buffer.from(text),
    offset,
});

const compareAges = (...[, known, candidate]: [string, Buffer, Buffer]): number | undefined => {
    const difference = Number.parseInt(candidate.toString(), 10) - Number.parseInt(known.toString(), 10);
    return Number.isNaN(difference) ? undefined : difference;
};

interface StateFixture {
    state: topicState.TopicState;
    /** Returns the values of the keys. */
    values: () => Record<string, string | undefined>;
    /** Confirms the state at short intervals up to a time, in milliseconds, and returns the texts of the changes. */
    confirmUntil: (time: number) => string[];
}

const describe = ({ key, value }: platform.StoredRecord): string => `${key}=${value?.toString() ?? "deleted"}`;

/** Creates the state of an instance that has followed the topic up to offset 4 for a minute. */
const createFixture = (): StateFixture => {
    const state = topicState.createTopicState({ fingerprintOf: (...[, value]) => value.toString(), compareAges });
    let now = 0;
    const confirmUntil = (time: number): string[] => {
        const changes: string[] = [];
        for (; now <= time; now += 100) {
            changes.push(...state.onConfirmed(now).changes.map(describe));
        }
        return changes;
    };
    state.applySnapshot(
        [createRecord("document", "1", 0), createRecord("evacuation", "?", 1)],
        positionAt(1, 2),
        0,
    );
    state.applyRecords([createRecord("document", "2", 2), createRecord("document", "3", 3)], positionAt(1, 4), 0);
    confirmUntil(60_000);
    return {
        state,
        values: () => Object.fromEntries(state.records().map(({ key, value }) => [key, value?.toString()])),
        confirmUntil,
    };
};

const returnedAt = 60_100;

test.describe("the state of a topic whose store returns from an older copy", () => {
    // Guards against a version that is lost because its offset has been passed in the era before (review case 8).
    test.it("takes a record at an offset that it has passed in the era before", () => {
        const { state, values } = createFixture();
        const records = [createRecord("document", "4", 3), createRecord("evacuation", "?", 1)];
        earl.expect(state.applyRecords(records, positionAt(2, 4), returnedAt)).toEqual(undefined);
        earl.expect(state.applySnapshot(records, positionAt(2, 4), returnedAt)?.changes).toEqual([records[0]]);
        earl.expect(values()).toEqual({ document: "4", evacuation: "?" });
        earl.expect(state.position()).toEqual(positionAt(2, 4));
    });

    // Guards against an instance that goes back to an earlier version, or ends an evacuation, until both are written again.
    test.it("keeps what the copy lacks or has in an older version, until it is written again", () => {
        const { state, values, confirmUntil } = createFixture();
        const merged = state.applySnapshot([createRecord("document", "1", 0)], positionAt(2, 1), returnedAt);
        earl.expect(merged).toEqual({
            changes: [],
            storeReturn: {
                previousEnd: positionAt(1, 4),
                end: positionAt(2, 1),
                awaitedCount: 1,
                olderCount: 1,
            },
        });
        earl.expect(confirmUntil(returnedAt + 1000)).toEqual([]);
        // The writers write every lost record again, the older ones first.
        const rewritten = [createRecord("document", "2", 1), createRecord("evacuation", "?", 2)];
        earl.expect(state.applyRecords(rewritten, positionAt(2, 3), returnedAt + 1000)?.changes).toEqual([]);
        earl.expect(confirmUntil(returnedAt + 5000)).toEqual([]);
        earl.expect(values()).toEqual({ document: "3", evacuation: "?" });
    });

    test.it("takes the copy as it is once writers have had the time to write again, and says what was dropped", () => {
        const { state, values, confirmUntil } = createFixture();
        state.applySnapshot([createRecord("document", "3", 3)], positionAt(2, 4), returnedAt);
        earl.expect(state.isAwaiting()).toEqual(true);
        earl.expect(confirmUntil(returnedAt + topicState.rewriteMilliseconds - 100)).toEqual([]);
        earl.expect(state.onConfirmed(returnedAt + topicState.rewriteMilliseconds)).toEqual({
            changes: [{ key: "evacuation", value: undefined, offset: 3 }],
            settlement: { writtenAgainCount: 0, droppedCount: 1 },
        });
        earl.expect([state.isAwaiting(), state.mayBeIncomplete()]).toEqual([false, false]);
        earl.expect(values()).toEqual({ document: "3" });
    });

    // Guards against an upstream that gets requests again, or an evacuation that begins again, because the copy contains it.
    test.it("keeps a deletion that the copy lacks until writers have had the time to write it again", () => {
        const { state, values, confirmUntil } = createFixture();
        const deletions = ["document", "evacuation"].map(key => ({ key, value: undefined, offset: 4 }));
        state.applyRecords(deletions, positionAt(1, 6), returnedAt - 100);
        const copy = [createRecord("document", "3", 3), createRecord("evacuation", "?", 1)];
        earl.expect(state.applySnapshot(copy, positionAt(2, 4), returnedAt)?.changes).toEqual([]);
        earl.expect(values()).toEqual({});
        earl.expect(confirmUntil(returnedAt + 5000)).toEqual(["evacuation=?"]);
        // A later record of the key that tells its age is no left-over.
        const renewed = createRecord("document", "4", 4);
        earl.expect(state.applyRecords([renewed], positionAt(2, 5), returnedAt + 5000)?.changes).toEqual([renewed]);
    });

    test.it("awaits what a second return has lost before it was written again, however many eras were missed", () => {
        const { state, values, confirmUntil } = createFixture();
        state.applySnapshot([createRecord("document", "2", 2)], positionAt(2, 3), returnedAt);
        earl.expect(confirmUntil(returnedAt + 1000)).toEqual([]);
        state.applySnapshot([createRecord("document", "1", 0)], positionAt(4, 1), returnedAt + 1000);
        earl.expect(confirmUntil(returnedAt + 1000 + topicState.rewriteMilliseconds - 200)).toEqual([]);
        earl.expect(values()).toEqual({ document: "3", evacuation: "?" });
        earl.expect(confirmUntil(returnedAt + 4000)).toEqual(["evacuation=deleted"]);
        earl.expect(values()).toEqual({ document: "3" });
    });

    test.it("does not take the copy as it is while writers may have been out of contact with the store too", () => {
        const { state } = createFixture();
        state.applySnapshot([createRecord("document", "3", 3)], positionAt(2, 4), returnedAt);
        earl.expect(state.onConfirmed(returnedAt + 10_000).changes).toEqual([]);
        earl.expect(state.isAwaiting()).toEqual(true);
    });

    // Guards against a return that operators are told of because a leader of the previous release stated no era.
    test.it("merges content behind positions without an era too, and tells of no return", () => {
        const state = topicState.createTopicState({ fingerprintOf: (...[, value]) => value.toString(), compareAges });
        state.applySnapshot([createRecord("document", "2", 2)], positionAt(0, 3), 0);
        const merged = state.applySnapshot([createRecord("document", "1", 0)], positionAt(1, 3), 100);
        earl.expect(merged).toEqual({ changes: [] });
        earl.expect(state.position()).toEqual(positionAt(1, 3));
        for (let now = 200; now <= 4000; now += 100) {
            earl.expect(state.onConfirmed(now).settlement).toEqual(undefined);
        }
        earl.expect(state.isAwaiting()).toEqual(false);
    });

    // Guards against content of an earlier era that arrives late.
    test.it("ignores records and content of an earlier era", () => {
        const { state } = createFixture();
        state.applySnapshot([createRecord("document", "3", 3)], positionAt(2, 4), returnedAt);
        earl.expect(state.applyRecords([createRecord("document", "9", 9)], positionAt(1, 10), returnedAt)).toEqual(
            undefined,
        );
        earl.expect(state.applySnapshot([createRecord("document", "9", 9)], positionAt(1, 10), returnedAt)).toEqual(
            undefined,
        );
    });
});

test.describe("the age of a record", () => {
    test.it("of a document is its version", () => {
        const encode = (version: number): Buffer =>
            Buffer.from(JSON.stringify({ version: `r${version}`, resources: [] }));
        const compare = (known: Buffer, candidate: Buffer): number | undefined =>
            recordAges.compareOperatorRecords("config", known, candidate);
        earl.expect(compare(encode(7), encode(9))).toEqual(2);
        earl.expect(compare(encode(10), encode(9))).toEqual(-1);
        earl.expect(compare(encode(7), Buffer.from("odd"))).toEqual(undefined);
        earl.expect(recordAges.compareOperatorRecords("evacuate/north-a", encode(7), encode(9))).toEqual(undefined);
    });

    test.it("of a registry entry is its start, then its sequence number", () => {
        const encode = (born: number, sequence: number): Buffer =>
            Buffer.from(JSON.stringify({
                service: "records",
                address: "10.0.0.9:8080",
                zone: "north-a",
                slots: 6,
                state: "ready",
                version: "v1",
                warmupLeft: "0ms",
                sequence,
                born,
            }));
        const compare = (known: Buffer, candidate: Buffer): number | undefined =>
            recordAges.compareRegistryEntries("i-1", known, candidate);
        earl.expect(compare(encode(1000, 9), encode(1000, 7))).toEqual(-2);
        earl.expect(compare(encode(1000, 9), encode(1001, 1))).toEqual(1);
        earl.expect(compare(encode(1000, 9), Buffer.from("odd"))).toEqual(undefined);
    });
});
