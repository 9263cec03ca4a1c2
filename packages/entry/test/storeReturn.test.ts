/** Tests that keys have one owner, and tokens rise, when the store returns from an older copy. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";
import * as ownershipSimulation from "./fixtures/ownershipSimulation";
import type * as simulationFaults from "./fixtures/simulationFaults";

const noFaults: simulationFaults.SimulationFaults = { lateCommands: 0, lostCommands: 0, lostAppends: 0, slowReads: 0 };
const everyKey = assignment.keyCount;
/** Time after which the longest leases that may be out have ended and keys have been granted anew, in milliseconds. */
const longestLeaseMilliseconds = 16_000;

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
        for (let elapsed = 0; elapsed < 6000; elapsed += 200) {
            simulation.requestKeys(0, 20_000);
            await simulation.run(200);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        }
        earl.expect(simulation.violations()).toEqual([]);
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
});
