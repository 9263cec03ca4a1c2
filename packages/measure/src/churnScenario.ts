/** Compares slot placement with plain rendezvous hashing: moves and imbalance when servers or load change. */
import * as foundation from "@mulberryseam/foundation";
import type * as ledger from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as resultCounters from "./resultCounters";
import type * as scenario from "./scenario";

const slotCount = 256;
const serverCount = 15;
const maxImbalance = 1.3;
const maxConcurrentMoves = 4;
const maxBalanceRounds = 500;
const totalRate = 3000;

type SlotOwners = string[];

const createServer = (number: number): ownership.PlacementServer => ({
    identifier: `server-${number}@1`,
    failureDomain: `domain-${number % 6}`,
    isLeaving: false,
});

/** Returns the values in a random order, each order equally likely. */
export const shuffle = <T>(values: readonly T[], random: foundation.Random): T[] => {
    const shuffled = [...values];
    for (let last = shuffled.length - 1; last > 0; last -= 1) {
        const index = random.below(last + 1);
        [shuffled[last], shuffled[index]] = [shuffled[index], shuffled[last]];
    }
    return shuffled;
};

const createZipfLoads = (seed: number): ownership.SlotLoad[] => {
    const random = foundation.createRandom(seed);
    const slots = shuffle([...Array(slotCount).keys()], random);
    const totalWeight = slots.map((...slotAndIndex) => 1 / (slotAndIndex[1] + 1)).reduce(
        (total, weight) => total + weight,
        0,
    );
    return slots.map((slot, index) => ({ slot, requestsPerSecond: totalRate / (index + 1) / totalWeight }));
};

const createTable = (owners: SlotOwners): ledger.ServiceTable => ({
    service: "records",
    version: 1,
    slots: owners.map(owner => ({ owner, heir: undefined, token: 1, heirToken: 2, previous: undefined })),
});

const placeWithPlanner = (
    currentOwners: SlotOwners | undefined,
    servers: ownership.PlacementServer[],
    loads: ownership.SlotLoad[],
): SlotOwners => {
    const isExpired = (identifier: string): boolean => !servers.some(server => server.identifier === identifier);
    const table = currentOwners === undefined ? undefined : createTable(currentOwners);
    const owners = currentOwners === undefined ? [] : [...currentOwners];
    ownership.planRepair("records", slotCount, table, servers, loads, isExpired, slotCount).forEach(assignment => {
        owners[assignment.slot] = assignment.owner;
    });
    for (let round = 0; round < maxBalanceRounds; round++) {
        const plan = ownership.planBalance(createTable(owners), servers, loads, maxImbalance, maxConcurrentMoves);
        if (plan.length === 0) {
            break;
        }
        plan.forEach(assignment => {
            owners[assignment.slot] = assignment.owner;
        });
    }
    return owners;
};

const placeWithRendezvousHashing = (servers: ownership.PlacementServer[]): SlotOwners =>
    [...Array(slotCount).keys()].map(slot =>
        foundation.rendezvousOrder(`records/${slot}`, servers.map(server => server.identifier))[0]
    );

const countMoves = (before: SlotOwners, after: SlotOwners): number =>
    after.filter((owner, slot) => owner !== before[slot]).length;

const measurePlacement = (
    seed: number,
    placeSlots: (
        currentOwners: SlotOwners | undefined,
        servers: ownership.PlacementServer[],
        loads: ownership.SlotLoad[],
    ) => SlotOwners,
): scenario.Measurements => {
    const servers = [...Array(serverCount).keys()].map(createServer);
    const loads = createZipfLoads(seed);
    const initialOwners = placeSlots(undefined, servers, loads);
    const serversAfterJoin = [...servers, createServer(serverCount)];
    const ownersAfterJoin = placeSlots(initialOwners, serversAfterJoin, loads);
    const serversAfterLeave = servers.slice(1);
    const ownersAfterLeave = placeSlots(initialOwners, serversAfterLeave, loads);
    const changedLoads = createZipfLoads(seed + 1);
    const ownersAfterLoadChange = placeSlots(initialOwners, servers, changedLoads);
    const minMovesForJoin = Math.floor(slotCount / (serverCount + 1));
    const minMovesForLeave = initialOwners.filter(owner => owner === servers[0].identifier).length;
    const measureChange = (
        owners: SlotOwners,
        currentServers: ownership.PlacementServer[],
        currentLoads: ownership.SlotLoad[],
        minMoves: number,
    ): scenario.Measurements => ({
        moved: countMoves(initialOwners, owners),
        movedOverMinimum: minMoves === 0 ? 0 : resultCounters.round(countMoves(initialOwners, owners) / minMoves, 2),
        imbalance: resultCounters.round(ownership.measureImbalance(owners, currentServers, currentLoads), 2),
    });
    return {
        start: { imbalance: resultCounters.round(ownership.measureImbalance(initialOwners, servers, loads), 2) },
        join: measureChange(ownersAfterJoin, serversAfterJoin, loads, minMovesForJoin),
        leave: measureChange(ownersAfterLeave, serversAfterLeave, loads, minMovesForLeave),
        hotSpotChange: {
            ...measureChange(ownersAfterLoadChange, servers, changedLoads, 0),
            imbalanceWithoutMoves: resultCounters.round(
                ownership.measureImbalance(initialOwners, servers, changedLoads),
                2,
            ),
        },
    };
};

/** Measures placement when a server joins, when one leaves and when the hot keys change. */
export const churnScenario: scenario.Scenario = {
    name: "churn",
    description:
        "moves and imbalance when a server joins or leaves and when hot keys change, against rendezvous hashing",
    run: async ({ seed }) => ({
        slots: slotCount,
        servers: serverCount,
        ours: measurePlacement(seed, placeWithPlanner),
        baseline: measurePlacement(seed, (...placementInputs) => placeWithRendezvousHashing(placementInputs[1])),
    }),
};
