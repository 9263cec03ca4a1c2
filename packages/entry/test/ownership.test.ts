/** Sole ownership under faults: named cases, then random interleavings with fixed seeds. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as test from "node:test";
import * as ownershipWorld from "./fixtures/ownershipWorld";
import type * as worldFaults from "./fixtures/worldFaults";

const noFaults: worldFaults.WorldFaults = { lateOrders: 0, lostOrders: 0, lostAppends: 0 };
const everyKey = assignment.keyCount;
/** Longest lease with a slow clock, a leader's authority and orders under way, in milliseconds. */
const settledMilliseconds = 14_000;

const runs = Number(process.env.INTERLEAVINGS_RUNS ?? 12);
const firstSeed = Number(process.env.INTERLEAVINGS_SEED ?? 1);

test.describe("sole ownership", () => {
    test.it("deals every key after the first start", async () => {
        const world = await ownershipWorld.createOwnershipWorld(1, noFaults);
        await world.run(6000);
        earl.expect(world.heldKeys()).toEqual(everyKey);
        earl.expect(world.violations()).toEqual([]);
    });

    test.it("serves an upstream's keys elsewhere within two seconds of the news of its restart", async () => {
        const world = await ownershipWorld.createOwnershipWorld(2, noFaults);
        await world.run(6000);
        world.restart(0);
        // The registry tells of it within 1.7 s.
        await world.run(1700 + 2000);
        earl.expect(world.heldKeys()).toEqual(everyKey);
        earl.expect(world.violations()).toEqual([]);
    });

    test.it("waits for the leases of an upstream that is cut off, then serves its keys elsewhere", async () => {
        const world = await ownershipWorld.createOwnershipWorld(3, noFaults);
        await world.run(6000);
        world.setCut(0, true);
        await world.run(8000);
        earl.expect(world.heldKeys()).toEqual(everyKey);
        world.setCut(0, false);
        await world.run(4000);
        earl.expect(world.violations()).toEqual([]);
    });

    test.it("keeps every key owned through an outage of the store of nine seconds", async () => {
        const world = await ownershipWorld.createOwnershipWorld(4, noFaults);
        await world.run(6000);
        world.setStoreAway(true);
        for (let passed = 0; passed < 9000; passed += 200) {
            await world.run(200);
            earl.expect(world.heldKeys()).toEqual(everyKey);
        }
        world.setStoreAway(false);
        await world.run(2000);
        earl.expect(world.heldKeys()).toEqual(everyKey);
        earl.expect(world.violations()).toEqual([]);
    });

    test.it("keeps every key owned when the leader is lost", async () => {
        const world = await ownershipWorld.createOwnershipWorld(5, noFaults);
        await world.run(6000);
        await world.run(0);
        await world.replaceLeader(false);
        for (let passed = 0; passed < 6000; passed += 200) {
            await world.run(200);
            earl.expect(world.heldKeys()).toEqual(everyKey);
        }
        earl.expect(world.violations()).toEqual([]);
    });

    test.it("bears a second leader beside one that does not know yet", async () => {
        const world = await ownershipWorld.createOwnershipWorld(6, noFaults);
        await world.run(6000);
        world.ask(1000, 60);
        world.setCut(1, true);
        await world.replaceLeader(true);
        await world.run(settledMilliseconds + 4000);
        earl.expect(world.heldKeys()).toEqual(everyKey);
        earl.expect(world.violations()).toEqual([]);
    });

    for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
        test.it(`has no key with two owners in random faults, seed ${seed}`, async () => {
            const faults = { lateOrders: 0.08, lostOrders: 0.04, lostAppends: 0.15 };
            const world = await ownershipWorld.createOwnershipWorld(seed, faults);
            const random = foundation.createRandom(seed + 7777);
            await world.run(5000);
            for (let turn = 0; turn < 25; turn += 1) {
                const index = random.below(4);
                const actions: (() => void | Promise<void>)[] = [
                    () => world.setCut(index, true),
                    () => world.setCut(index, false),
                    () => world.restart(index),
                    () => world.setDraining(index, true),
                    () => world.setDraining(index, false),
                    () => world.ask(random.below(60_000), 1 + random.below(300)),
                    () => world.setStoreAway(true),
                    () => world.setStoreAway(false),
                    async () => {
                        world.setStoreAway(false);
                        await world.replaceLeader(random.fraction() < 0.5);
                    },
                ];
                await actions[random.below(actions.length)]();
                await world.run(random.below(2500));
            }
            earl.expect(world.violations()).toEqual([]);
            for (let index = 0; index < 4; index += 1) {
                world.setCut(index, false);
                world.setDraining(index, false);
            }
            world.setStoreAway(false);
            faults.lateOrders = 0;
            faults.lostOrders = 0;
            faults.lostAppends = 0;
            await world.replaceLeader(false);
            await world.run(2 * settledMilliseconds);
            earl.expect(world.violations()).toEqual([]);
            earl.expect(world.heldKeys()).toEqual(everyKey);
        });
    }
});
