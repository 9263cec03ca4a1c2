/** Placement must bound the imbalance, move few slots, and put successors in other failure domains than owners. */
import type * as ledger from "@mulberryseam/ledger";
import * as ownership from "@mulberryseam/ownership";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as test from "node:test";

const slotCount = 60;
const isNeverEnded = (): boolean => false;

const createServers = (count: number, leaving: string[] = []): ownership.PlacementServer[] =>
    [...Array(count).keys()].map(index => ({
        identifier: `server-${index}@1`,
        failureDomain: `domain-${index % 3}`,
        isLeaving: leaving.includes(`server-${index}@1`),
    }));

const createTable = (servers: readonly ownership.PlacementServer[]): ledger.ServiceTable => {
    const plan = ownership.planRepair("records", slotCount, undefined, servers, [], isNeverEnded, slotCount);
    return {
        service: "records",
        version: 1,
        slots: plan.map(assignment => ({
            owner: assignment.owner,
            heir: assignment.heir,
            token: 2,
            heirToken: 3,
            previous: undefined,
        })),
    };
};

const ownersOf = (table: ledger.ServiceTable): string[] => table.slots.map(entry => entry.owner);

test.describe("repair planning", () => {
    test.it("assigns every slot an owner and a successor in another failure domain", () => {
        const servers = createServers(6);
        const table = createTable(servers);
        const failureDomainOf = (identifier?: string) =>
            servers.find(server => server.identifier === identifier)?.failureDomain;
        earl.expect(table.slots.length).toEqual(slotCount);
        earl.expect(table.slots.every(entry => failureDomainOf(entry.owner) !== failureDomainOf(entry.heir))).toEqual(
            true,
        );
        earl.expect(ownership.measureImbalance(ownersOf(table), servers, []) <= 1.11).toEqual(true);
    });

    test.it("plans no change for a valid table", () => {
        const servers = createServers(6);
        earl.expect(ownership.planRepair("records", slotCount, createTable(servers), servers, [], isNeverEnded, 8))
            .toEqual(
                [],
            );
    });

    test.it("makes the successors of a lost server owners of its slots, since they already serve them", () => {
        const servers = createServers(6);
        const table = createTable(servers);
        const isEnded = (identifier: string): boolean => identifier === "server-0@1";
        const plan = ownership.planRepair("records", slotCount, table, servers.slice(1), [], isEnded, 8);
        const moved = plan.filter(assignment => table.slots[assignment.slot].owner === "server-0@1");
        earl.expect(moved.length).toEqual(10);
        earl.expect(moved.every(assignment => assignment.owner === table.slots[assignment.slot].heir)).toEqual(true);
        const others = plan.filter(assignment => table.slots[assignment.slot].owner !== "server-0@1");
        earl.expect(others.every(assignment => assignment.owner === table.slots[assignment.slot].owner)).toEqual(true);
    });

    test.it("moves a leaving server's slots a few at a time", () => {
        const servers = createServers(6, ["server-0@1"]);
        const table = createTable(createServers(6));
        const plan = ownership.planRepair("records", slotCount, table, servers, [], isNeverEnded, 4);
        const moved = plan.filter(assignment => assignment.owner !== table.slots[assignment.slot].owner);
        earl.expect(moved.length).toEqual(4);
    });

    test.it("plans nothing when there is no server", () => {
        earl.expect(ownership.planRepair("records", slotCount, undefined, [], [], isNeverEnded, 4)).toEqual([]);
    });
});

test.describe("balance planning", () => {
    test.it("moves no more slots than the even share of a joining server", () => {
        const table = createTable(createServers(5));
        const owners = ownersOf(table);
        const servers = createServers(6);
        let current = table;
        let moves = 0;
        for (
            let plan = ownership.planBalance(current, servers, [], 1.3, 4);
            plan.length > 0;
            plan = ownership.planBalance(current, servers, [], 1.3, 4)
        ) {
            plan.forEach(assignment => {
                owners[assignment.slot] = assignment.owner;
            });
            moves += plan.length;
            current = { ...current, slots: current.slots.map((entry, slot) => ({ ...entry, owner: owners[slot] })) };
        }
        earl.expect(moves <= slotCount / 6).toEqual(true);
        earl.expect(ownership.measureImbalance(owners, servers, []) <= 1.3).toEqual(true);
    });

    test.it("keeps a hot slot on its server and moves other slots off that server", () => {
        const servers = createServers(6);
        const table = createTable(servers);
        const loads: ownership.SlotLoad[] = [{ slot: 0, requestsPerSecond: 1000 }];
        const plan = ownership.planBalance(table, servers, loads, 1.3, 4);
        earl.expect(plan.some(assignment => assignment.slot === 0)).toEqual(false);
        earl.expect(plan.length > 0).toEqual(true);
    });

    test.it("converges for any load and never increases the imbalance", () => {
        const property = fastCheck.property(
            fastCheck.array(
                fastCheck.record({ slot: fastCheck.nat(slotCount - 1), requestsPerSecond: fastCheck.nat(500) }),
                { maxLength: 20 },
            ),
            loads => {
                const servers = createServers(6);
                let table = createTable(servers);
                let imbalance = ownership.measureImbalance(ownersOf(table), servers, loads);
                for (let iteration = 0; iteration < 100; iteration++) {
                    const plan = ownership.planBalance(table, servers, loads, 1.25, 4);
                    if (plan.length === 0) {
                        return;
                    }
                    const slots = [...table.slots];
                    plan.forEach(assignment => {
                        slots[assignment.slot] = { ...slots[assignment.slot], owner: assignment.owner };
                    });
                    table = { ...table, slots };
                    const nextImbalance = ownership.measureImbalance(ownersOf(table), servers, loads);
                    earl.expect(nextImbalance <= imbalance + 1e-9).toEqual(true);
                    imbalance = nextImbalance;
                }
                throw new Error("balancing did not converge within 100 plans");
            },
        );
        fastCheck.assert(property, { seed: 19, numRuns: 100 });
    });
});
