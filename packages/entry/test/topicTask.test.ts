/** Following a topic of the store. */
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as earl from "earl";
import * as test from "node:test";
import * as topicTask from "../src/topicTask";

const record: platform.KeyedRecord = { key: "config", value: Buffer.from("next") };

const flush = async (): Promise<void> => {
    for (let turn = 0; turn < 5; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

interface Fixture {
    task: topicTask.TopicTask;
    /** Offsets of the reads so far. */
    reads: number[];
    seen: platform.KeyedRecord[];
    failures: string[];
    timers: foundation.VirtualTimerService;
    owner: foundation.Owner;
}

const createFixture = (read: (call: number) => Promise<platform.Following>): Fixture => {
    const timers = foundation.createVirtualTimerService();
    const owner = foundation.createOwner();
    const reads: number[] = [];
    const seen: platform.KeyedRecord[] = [];
    const failures: string[] = [];
    const store: platform.StoreClient = {
        readNewest: () => Promise.resolve({ records: [], end: 7 }),
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
        waitMilliseconds: 2500,
        pauseMilliseconds: 0,
        onSnapshot: records => seen.push(...records),
        onRecord: one => seen.push(one),
        onContact: () => undefined,
        onFailure: reason => failures.push(reason),
    }, owner);
    return { task, reads, seen, failures, timers, owner };
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
            call === 2 ? Promise.resolve({ records: [record], end: 8, isBehind: false }) : never()
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
            call === 1 ? Promise.resolve({ records: [], end: 7, isBehind: true }) : never()
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
                ? Promise.resolve({ records: [record], end: 8, isBehind: false })
                : never()
        );
        await advance(fixture);
        await advance(fixture);
        await advance(fixture);
        earl.expect(fixture.failures).toEqual(["away"]);
        earl.expect(fixture.seen).toEqual([record]);
        await fixture.owner.dispose();
    });
});
