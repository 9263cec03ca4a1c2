/** Placement: bounded imbalance, few moves, heirs apart from owners. */
import type { ServiceTable } from "@mulberryseam/ledger";
import {
    measureImbalance,
    type PlacementServer,
    planBalance,
    planRepair,
    type SlotLoad,
} from "@mulberryseam/ownership";
import { expect } from "earl";
import * as fastCheck from "fast-check";
import { describe, it } from "node:test";

const slotCount = 60;
const never = (): boolean => false;

const createServers = (count: number, leaving: string[] = []): PlacementServer[] =>
    [...Array(count).keys()].map(index => ({
        identifier: `server-${index}@1`,
        failureDomain: `domain-${index % 3}`,
        isLeaving: leaving.includes(`server-${index}@1`),
    }));

const createTable = (servers: readonly PlacementServer[]): ServiceTable => {
    const plan = planRepair("records", slotCount, undefined, servers, [], never, slotCount);
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

const ownersOf = (table: ServiceTable): string[] => table.slots.map(entry => entry.owner);

describe("repairs", () => {
    it("give every slot an owner, and an heir in another failure domain", () => {
        const servers = createServers(6);
        const table = createTable(servers);
        const domainOf = (identifier?: string) =>
            servers.find(server => server.identifier === identifier)?.failureDomain;
        expect(table.slots.length).toEqual(slotCount);
        expect(table.slots.every(entry => domainOf(entry.owner) !== domainOf(entry.heir))).toEqual(true);
        expect(measureImbalance(ownersOf(table), servers, []) <= 1.11).toEqual(true);
    });

    it("change nothing when nothing is wrong", () => {
        const servers = createServers(6);
        expect(planRepair("records", slotCount, createTable(servers), servers, [], never, 8)).toEqual([]);
    });

    it("leave a lost server's slots with the heirs that serve them", () => {
        const servers = createServers(6);
        const table = createTable(servers);
        const isEnded = (identifier: string): boolean => identifier === "server-0@1";
        const plan = planRepair("records", slotCount, table, servers.slice(1), [], isEnded, 8);
        const moved = plan.filter(assignment => table.slots[assignment.slot].owner === "server-0@1");
        expect(moved.length).toEqual(10);
        expect(moved.every(assignment => assignment.owner === table.slots[assignment.slot].heir)).toEqual(true);
        const others = plan.filter(assignment => table.slots[assignment.slot].owner !== "server-0@1");
        expect(others.every(assignment => assignment.owner === table.slots[assignment.slot].owner)).toEqual(true);
    });

    it("move a leaving server's slots a few at a time", () => {
        const servers = createServers(6, ["server-0@1"]);
        const table = createTable(createServers(6));
        const plan = planRepair("records", slotCount, table, servers, [], never, 4);
        const moved = plan.filter(assignment => assignment.owner !== table.slots[assignment.slot].owner);
        expect(moved.length).toEqual(4);
    });

    it("plan nothing while no server is left", () => {
        expect(planRepair("records", slotCount, undefined, [], [], never, 4)).toEqual([]);
    });
});

describe("balance", () => {
    it("moves no more than the share of a server that joins", () => {
        const table = createTable(createServers(5));
        const owners = ownersOf(table);
        const servers = createServers(6);
        let current = table;
        let moves = 0;
        for (
            let plan = planBalance(current, servers, [], 1.3, 4);
            plan.length > 0;
            plan = planBalance(current, servers, [], 1.3, 4)
        ) {
            plan.forEach(assignment => {
                owners[assignment.slot] = assignment.owner;
            });
            moves += plan.length;
            current = { ...current, slots: current.slots.map((entry, slot) => ({ ...entry, owner: owners[slot] })) };
        }
        expect(moves <= slotCount / 6).toEqual(true);
        expect(measureImbalance(owners, servers, []) <= 1.3).toEqual(true);
    });

    it("leaves a hot slot where it is and moves others away from it", () => {
        const servers = createServers(6);
        const table = createTable(servers);
        const loads: SlotLoad[] = [{ slot: 0, requestsPerSecond: 1000 }];
        const plan = planBalance(table, servers, loads, 1.3, 4);
        expect(plan.some(assignment => assignment.slot === 0)).toEqual(false);
        expect(plan.length > 0).toEqual(true);
    });

    it("comes to an end from any load and never makes the busiest server busier", () => {
        const property = fastCheck.property(
            fastCheck.array(
                fastCheck.record({ slot: fastCheck.nat(slotCount - 1), requestsPerSecond: fastCheck.nat(500) }),
                { maxLength: 20 },
            ),
            loads => {
                const servers = createServers(6);
                let table = createTable(servers);
                let imbalance = measureImbalance(ownersOf(table), servers, loads);
                for (let round = 0; round < 100; round++) {
                    const plan = planBalance(table, servers, loads, 1.25, 4);
                    if (plan.length === 0) {
                        return;
                    }
                    const slots = [...table.slots];
                    plan.forEach(assignment => {
                        slots[assignment.slot] = { ...slots[assignment.slot], owner: assignment.owner };
                    });
                    table = { ...table, slots };
                    const next = measureImbalance(ownersOf(table), servers, loads);
                    expect(next <= imbalance + 1e-9).toEqual(true);
                    imbalance = next;
                }
                throw new Error("balance never came to an end");
            },
        );
        fastCheck.assert(property, { seed: 19, numRuns: 100 });
    });
});
