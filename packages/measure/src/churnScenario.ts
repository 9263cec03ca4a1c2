/** Placement against plain rendezvous hashing: moves and imbalance when servers and load change. */
import * as foundation from "@mulberryseam/foundation";
import type * as ledger from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import type * as scenario from "./scenario";
import * as tally from "./tally";

const slotCount = 256;
const serverCount = 15;
const imbalanceLimit = 1.3;
const movesAtATime = 4;
const highestRounds = 500;
const totalRate = 3000;

type Owners = string[];

const createServer = (number: number): ownership.PlacementServer => ({
    identifier: `server-${number}@1`,
    failureDomain: `domain-${number % 6}`,
    isLeaving: false,
});

const createZipfLoads = (seed: number): ownership.SlotLoad[] => {
    const random = foundation.createRandom(seed);
    const slots = [...Array(slotCount).keys()].sort(() => random.fraction() - 0.5);
    const sum = slots.map((...entry) => 1 / (entry[1] + 1)).reduce((total, part) => total + part, 0);
    return slots.map((slot, index) => ({ slot, requestsPerSecond: totalRate / (index + 1) / sum }));
};

const createTable = (owners: Owners): ledger.ServiceTable => ({
    service: "records",
    version: 1,
    slots: owners.map(owner => ({ owner, heir: undefined, token: 1, heirToken: 2, previous: undefined })),
});

const placeByPlan = (
    before: Owners | undefined,
    servers: ownership.PlacementServer[],
    loads: ownership.SlotLoad[],
): Owners => {
    const isEnded = (identifier: string): boolean => !servers.some(server => server.identifier === identifier);
    const table = before === undefined ? undefined : createTable(before);
    const owners = before === undefined ? [] : [...before];
    ownership.planRepair("records", slotCount, table, servers, loads, isEnded, slotCount).forEach(assignment => {
        owners[assignment.slot] = assignment.owner;
    });
    for (let count = 0; count < highestRounds; count++) {
        const plan = ownership.planBalance(createTable(owners), servers, loads, imbalanceLimit, movesAtATime);
        if (plan.length === 0) {
            break;
        }
        plan.forEach(assignment => {
            owners[assignment.slot] = assignment.owner;
        });
    }
    return owners;
};

const placeByRendezvous = (servers: ownership.PlacementServer[]): Owners =>
    [...Array(slotCount).keys()].map(slot =>
        foundation.rendezvousOrder(`records/${slot}`, servers.map(server => server.identifier))[0]
    );

const countMoves = (before: Owners, after: Owners): number =>
    after.filter((owner, slot) => owner !== before[slot]).length;

const compare = (
    seed: number,
    place: (before: Owners | undefined, servers: ownership.PlacementServer[], loads: ownership.SlotLoad[]) => Owners,
): scenario.Figures => {
    const servers = [...Array(serverCount).keys()].map(createServer);
    const loads = createZipfLoads(seed);
    const start = place(undefined, servers, loads);
    const joinedServers = [...servers, createServer(serverCount)];
    const joined = place(start, joinedServers, loads);
    const leftServers = servers.slice(1);
    const left = place(start, leftServers, loads);
    const moved = createZipfLoads(seed + 1);
    const hot = place(start, servers, moved);
    const leastForJoin = Math.floor(slotCount / (serverCount + 1));
    const leastForLeave = start.filter(owner => owner === servers[0].identifier).length;
    const describe = (
        owners: Owners,
        on: ownership.PlacementServer[],
        at: ownership.SlotLoad[],
        least: number,
    ): scenario.Figures => ({
        moved: countMoves(start, owners),
        movedOverMinimum: least === 0 ? 0 : tally.round(countMoves(start, owners) / least, 2),
        imbalance: tally.round(ownership.measureImbalance(owners, on, at), 2),
    });
    return {
        start: { imbalance: tally.round(ownership.measureImbalance(start, servers, loads), 2) },
        join: describe(joined, joinedServers, loads, leastForJoin),
        leave: describe(left, leftServers, loads, leastForLeave),
        hotSpotChange: {
            ...describe(hot, servers, moved, 0),
            imbalanceWithoutMoves: tally.round(ownership.measureImbalance(start, servers, moved), 2),
        },
    };
};

/** The scenario. */
export const churnScenario: scenario.Scenario = {
    name: "churn",
    description:
        "moves and imbalance when a server joins or leaves and when hot keys change, against rendezvous hashing",
    run: async ({ seed }) => ({
        slots: slotCount,
        servers: serverCount,
        ours: compare(seed, placeByPlan),
        baseline: compare(seed, (...situation) => placeByRendezvous(situation[1])),
    }),
};
