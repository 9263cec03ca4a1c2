/** Resources, time, hashing and metrics. */
import {
    createMetrics,
    createOwner,
    createRandom,
    createVirtualTimerService,
    rendezvousOrder,
} from "@mulberryseam/foundation";
import { expect } from "earl";
import * as dgram from "node:dgram";
import { describe, it } from "node:test";

describe("an owner", () => {
    it("disposes once, the latest first, and at once of what comes later", async () => {
        const order: number[] = [];
        const owner = createOwner();
        [1, 2, 3].forEach(number => owner.onCleanup(() => void order.push(number)));
        await owner.dispose();
        await owner.dispose();
        owner.onCleanup(() => void order.push(4));
        expect(order).toEqual([3, 2, 1, 4]);
    });
});

describe("an owner that is disposed of twice", () => {
    it("lets both wait until everything is released", async () => {
        const owner = createOwner();
        let isReleased = false;
        owner.onCleanup(async () => {
            await new Promise(resolve => setImmediate(resolve));
            isReleased = true;
        });
        void owner.dispose();
        await owner.dispose();
        expect(isReleased).toEqual(true);
    });
});

describe("virtual time", () => {
    it("runs what falls due in order, and stops what is cancelled", () => {
        const timers = createVirtualTimerService();
        const seen: string[] = [];
        timers.onDelay(30, () => seen.push(`late ${timers.now()}`));
        timers.onDelay(10, () => seen.push(`early ${timers.now()}`));
        timers.onDelay(20, () => seen.push("never")).cancel();
        const repeated = timers.onInterval(15, () => seen.push(`again ${timers.now()}`));
        timers.advance(40);
        repeated.cancel();
        timers.advance(40);
        expect(seen).toEqual(["early 10", "again 15", "late 30", "again 30"]);
    });
});

describe("rendezvous hashing", () => {
    it("moves only the items of a candidate that leaves", () => {
        const names = ["a", "b", "c", "d"];
        const items = [...Array(200).keys()].map(String);
        const before = items.map(item => rendezvousOrder(item, names)[0]);
        const after = items.map(item => rendezvousOrder(item, ["a", "b", "c"])[0]);
        expect(items.filter((...entry) => before[entry[1]] !== "d" && before[entry[1]] !== after[entry[1]])).toEqual(
            [],
        );
    });
});

describe("random numbers", () => {
    it("repeat with their seed", () => {
        const draw = (seed: number): number[] => {
            const random = createRandom(seed);
            return [random.fraction(), random.below(100), random.fraction()];
        };
        expect(draw(7)).toEqual(draw(7));
        expect(draw(7)).not.toEqual(draw(8));
    });
});

describe("metrics", () => {
    it("reach a collector with their prefix and tags", async () => {
        const collector = dgram.createSocket("udp4");
        const received = new Promise<string>(resolve => collector.once("message", bytes => resolve(String(bytes))));
        await new Promise<void>(resolve => collector.bind(0, "127.0.0.1", () => resolve()));
        const owner = createOwner();
        const metrics = createMetrics(
            { host: "127.0.0.1", port: collector.address().port, tags: { instance: "entry-1" } },
            owner,
        );
        metrics.count("requests", 1, { outcome: "answered" });
        const line = await received;
        expect(line.startsWith("mulberryseam.requests:1|c|#")).toEqual(true);
        expect(line.includes("instance:entry-1") && line.includes("outcome:answered")).toEqual(true);
        await owner.dispose();
        collector.close();
    });
});
