/** Following a topic of the store. */
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as earl from "earl";
import * as test from "node:test";
import * as keyedState from "../src/keyedState";
import * as topicTask from "../src/topicTask";

const createRecord = (key: string, text: string, offset: number): platform.StoredRecord => ({
    key,
    value: Buffer.from(text),
    offset,
});

const record = createRecord("config", "next", 7);

const flush = async (): Promise<void> => {
    for (let turn = 0; turn < 5; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

interface Fixture {
    task: topicTask.TopicTask;
    /** Offsets of the reads so far. */
    reads: number[];
    seen: platform.StoredRecord[];
    failures: string[];
    contacts: topicTask.TopicSourceValue[];
    timers: foundation.VirtualTimerService;
    owner: foundation.Owner;
}

const createFixture = (read: (call: number) => Promise<platform.RecordBatch>, readAge = 0): Fixture => {
    const timers = foundation.createVirtualTimerService();
    const owner = foundation.createOwner();
    const reads: number[] = [];
    const seen: platform.StoredRecord[] = [];
    const failures: string[] = [];
    const contacts: topicTask.TopicSourceValue[] = [];
    const store: platform.StoreClient = {
        readSnapshot: () => Promise.resolve({ records: [], end: 7 }),
        readFrom: (...[, offset]) => {
            reads.push(offset);
            return read(reads.length);
        },
        append: () => Promise.reject(new Error("not used")),
        close: () => undefined,
    };
    const task = topicTask.startTopicTask({
        store,
        topic: "keyed.op",
        timers,
        random: foundation.createRandom(1),
        readAge: () => readAge,
        waitMilliseconds: () => 2500,
        fingerprintOf: (...[, value]) => value.toString(),
        onChanges: records => seen.push(...records),
        onContact: source => contacts.push(source),
        onFailure: reason => failures.push(reason),
    }, owner);
    return { task, reads, seen, failures, contacts, timers, owner };
};

const advance = async (fixture: Fixture): Promise<void> => {
    await flush();
    fixture.timers.advance(300);
    await flush();
};

const never = <T>(): Promise<T> => new Promise<T>(() => undefined);

test.describe("following a topic", () => {
    test.it("asks anew from the same offset when a read that was lost is given up", async () => {
        const fixture = createFixture(call =>
            call === 2 ? Promise.resolve({ records: [record], end: 8, isHistoryExpired: false }) : never()
        );
        await advance(fixture);
        earl.expect(fixture.seen).toEqual([]);
        fixture.task.refresh();
        await advance(fixture);
        await advance(fixture);
        earl.expect(fixture.seen).toEqual([record]);
        earl.expect(fixture.reads.slice(0, 3)).toEqual([7, 7, 8]);
        await fixture.owner.dispose();
    });

    test.it("takes a snapshot when its place in the history is gone", async () => {
        const fixture = createFixture(call =>
            call === 1 ? Promise.resolve({ records: [], end: 7, isHistoryExpired: true }) : never()
        );
        await advance(fixture);
        await advance(fixture);
        await advance(fixture);
        earl.expect(fixture.reads).toEqual([7, 7]);
        await fixture.owner.dispose();
    });

    test.it("goes on after a call that failed", async () => {
        const fixture = createFixture(call =>
            call === 1
                ? Promise.reject(new Error("away"))
                : call === 2
                ? Promise.resolve({ records: [record], end: 8, isHistoryExpired: false })
                : never()
        );
        await advance(fixture);
        await advance(fixture);
        await advance(fixture);
        earl.expect(fixture.failures).toEqual(["away"]);
        earl.expect(fixture.seen).toEqual([record]);
        await fixture.owner.dispose();
    });

    test.it("asks a store that is down less and less often, and the sooner again once it has answered", async () => {
        const fixture = createFixture(call =>
            call === 20
                ? Promise.resolve({ records: [], end: 7, isHistoryExpired: false })
                : Promise.reject(new Error("away"))
        );
        const callsIn = async (milliseconds: number): Promise<number> => {
            const before = fixture.reads.length;
            for (let passed = 0; passed < milliseconds; passed += 10) {
                fixture.timers.advance(10);
                await flush();
            }
            return fixture.reads.length - before;
        };
        earl.expect(await callsIn(1000) >= 3).toEqual(true);
        earl.expect(await callsIn(10_000) <= 14).toEqual(true);
        while (fixture.reads.length < 20) {
            await callsIn(10);
        }
        earl.expect(await callsIn(400) >= 1).toEqual(true);
        await fixture.owner.dispose();
    });

    test.it("reads only when what the leader passes on is not recent", async () => {
        const fixture = createFixture(() => Promise.resolve({ records: [], end: 8, isHistoryExpired: false }), 800);
        await flush();
        for (let beat = 0; beat < 10; beat += 1) {
            fixture.timers.advance(250);
            await flush();
            fixture.task.onRelayed({ from: 7, end: 7, age: 300, records: [] });
        }
        earl.expect(fixture.reads).toEqual([]);
        for (let passed = 0; passed < 600; passed += 50) {
            fixture.timers.advance(50);
            await flush();
        }
        earl.expect(fixture.reads).toEqual([7]);
        await fixture.owner.dispose();
    });

    test.it("takes the beats of a leader that the store does not answer for no news of the store", async () => {
        const fixture = createFixture(() => Promise.reject(new Error("away")), 800);
        await flush();
        const before = fixture.contacts.length;
        fixture.task.onRelayed({ from: 7, end: 7, age: 3000, records: [] });
        earl.expect(fixture.contacts.length).toEqual(before);
        fixture.task.onRelayed({ from: 7, end: 7, age: 100, records: [] });
        earl.expect(fixture.contacts[before]).toEqual("leader");
        await fixture.owner.dispose();
    });

    test.it("takes what the leader passes on, and nothing behind a gap", async () => {
        const fixture = createFixture(never, 800);
        await flush();
        const next = createRecord("config", "next", 8);
        fixture.task.onRelayed({ from: 7, end: 9, age: 0, records: [next] });
        fixture.task.onRelayed({ from: 12, end: 13, age: 0, records: [createRecord("config", "later", 12)] });
        earl.expect(fixture.seen).toEqual([next]);
        earl.expect(fixture.task.position()?.end).toEqual(9);
        await fixture.owner.dispose();
    });

    test.it("does not go back to older records that the leader passes on late", async () => {
        const draining = createRecord("upstream", "draining", 8);
        const fixture = createFixture(
            call =>
                call === 1
                    ? Promise.resolve({
                        records: [createRecord("upstream", "ready", 7), draining],
                        end: 9,
                        isHistoryExpired: false,
                    })
                    : never(),
        );
        await advance(fixture);
        fixture.task.onRelayed({ from: 7, end: 9, age: 0, records: [createRecord("upstream", "ready", 7)] });
        earl.expect(fixture.seen[fixture.seen.length - 1]).toEqual(draining);
        await fixture.owner.dispose();
    });
});

test.describe("the newest record of each key", () => {
    const createState = (): keyedState.KeyedState =>
        keyedState.createKeyedState((...[, value]) => value.toString().split(" ")[0]);

    test.it("leaves out records that mean the same", () => {
        const state = createState();
        const first = createRecord("upstream", "ready 1", 0);
        earl.expect(state.apply([first, createRecord("upstream", "ready 2", 1)])).toEqual([first]);
        const draining = createRecord("upstream", "draining 3", 2);
        earl.expect(state.apply([draining])).toEqual([draining]);
    });

    test.it("tells an entry that comes back after it was dropped", () => {
        const state = createState();
        const dropped = { key: "upstream", value: undefined, offset: 1 };
        const again = createRecord("upstream", "ready 2", 2);
        earl.expect(state.apply([createRecord("upstream", "ready 1", 0), dropped, again]).length).toEqual(3);
        earl.expect(state.apply([dropped, dropped]).length).toEqual(1);
    });

    test.it("tells which keys a snapshot does not hold any more", () => {
        const state = createState();
        const kept = createRecord("kept", "ready 1", 0);
        state.apply([kept, createRecord("gone", "ready 1", 1)]);
        earl.expect(state.replace([kept], 5)).toEqual([{ key: "gone", value: undefined, offset: 4 }]);
    });
});
