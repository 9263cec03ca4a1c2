/** Tests that keys have one owner, and tokens rise, when the store returns from an older copy. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";
import * as ownershipSimulation from "./fixtures/ownershipSimulation";
import * as randomFaults from "./fixtures/randomFaults";
import type * as simulationFaults from "./fixtures/simulationFaults";

const noFaults: simulationFaults.SimulationFaults = { lateCommands: 0, lostCommands: 0, lostAppends: 0, slowReads: 0 };
const everyKey = assignment.keyCount;
/** Time after which the longest leases that may be out have ended and keys have been granted anew, in milliseconds. */
const longestLeaseMilliseconds = 16_000;

/** Runs for six seconds under load, in which every key must have an owner all the time, and never two. */
const expectEveryKeyHeld = async (simulation: ownershipSimulation.OwnershipSimulation): Promise<void> => {
    for (let elapsed = 0; elapsed < 6000; elapsed += 200) {
        simulation.requestKeys(0, 20_000);
        await simulation.run(200);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
    }
    earl.expect(simulation.violations()).toEqual([]);
};

test.describe("sole ownership after the store returned from an older copy", () => {
    // Guards against a leader that takes the owners of the copy for the only ones (review case 6).
    test.it("is kept by a leader that is elected after it, as the term of the one before is lost", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(31, noFaults);
        await simulation.run(6000);
        await simulation.resignLeader();
        simulation.setDraining(0, true);
        await simulation.run(3200);
        simulation.setStoreUnavailable(true);
        await simulation.run(1000);
        simulation.returnFromCopy(4500);
        simulation.setStoreUnavailable(false);
        await simulation.replaceLeader(true);
        // Other loads than before make the leader choose other owners.
        simulation.requestKeys(0, 20_000);
        await simulation.run(longestLeaseMilliseconds);
        earl.expect(simulation.violations()).toEqual([]);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
    });

    // Guards against a leader that forgets the leases that it has granted, as the copy does not name their owners (review case 7).
    test.it("is kept by a leader that lives through it, without a time in which a key has no owner", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(32, noFaults);
        await simulation.run(6000);
        simulation.setDraining(0, true);
        await simulation.run(2500);
        earl.expect(simulation.heldKeyCountOf(0)).toEqual(0);
        simulation.setStoreUnavailable(true);
        await simulation.run(800);
        simulation.returnFromCopy(3300);
        simulation.setStoreUnavailable(false);
        await expectEveryKeyHeld(simulation);
    });

    // Guards against a leader that trusts its memory though another one may have moved keys in a term that is lost.
    test.it("is kept if a leader that was replaced before it wakes after it, still sure to lead", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(33, noFaults);
        await simulation.run(6000);
        simulation.pauseLeader();
        await simulation.replaceLeader(true);
        simulation.setDraining(0, true);
        await simulation.run(5500);
        earl.expect(simulation.heldKeyCountOf(0)).toEqual(0);
        simulation.setStoreUnavailable(true);
        await simulation.run(1600);
        simulation.returnFromCopy(9600);
        simulation.setStoreUnavailable(false);
        simulation.endLeader();
        simulation.wakeLeader();
        simulation.requestKeys(0, 20_000);
        await simulation.run(4000);
        await simulation.replaceLeader(true);
        simulation.requestKeys(0, 20_000);
        await simulation.run(longestLeaseMilliseconds);
        earl.expect(simulation.violations()).toEqual([]);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
    });

    // Guards against a first assignment that is lost for good, so that a later leader gives out its tokens again (review case 10).
    test.it("is kept by a later leader, as the leader stores a first assignment again that is lost", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(34, noFaults);
        await simulation.run(4000);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        simulation.returnFromCopy(2500);
        await simulation.run(10_000);
        await simulation.resignLeader();
        await expectEveryKeyHeld(simulation);
    });

    // Guards against a resignation that is lost with the store's last seconds, after which a successor would have to wait.
    test.it("is kept when the leader resigns before it has learned of the return, and no key loses its owner", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(35, noFaults);
        await simulation.run(4000);
        simulation.returnFromCopy(2500);
        await simulation.resignLeader();
        await expectEveryKeyHeld(simulation);
    });

    // Guards against a planned stop while the store is away, after which all keys would be without an owner for seconds.
    test.it("is kept when the leader resigns while the store is away, and no key loses its owner", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(37, noFaults);
        await simulation.run(6000);
        simulation.setStoreUnavailable(true);
        await simulation.run(400);
        simulation.schedule(600, () => {
            simulation.returnFromCopy(3000);
            simulation.setStoreUnavailable(false);
        });
        await simulation.resignLeader();
        await expectEveryKeyHeld(simulation);
    });

    // Guards against tokens that go on from the copy when nobody remembers what is lost, also with the second return in a row.
    test.it("is kept by the first leader after two returns in series and the loss of all instances", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(36, noFaults);
        await simulation.run(8000);
        simulation.setDraining(0, true);
        await simulation.run(2500);
        simulation.returnFromCopy(4000);
        simulation.endLeader();
        await simulation.run(300);
        simulation.returnFromCopy(8000);
        await simulation.replaceLeader(false);
        simulation.requestKeys(0, 20_000);
        await simulation.run(5000);
        // The successor of the leader that waits has to wait for the rest of the time.
        await simulation.resignLeader();
        simulation.requestKeys(0, 20_000);
        await simulation.run(longestLeaseMilliseconds);
        earl.expect(simulation.violations()).toEqual([]);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
    });

    const runCount = Number(process.env.INTERLEAVINGS_RUNS ?? 12);
    const firstSeed = Number(process.env.INTERLEAVINGS_SEED ?? 1);

    /** Seeds with a violation in the past. 3079: a leader that went on did not know the longer leases that one of a lost term had granted. */
    const failedSeeds = [3079];
    const seeds = [...failedSeeds, ...Array.from({ length: runCount }, (...[, index]) => firstSeed + index)];

    for (const seed of new Set(seeds)) {
        test.it(`is kept under random faults with returns, seed ${seed}`, async () => {
            const result = await randomFaults.runRandomFaults(seed, (simulation, random) => [
                () => simulation.returnFromCopy(random.below(6000)),
                () => simulation.returnFromCopy(random.below(60_000)),
                async () => {
                    simulation.returnFromCopy(random.below(3000));
                    await simulation.run(random.below(1000));
                    simulation.returnFromCopy(random.below(6000));
                },
                async () => {
                    simulation.setStoreUnavailable(true);
                    await simulation.run(random.below(2500));
                    simulation.returnFromCopy(random.below(8000));
                    simulation.setStoreUnavailable(false);
                },
                async () => {
                    simulation.pauseLeader();
                    simulation.setStoreUnavailable(false);
                    await simulation.replaceLeader(true);
                    await simulation.run(random.below(6000));
                    simulation.returnFromCopy(random.below(9000));
                    if (random.fraction() < 0.5) {
                        simulation.endLeader();
                    }
                    simulation.wakeLeader();
                },
            ]);
            earl.expect(result).toEqual({ violations: [], heldKeyCount: everyKey });
        });
    }
});
