/** Resources, time, hashing and metrics. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as dgram from "node:dgram";
import * as test from "node:test";

test.describe("an owner", () => {
    test.it("disposes once, the latest first, and at once of what comes later", async () => {
        const order: number[] = [];
        const owner = foundation.createOwner();
        [1, 2, 3].forEach(number => owner.onCleanup(() => void order.push(number)));
        await owner.dispose();
        await owner.dispose();
        owner.onCleanup(() => void order.push(4));
        earl.expect(order).toEqual([3, 2, 1, 4]);
    });
});

test.describe("an owner that is disposed of twice", () => {
    test.it("lets both wait until everything is released", async () => {
        const owner = foundation.createOwner();
        let isReleased = false;
        owner.onCleanup(async () => {
            await new Promise(resolve => setImmediate(resolve));
            isReleased = true;
        });
        void owner.dispose();
        await owner.dispose();
        earl.expect(isReleased).toEqual(true);
    });
});

test.describe("virtual time", () => {
    test.it("runs what falls due in order, and stops what is cancelled", () => {
        const timers = foundation.createVirtualTimerService();
        const seen: string[] = [];
        timers.onDelay(30, () => seen.push(`late ${timers.now()}`));
        timers.onDelay(10, () => seen.push(`early ${timers.now()}`));
        timers.onDelay(20, () => seen.push("never")).cancel();
        const repeated = timers.onInterval(15, () => seen.push(`again ${timers.now()}`));
        timers.advance(40);
        repeated.cancel();
        timers.advance(40);
        earl.expect(seen).toEqual(["early 10", "again 15", "late 30", "again 30"]);
    });
});

test.describe("rendezvous hashing", () => {
    test.it("moves only the items of a candidate that leaves", () => {
        const names = ["a", "b", "c", "d"];
        const items = [...Array(200).keys()].map(String);
        const before = items.map(item => foundation.rendezvousOrder(item, names)[0]);
        const after = items.map(item => foundation.rendezvousOrder(item, ["a", "b", "c"])[0]);
        earl.expect(items.filter((...entry) => before[entry[1]] !== "d" && before[entry[1]] !== after[entry[1]]))
            .toEqual(
                [],
            );
    });
});

test.describe("random numbers", () => {
    test.it("repeat with their seed", () => {
        const draw = (seed: number): number[] => {
            const random = foundation.createRandom(seed);
            return [random.fraction(), random.below(100), random.fraction()];
        };
        earl.expect(draw(7)).toEqual(draw(7));
        earl.expect(draw(7)).not.toEqual(draw(8));
    });
});

test.describe("metrics", () => {
    test.it("reach a collector with their prefix and tags", async () => {
        const collector = dgram.createSocket("udp4");
        const received = new Promise<string>(resolve => collector.once("message", bytes => resolve(String(bytes))));
        await new Promise<void>(resolve => collector.bind(0, "127.0.0.1", () => resolve()));
        const owner = foundation.createOwner();
        const metrics = foundation.createMetrics(
            { host: "127.0.0.1", port: collector.address().port, tags: { instance: "entry-1" } },
            owner,
        );
        metrics.count("requests", 1, { outcome: "answered" });
        const line = await received;
        earl.expect(line.startsWith("mulberryseam.requests:1|c|#")).toEqual(true);
        earl.expect(line.includes("instance:entry-1") && line.includes("outcome:answered")).toEqual(true);
        await owner.dispose();
        collector.close();
    });
});
