/** Tests that a key never has two owners under faults: specific cases, then random interleavings with fixed seeds. */
import * as assignment from "@mulberryseam/assignment";
import * as earl from "earl";
import * as test from "node:test";
import * as ownershipSimulation from "./fixtures/ownershipSimulation";
import * as randomFaults from "./fixtures/randomFaults";
import type * as simulationFaults from "./fixtures/simulationFaults";

const noFaults: simulationFaults.SimulationFaults = { lateCommands: 0, lostCommands: 0, lostAppends: 0, slowReads: 0 };
const everyKey = assignment.keyCount;
/** Longest time for which a normal lease runs on a slow clock after the last renewal has arrived, in milliseconds. */
const leaseEndMilliseconds = assignment.normalKeyLeaseMilliseconds * 1.02 + 30;
const settledMilliseconds = 14_000;

const runCount = Number(process.env.INTERLEAVINGS_RUNS ?? 12);
const firstSeed = Number(process.env.INTERLEAVINGS_SEED ?? 1);

test.describe("sole ownership", () => {
    test.it("assigns every key after the first start", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(1, noFaults);
        await simulation.run(6000);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        earl.expect(simulation.violations()).toEqual([]);
    });

    test.it("reassigns an upstream's keys within two seconds of the registry update about its restart", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(2, noFaults);
        await simulation.run(6000);
        simulation.restart(0);
        // The registry entry arrives within 1.7 s.
        await simulation.run(1700 + 2000);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        earl.expect(simulation.violations()).toEqual([]);
    });

    test.it("waits for the leases of a partitioned upstream to expire, then reassigns its keys", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(3, noFaults);
        await simulation.run(6000);
        simulation.setPartitioned(0, true);
        await simulation.run(8000);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        simulation.setPartitioned(0, false);
        await simulation.run(4000);
        earl.expect(simulation.violations()).toEqual([]);
    });

    test.it("keeps every key owned during a store outage of nine seconds", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(4, noFaults);
        await simulation.run(6000);
        simulation.setStoreUnavailable(true);
        for (let elapsed = 0; elapsed < 9000; elapsed += 200) {
            await simulation.run(200);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        }
        simulation.setStoreUnavailable(false);
        await simulation.run(2000);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        earl.expect(simulation.violations()).toEqual([]);
    });

    test.it("keeps every key owned when the leader is lost", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(5, noFaults);
        await simulation.run(6000);
        await simulation.run(0);
        await simulation.replaceLeader(false);
        for (let elapsed = 0; elapsed < 6000; elapsed += 200) {
            await simulation.run(200);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        }
        earl.expect(simulation.violations()).toEqual([]);
    });

    test.it("keeps ownership sole while a superseded leader continues to run beside the new one", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(6, noFaults);
        await simulation.run(6000);
        simulation.requestKeys(1000, 60);
        simulation.setPartitioned(1, true);
        await simulation.replaceLeader(true);
        await simulation.run(settledMilliseconds + 4000);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        earl.expect(simulation.violations()).toEqual([]);
    });
});

test.describe("sole ownership without proof that an upstream or a leader has ended", () => {
    // Guards against keys with two owners after an entry of another writer at an upstream's address (review case 1).
    test.it("does not take a registry entry at an upstream's address for the end of that upstream", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(8, noFaults);
        await simulation.run(6000);
        simulation.setOtherEntry(0, true);
        simulation.setPartitioned(0, true);
        await simulation.run(4500);
        earl.expect(simulation.violations()).toEqual([]);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        earl.expect(simulation.heldKeyCountOf(0)).toEqual(0);
        simulation.setPartitioned(0, false);
        simulation.setOtherEntry(0, false);
        simulation.requestKeys(0, 60_000);
        await simulation.run(5000);
        earl.expect(simulation.heldKeyCountOf(0) > 0).toEqual(true);
        earl.expect(simulation.violations()).toEqual([]);
    });

    for (const change of ["draining", "renewed"]) {
        // Guards against keys with two owners after a running upstream has answered a lease command with 421.
        test.it(`does not take the answer 421 to lease commands for the end of an upstream whose leases are ${change}`, async () => {
            const simulation = await ownershipSimulation.createOwnershipSimulation(9, noFaults);
            await simulation.run(6000);
            simulation.setMisdirecting(0, true);
            simulation.setDraining(0, change === "draining");
            await simulation.run(leaseEndMilliseconds);
            earl.expect(simulation.heldKeyCountOf(0)).toEqual(0);
            await simulation.run(1700);
            earl.expect(simulation.violations()).toEqual([]);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
            simulation.setMisdirecting(0, false);
            simulation.setDraining(0, false);
            simulation.requestKeys(0, 60_000);
            await simulation.run(8000);
            earl.expect(simulation.heldKeyCountOf(0) > 0).toEqual(true);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
            earl.expect(simulation.violations()).toEqual([]);
        });
    }

    for (const isOnlyFromLeader of [true, false]) {
        const instances = isOnlyFromLeader ? "the leader" : "all instances";
        // Guards against keys with two owners after a path to an upstream was cut with resets (review case 2).
        test.it(`does not take connections that a cut path from ${instances} refuses for the end of an upstream`, async () => {
            const simulation = await ownershipSimulation.createOwnershipSimulation(10, noFaults);
            await simulation.run(6000);
            simulation.refuseConnections(0, isOnlyFromLeader);
            await simulation.run(leaseEndMilliseconds);
            earl.expect(simulation.heldKeyCountOf(0)).toEqual(0);
            await simulation.run(100);
            earl.expect(simulation.violations()).toEqual([]);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
            simulation.setPartitioned(0, false);
            simulation.requestKeys(0, 60_000);
            await simulation.run(8000);
            earl.expect(simulation.heldKeyCountOf(0) > 0).toEqual(true);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
            earl.expect(simulation.violations()).toEqual([]);
        });
    }

    const ends: [string, (simulation: ownershipSimulation.OwnershipSimulation) => void][] = [
        ["whose address another process uses", simulation => simulation.replaceUpstream(0)],
        ["that refuses connections", simulation => simulation.crash(0)],
    ];
    for (const [description, end] of ends) {
        test.it(`grants the keys of an upstream ${description} as soon as its last lease has ended`, async () => {
            for (let seed = 1; seed <= 8; seed += 1) {
                const simulation = await ownershipSimulation.createOwnershipSimulation(seed, noFaults);
                await simulation.run(6000 + seed * 200);
                end(simulation);
                // A grant that was in flight as the upstream ended may have arrived.
                await simulation.run(leaseEndMilliseconds + 200);
                earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
                earl.expect(simulation.violations()).toEqual([]);
            }
        });
    }

    // Guards against keys with two owners after a leader that took over longer leases has resigned (review case 4).
    test.it("passes on the longer leases of an earlier leader when leaders resign one after the other", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(7, noFaults);
        await simulation.run(6000);
        simulation.setStoreUnavailable(true);
        await simulation.run(1800);
        simulation.setPartitioned(0, true);
        simulation.setStoreUnavailable(false);
        await simulation.replaceLeader(false);
        for (let resignations = 0; resignations < 3; resignations += 1) {
            await simulation.run(700);
            await simulation.resignLeader();
        }
        await simulation.run(settledMilliseconds);
        earl.expect(simulation.violations()).toEqual([]);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
    });

    const announcements: [string, (simulation: ownershipSimulation.OwnershipSimulation) => void][] = [
        ["a follower", simulation => simulation.reportLeaving(0)],
        ["the response to a lease command", simulation => simulation.announceLeaving(0)],
    ];
    for (const [source, announce] of announcements) {
        test.it(`moves the keys of an upstream that is leaving according to ${source}, before the registry says so`, async () => {
            const simulation = await ownershipSimulation.createOwnershipSimulation(7, noFaults);
            await simulation.run(6000);
            earl.expect(simulation.heldKeyCountOf(0) > 0).toEqual(true);
            announce(simulation);
            await simulation.run(assignment.renewalIntervalMilliseconds + 1000);
            earl.expect(simulation.heldKeyCountOf(0)).toEqual(0);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
            await simulation.run(2000);
            earl.expect(simulation.heldKeyCountOf(0)).toEqual(0);
            earl.expect(simulation.violations()).toEqual([]);
        });
    }

    for (let seed = firstSeed; seed < firstSeed + runCount; seed += 1) {
        test.it(`never has two owners for a key under random faults, seed ${seed}`, async () => {
            const result = await randomFaults.runRandomFaults(seed, () => []);
            earl.expect(result).toEqual({ violations: [], heldKeyCount: everyKey });
        });
    }
});

test.describe("placement in allowed regions", () => {
    const places = { failureDomains: ["north-a", "south-a"] };

    // Guards against owners that a restricted route may not reach, at the first assignment and after a new document.
    test.it("assigns keys only in the regions, and moves them when the regions change", async () => {
        let allowedRegions: readonly string[] | undefined = ["north"];
        const options = { ...places, allowedRegions: () => allowedRegions };
        const simulation = await ownershipSimulation.createOwnershipSimulation(11, noFaults, 4, options);
        const keysIn = (...indexes: number[]): number =>
            indexes.reduce((sum, index) => sum + simulation.heldKeyCountOf(index), 0);
        await simulation.run(6000);
        earl.expect([keysIn(0, 2), keysIn(1, 3)]).toEqual([everyKey, 0]);
        allowedRegions = ["south"];
        await simulation.run(6000);
        earl.expect([keysIn(0, 2), keysIn(1, 3)]).toEqual([0, everyKey]);
        earl.expect(simulation.violations()).toEqual([]);
    });

    // Guards against changed placement for documents without the field.
    test.it("is the same as without places if the document restricts nothing", async () => {
        const held: number[][] = [];
        for (const options of [undefined, places]) {
            const simulation = await ownershipSimulation.createOwnershipSimulation(12, noFaults, 4, options);
            await simulation.run(5000);
            simulation.requestKeys(1000, 60);
            await simulation.run(3000);
            held.push([0, 1, 2, 3].map(simulation.heldKeyCountOf));
        }
        earl.expect(held[0]).toEqual(held[1]);
    });
});

test.describe("the keys of an evacuated failure domain", () => {
    const places = { failureDomains: ["north-a", "north-b"] };
    const inDomainA = [0, 2];
    /** Time until the leader has moved the keys of two upstreams of four, in milliseconds. */
    const moveMilliseconds = 3000;

    const keysInDomainA = (simulation: ownershipSimulation.OwnershipSimulation): number =>
        inDomainA.reduce((sum, index) => sum + simulation.heldKeyCountOf(index), 0);

    // Guards against requests after the bound, as keys that have not been moved by then have no owner that may be asked.
    test.it("move to the other failure domains in time under load, and come back after the end", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(21, noFaults, 4, places);
        await simulation.run(6000);
        earl.expect(keysInDomainA(simulation) > 0).toEqual(true);
        earl.expect(simulation.ownedKeyCountIn("north-a")).toEqual(keysInDomainA(simulation));
        simulation.setEvacuated("north-a", true);
        for (let elapsed = 0; elapsed < moveMilliseconds; elapsed += 200) {
            simulation.requestKeys(0, 60_000);
            await simulation.run(200);
        }
        earl.expect(keysInDomainA(simulation)).toEqual(0);
        earl.expect(simulation.ownedKeyCountIn("north-a")).toEqual(0);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        for (let elapsed = 0; elapsed < 4000; elapsed += 200) {
            simulation.requestKeys(0, 60_000);
            await simulation.run(200);
            earl.expect(keysInDomainA(simulation)).toEqual(0);
        }
        simulation.setEvacuated("north-a", false);
        for (let elapsed = 0; elapsed < 5000; elapsed += 200) {
            simulation.requestKeys(0, 60_000);
            await simulation.run(200);
        }
        earl.expect(keysInDomainA(simulation) > 0).toEqual(true);
        earl.expect(simulation.violations()).toEqual([]);
    });

    // Guards against an evacuation that stands still, or gives keys back, when its leader is lost.
    test.it("are moved by the successor of a leader that is lost halfway", async () => {
        for (const isStillRunning of [false, true]) {
            const simulation = await ownershipSimulation.createOwnershipSimulation(22, noFaults, 4, places);
            await simulation.run(6000);
            simulation.setEvacuated("north-a", true);
            const before = keysInDomainA(simulation);
            for (let elapsed = 0; keysInDomainA(simulation) === before && elapsed < moveMilliseconds; elapsed += 40) {
                await simulation.run(40);
            }
            const left = keysInDomainA(simulation);
            earl.expect(left > 0 && left < before).toEqual(true);
            await simulation.replaceLeader(isStillRunning);
            await simulation.run(assignment.normalKeyLeaseMilliseconds + moveMilliseconds);
            earl.expect(keysInDomainA(simulation)).toEqual(0);
            earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
            earl.expect(simulation.violations()).toEqual([]);
        }
    });

    // Guards against a new leader that plans by evacuations that it knew before it lost contact.
    test.it("are not planned by a leader that does not know the evacuations as they are", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(23, noFaults, 4, places);
        simulation.setEvacuationsRecent(false);
        await simulation.run(6000);
        earl.expect(simulation.heldKeyCount()).toEqual(0);
        simulation.setEvacuated("north-a", true);
        simulation.setEvacuationsRecent(true);
        await simulation.run(3000);
        // What is known once remains known while the leader leads.
        simulation.setEvacuationsRecent(false);
        simulation.setEvacuated("north-a", false);
        simulation.setEvacuated("north-b", true);
        await simulation.run(moveMilliseconds);
        earl.expect(keysInDomainA(simulation)).toEqual(everyKey);
    });

    // Guards against keys without an owner, and against moves between upstreams none of which may own keys.
    test.it("stay with their owners while every failure domain is evacuated, and move once there is another", async () => {
        const simulation = await ownershipSimulation.createOwnershipSimulation(24, noFaults, 4, places);
        await simulation.run(6000);
        const held = [0, 1, 2, 3].map(simulation.heldKeyCountOf);
        simulation.setEvacuated("north-a", true);
        simulation.setEvacuated("north-b", true);
        await simulation.run(6000);
        earl.expect([0, 1, 2, 3].map(simulation.heldKeyCountOf)).toEqual(held);
        simulation.setEvacuated("north-b", false);
        await simulation.run(moveMilliseconds);
        earl.expect(keysInDomainA(simulation)).toEqual(0);
        earl.expect(simulation.heldKeyCount()).toEqual(everyKey);
        earl.expect(simulation.violations()).toEqual([]);
    });
});
