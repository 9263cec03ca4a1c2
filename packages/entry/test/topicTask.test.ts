/** Tests following a topic of the store and filtering its records. */
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as earl from "earl";
import * as test from "node:test";
import * as changeFilter from "../src/changeFilter";
import * as topicTask from "../src/topicTask";

const createRecord = (key: string, text: string, offset: number): platform.StoredRecord => ({
    key,
    value: Buffer.from(text),
    offset,
});

const positionAt = (offset: number, era = 1): platform.Position => ({ era, offset });

const nextRecord = createRecord("config", "next", 7);

const flush = async (): Promise<void> => {
    for (let iteration = 0; iteration < 5; iteration += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

interface Fixture {
    task: topicTask.TopicTask;
    /** Offsets of all reads. */
    reads: number[];
    changes: platform.StoredRecord[];
    origins: topicTask.ChangeOrigin[];
    failures: string[];
    contacts: topicTask.TopicSourceValue[];
    timers: foundation.VirtualTimerService;
    owner: foundation.Owner;
}

const createFixture = (
    read: (call: number) => Promise<platform.RecordBatch>,
    maxAge = 0,
    initialWait = 0,
    readSnapshot: () => Promise<platform.Snapshot> = () => Promise.resolve({ records: [], end: positionAt(7) }),
): Fixture => {
    const timers = foundation.createVirtualTimerService();
    const owner = foundation.createOwner();
    const reads: number[] = [];
    const changes: platform.StoredRecord[] = [];
    const origins: topicTask.ChangeOrigin[] = [];
    const failures: string[] = [];
    const contacts: topicTask.TopicSourceValue[] = [];
    const store: platform.StoreClient = {
        readSnapshot,
        readFrom: (...[, { offset }]) => {
            reads.push(offset);
            return read(reads.length);
        },
        append: () => Promise.reject(new Error("not used")),
        eraSeenAt: () => 0,
        close: () => undefined,
    };
    const task = topicTask.startTopicTask({
        store,
        topic: "keyed.op",
        timers,
        random: foundation.createRandom(1),
        failures: foundation.createTransparentFailureBoundary(),
        maxAgeMilliseconds: () => maxAge,
        initialWaitMilliseconds: () => initialWait,
        waitMilliseconds: () => 2500,
        fingerprintOf: (...[, value]) => value.toString(),
        compareAges: () => undefined,
        isEraEstablished: () => true,
        onStoreReturned: () => undefined,
        onSettled: () => undefined,
        onChanges: (records, ...[, origin]) => {
            changes.push(...records);
            origins.push(origin);
        },
        onContact: source => contacts.push(source),
        onFailure: reason => failures.push(reason),
    }, owner);
    return { task, reads, changes, origins, failures, contacts, timers, owner };
};

const advance = async (fixture: Fixture): Promise<void> => {
    await flush();
    fixture.timers.advance(300);
    await flush();
};

const neverResolves = <T>(): Promise<T> => new Promise<T>(() => undefined);

test.describe("following a topic", () => {
    test.it("reads again from the same offset after a lost read is cancelled", async () => {
        const fixture = createFixture(call =>
            call === 2
                ? Promise.resolve({ records: [nextRecord], end: positionAt(8), isHistoryExpired: false })
                : neverResolves()
        );
        await advance(fixture);
        earl.expect(fixture.changes).toEqual([]);
        fixture.task.refresh();
        await advance(fixture);
        await advance(fixture);
        earl.expect(fixture.changes).toEqual([nextRecord]);
        earl.expect(fixture.reads.slice(0, 3)).toEqual([7, 7, 8]);
        await fixture.owner.dispose();
    });

    test.it("reads a snapshot when the history at its offset has expired", async () => {
        const fixture = createFixture(call =>
            call === 1 ? Promise.resolve({ records: [], end: positionAt(7), isHistoryExpired: true }) : neverResolves()
        );
        await advance(fixture);
        await advance(fixture);
        await advance(fixture);
        earl.expect(fixture.reads).toEqual([7, 7]);
        await fixture.owner.dispose();
    });

    test.it("continues after a failed call", async () => {
        const fixture = createFixture(call =>
            call === 1
                ? Promise.reject(new Error("away"))
                : call === 2
                ? Promise.resolve({ records: [nextRecord], end: positionAt(8), isHistoryExpired: false })
                : neverResolves()
        );
        await advance(fixture);
        await advance(fixture);
        await advance(fixture);
        earl.expect(fixture.failures).toEqual(["away"]);
        earl.expect(fixture.changes).toEqual([nextRecord]);
        await fixture.owner.dispose();
    });

    test.it("backs off while the store is unavailable and resets the backoff after a response", async () => {
        const fixture = createFixture(call =>
            call === 20
                ? Promise.resolve({ records: [], end: positionAt(7), isHistoryExpired: false })
                : Promise.reject(new Error("away"))
        );
        const countCalls = async (milliseconds: number): Promise<number> => {
            const before = fixture.reads.length;
            for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
                fixture.timers.advance(10);
                await flush();
            }
            return fixture.reads.length - before;
        };
        earl.expect(await countCalls(1000) >= 3).toEqual(true);
        earl.expect(await countCalls(10_000) <= 14).toEqual(true);
        while (fixture.reads.length < 20) {
            await countCalls(10);
        }
        earl.expect(await countCalls(400) >= 1).toEqual(true);
        await fixture.owner.dispose();
    });
});

test.describe("a topic that the leader sends", () => {
    test.it("starts from the leader's snapshot without reading the store, and reads it if none comes", async () => {
        const fixture = createFixture(() => neverResolves(), 800, 1500);
        await flush();
        fixture.timers.advance(500);
        await flush();
        fixture.task.onSnapshot({ records: [nextRecord], end: positionAt(8), age: 200, mayBeOutdated: false });
        fixture.task.onSnapshot({
            records: [createRecord("config", "older", 5)],
            end: positionAt(6),
            age: 200,
            mayBeOutdated: false,
        });
        earl.expect(fixture.changes).toEqual([nextRecord]);
        earl.expect(fixture.contacts).toEqual(["leader"]);
        earl.expect(fixture.task.snapshot()).toEqual({
            records: [nextRecord],
            revision: 1,
            end: positionAt(8),
            age: 200,
            mayBeOutdated: false,
        });
        fixture.timers.advance(500);
        await flush();
        earl.expect(fixture.reads).toEqual([]);
        await fixture.owner.dispose();

        const alone = createFixture(() => neverResolves(), 800, 1500);
        const advanceBy = async (milliseconds: number): Promise<void> => {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
                alone.timers.advance(50);
                await flush();
            }
        };
        await advanceBy(1400);
        earl.expect(alone.task.position()).toEqual(undefined);
        await advanceBy(200);
        earl.expect(alone.task.position()?.end.offset).toEqual(7);
        await alone.owner.dispose();
    });

    test.it("reads the store only when the records relayed by the leader are too old", async () => {
        const fixture = createFixture(
            () => Promise.resolve({ records: [], end: positionAt(8), isHistoryExpired: false }),
            800,
        );
        await flush();
        for (let heartbeat = 0; heartbeat < 10; heartbeat += 1) {
            fixture.timers.advance(250);
            await flush();
            fixture.task.onRelayed({ from: positionAt(7), end: positionAt(7), age: 300, records: [] });
        }
        earl.expect(fixture.reads).toEqual([]);
        for (let elapsed = 0; elapsed < 600; elapsed += 50) {
            fixture.timers.advance(50);
            await flush();
        }
        earl.expect(fixture.reads).toEqual([7]);
        await fixture.owner.dispose();
    });

    test.it("does not count heartbeats as contact with the store if the leader cannot reach the store", async () => {
        const fixture = createFixture(() => Promise.reject(new Error("away")), 800);
        await flush();
        const before = fixture.contacts.length;
        fixture.task.onRelayed({ from: positionAt(7), end: positionAt(7), age: 3000, records: [] });
        earl.expect(fixture.contacts.length).toEqual(before);
        fixture.task.onRelayed({ from: positionAt(7), end: positionAt(7), age: 100, records: [] });
        earl.expect(fixture.contacts[before]).toEqual("leader");
        await fixture.owner.dispose();
    });

    test.it("applies records relayed by the leader, but none after a gap", async () => {
        const fixture = createFixture(neverResolves, 800);
        await flush();
        const relayed = createRecord("config", "next", 8);
        fixture.task.onRelayed({ from: positionAt(7), end: positionAt(9), age: 0, records: [relayed] });
        fixture.task.onRelayed({
            from: positionAt(12),
            end: positionAt(13),
            age: 0,
            records: [createRecord("config", "later", 12)],
        });
        earl.expect(fixture.changes).toEqual([relayed]);
        earl.expect(fixture.task.position()?.end.offset).toEqual(9);
        await fixture.owner.dispose();
    });

    test.it("tells the source of a change and how old it is at most", async () => {
        const fixture = createFixture(neverResolves, 800);
        await advance(fixture);
        fixture.task.onRelayed({
            from: positionAt(7),
            end: positionAt(9),
            age: 100,
            records: [createRecord("config", "next", 8)],
        });
        fixture.task.onRelayed({
            from: positionAt(9),
            end: positionAt(10),
            age: 0,
            records: [createRecord("config", "later", 9)],
        });
        earl.expect(fixture.origins).toEqual([
            { source: "leader", maxAgeMilliseconds: 300 },
            { source: "leader", maxAgeMilliseconds: 100 },
        ]);
        await fixture.owner.dispose();
    });

    test.it("does not revert to older records that the leader relays late", async () => {
        const draining = createRecord("upstream", "draining", 8);
        const fixture = createFixture(
            call =>
                call === 1
                    ? Promise.resolve({
                        records: [createRecord("upstream", "ready", 7), draining],
                        end: positionAt(9),
                        isHistoryExpired: false,
                    })
                    : neverResolves(),
        );
        await advance(fixture);
        fixture.task.onRelayed({
            from: positionAt(7),
            end: positionAt(9),
            age: 0,
            records: [createRecord("upstream", "ready", 7)],
        });
        earl.expect(fixture.changes[fixture.changes.length - 1]).toEqual(draining);
        await fixture.owner.dispose();
    });

    test.it("does not revert to an older snapshot of the store that was read before the leader's arrived", async () => {
        let respond = (): void => undefined;
        const ready = createRecord("upstream", "ready", 4);
        const draining = createRecord("upstream", "draining", 8);
        const fixture = createFixture(neverResolves, 800, 0, () =>
            new Promise(resolve => {
                respond = () => resolve({ records: [ready], end: positionAt(5) });
            }));
        await flush();
        fixture.task.onSnapshot({ records: [draining], end: positionAt(9), age: 0, mayBeOutdated: false });
        respond();
        await flush();
        earl.expect(fixture.task.snapshot()).toEqual({
            records: [draining],
            revision: 1,
            end: positionAt(9),
            age: 0,
            mayBeOutdated: false,
        });
        earl.expect(fixture.changes).toEqual([draining]);
        await fixture.owner.dispose();
    });
});

test.describe("a topic that was never confirmed", () => {
    test.it("has a finite age, which other instances accept in a heartbeat", async () => {
        const { task, owner } = createFixture(neverResolves, 1000, 10_000);
        task.onSnapshot({ records: [nextRecord], end: positionAt(8), age: 5000, mayBeOutdated: false });
        earl.expect(Number.isFinite(task.position()?.age)).toEqual(true);
        earl.expect(Number.isFinite(task.snapshot()?.age)).toEqual(true);
        await owner.dispose();
    });
});

test.describe("filtering unchanged records", () => {
    const createFilter = (): changeFilter.ChangeFilter =>
        changeFilter.createChangeFilter((...[, value]) => value.toString().split(" ")[0]);

    test.it("drops records with equivalent values", () => {
        const filter = createFilter();
        const first = createRecord("upstream", "ready 1", 0);
        earl.expect(filter.apply([first, createRecord("upstream", "ready 2", 1)])).toEqual([first]);
        const draining = createRecord("upstream", "draining 3", 2);
        earl.expect(filter.apply([draining])).toEqual([draining]);
    });

    test.it("reports an entry that is added again after its removal", () => {
        const filter = createFilter();
        const removal = { key: "upstream", value: undefined, offset: 1 };
        const addedAgain = createRecord("upstream", "ready 2", 2);
        earl.expect(filter.apply([createRecord("upstream", "ready 1", 0), removal, addedAgain]).length).toEqual(3);
        earl.expect(filter.apply([removal, removal]).length).toEqual(1);
    });

    test.it("reports keys that are missing from a snapshot as removed", () => {
        const filter = createFilter();
        const kept = createRecord("kept", "ready 1", 0);
        filter.apply([kept, createRecord("gone", "ready 1", 1)]);
        earl.expect(filter.replace([kept], 5)).toEqual([{ key: "gone", value: undefined, offset: 4 }]);
    });
});

test.describe("a topic whose records cannot be handled", () => {
    test.it("is still followed: the records after one that throws are applied, and the store is read again", async () => {
        const timers = foundation.createVirtualTimerService();
        const owner = foundation.createOwner();
        const failures = foundation.createFailureBoundary({ write: () => undefined, sample: () => undefined });
        const throwing = (): never => {
            throw new Error("thrown by the test");
        };
        const applied: string[] = [];
        const reads: number[] = [];
        const batches = [[createRecord("odd", "1", 2), createRecord("sound", "1", 3)], [createRecord("next", "1", 4)]];
        const store: platform.StoreClient = {
            readSnapshot: () => Promise.resolve({ records: [createRecord("odd", "0", 0)], end: positionAt(2) }),
            readFrom: (...[, from]) => {
                reads.push(from.offset);
                const records = batches.shift();
                return records === undefined
                    ? Promise.reject(new Error("the store is down"))
                    : Promise.resolve({
                        records,
                        end: positionAt(from.offset + records.length),
                        isHistoryExpired: false,
                    });
            },
            append: () => Promise.reject(new Error("not used")),
            eraSeenAt: () => 0,
            close: () => undefined,
        };
        topicTask.startTopicTask({
            store,
            topic: "keyed.servers",
            timers,
            random: foundation.createRandom(1),
            failures,
            maxAgeMilliseconds: () => 0,
            initialWaitMilliseconds: () => 0,
            waitMilliseconds: () => 0,
            fingerprintOf: key => key === "odd" ? throwing() : key,
            compareAges: throwing,
            isEraEstablished: throwing,
            onStoreReturned: throwing,
            onSettled: throwing,
            onChanges: records => {
                applied.push(...records.map(({ key, offset }) => `${key} ${offset}`));
                throwing();
            },
            onContact: throwing,
            onFailure: throwing,
        }, owner);
        await flush();
        timers.advance(2000);
        await flush();
        earl.expect(applied).toEqual(["odd 0", "odd 2", "sound 3", "next 4"]);
        earl.expect(reads.slice(0, 4)).toEqual([2, 4, 5, 5]);
        earl.expect([...failures.counts().keys()].sort()).toEqual(["topic", "topic record"]);
        await owner.dispose();
    });
});
