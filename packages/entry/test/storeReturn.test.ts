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
});
