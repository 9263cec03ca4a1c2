/** Plans the placement of slots: repairs first, then as few moves as are needed to balance the load. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";

/** A server that can own slots. */
export interface PlacementServer {
    identifier: ledger.ServerIdentifier;
    failureDomain: string;
    /** A leaving server loses its slots and is assigned no new ones. */
    isLeaving: boolean;
}

/** Request rate of a slot. */
export interface SlotLoad {
    slot: number;
    requestsPerSecond: number;
}

interface PlacementWeights {
    slotWeights: number[];
    /** Weight of each server that is not leaving: the sum of the weights of its slots. */
    serverWeights: Map<ledger.ServerIdentifier, number>;
    slotCounts: Map<ledger.ServerIdentifier, number>;
}

/** Fraction of the total weight that is divided evenly among all slots, regardless of their load. */
const idleWeightRatio = 0.5;

const computeSlotWeights = (slotCount: number, loads: readonly SlotLoad[]): number[] => {
    const total = loads.reduce((sum, load) => sum + load.requestsPerSecond, 0);
    const base = total > 0 ? idleWeightRatio / slotCount : 1 / slotCount;
    const weights = Array<number>(slotCount).fill(base);
    for (const load of loads) {
        if (load.slot < slotCount && total > 0) {
            weights[load.slot] += (1 - idleWeightRatio) * load.requestsPerSecond / total;
        }
    }
    return weights;
};

const computeWeights = (
    owners: readonly (ledger.ServerIdentifier | undefined)[],
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
): PlacementWeights => {
    const slotWeights = computeSlotWeights(owners.length, loads);
    const usableServers = servers.filter(server => !server.isLeaving);
    const serverWeights = new Map(usableServers.map(server => [server.identifier, 0]));
    const slotCounts = new Map(usableServers.map(server => [server.identifier, 0]));
    owners.forEach((owner, slot) => {
        if (owner !== undefined && serverWeights.has(owner)) {
            serverWeights.set(owner, (serverWeights.get(owner) ?? 0) + slotWeights[slot]);
            slotCounts.set(owner, (slotCounts.get(owner) ?? 0) + 1);
        }
    });
    return { slotWeights, serverWeights, slotCounts };
};

const findExtremeServer = (
    serverWeights: Map<ledger.ServerIdentifier, number>,
    sign: 1 | -1,
): ledger.ServerIdentifier | undefined => {
    let best: [ledger.ServerIdentifier, number] | undefined;
    for (const entry of serverWeights) {
        const isBetter = best === undefined || sign * entry[1] > sign * best[1]
            || (entry[1] === best[1] && entry[0] < best[0]);
        if (isBetter) {
            best = entry;
        }
    }
    return best?.[0];
};

const chooseSuccessor = (
    slotKey: string,
    owner: ledger.ServerIdentifier,
    servers: readonly PlacementServer[],
): ledger.ServerIdentifier | undefined => {
    const ownerDomain = servers.find(server => server.identifier === owner)?.failureDomain;
    const others = servers.filter(server => !server.isLeaving && server.identifier !== owner);
    const inOtherDomains = others.filter(server => server.failureDomain !== ownerDomain);
    const candidates = inOtherDomains.length > 0 ? inOtherDomains : others;
    return foundation.rendezvousOrder(slotKey, candidates.map(server => server.identifier))[0];
};

const applyMove = (
    weights: PlacementWeights,
    slot: number,
    from: ledger.ServerIdentifier | undefined,
    to: ledger.ServerIdentifier,
): void => {
    const weight = weights.slotWeights[slot];
    if (from !== undefined && weights.serverWeights.has(from)) {
        weights.serverWeights.set(from, (weights.serverWeights.get(from) ?? 0) - weight);
        weights.slotCounts.set(from, (weights.slotCounts.get(from) ?? 0) - 1);
    }
    weights.serverWeights.set(to, (weights.serverWeights.get(to) ?? 0) + weight);
    weights.slotCounts.set(to, (weights.slotCounts.get(to) ?? 0) + 1);
};

/**
 * Plans the required changes: for slots without an active owner, with a leaving owner, or without a usable successor.
 *
 * @param service - the name of the service
 * @param slotCount - the number of slots
 * @param table - the current table, if it has this number of slots
 * @param servers - the servers whose sessions are active
 * @param loads - the load of each slot
 * @param isEnded - whether a session has ended
 * @param maxMovesFromLeavingServers - the maximum number of slots that one plan moves away from leaving servers
 * @returns the assignments to record, empty if no change is needed
 */
export const planRepair = (
    service: string,
    slotCount: number,
    table: ledger.ServiceTable | undefined,
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
    isEnded: (identifier: ledger.ServerIdentifier) => boolean,
    maxMovesFromLeavingServers: number,
): ledger.Assignment[] => {
    const usableServers = servers.filter(server => !server.isLeaving);
    if (usableServers.length === 0) {
        return [];
    }
    const isUsable = (identifier: ledger.ServerIdentifier | undefined): boolean =>
        usableServers.some(server => server.identifier === identifier);
    const entryAt = (slot: number): ledger.SlotEntry | undefined => table?.slots[slot];
    const holders = [...Array(slotCount).keys()].map(slot => {
        const entry = entryAt(slot);
        return entry === undefined ? undefined : ledger.findSlotHolder(entry, isEnded)?.holder;
    });
    const weights = computeWeights(holders, servers, loads);
    const assignments: ledger.Assignment[] = [];
    let remainingMoves = maxMovesFromLeavingServers;
    holders.forEach((holder, slot) => {
        const entry = entryAt(slot);
        const isLeaving = servers.some(server => server.identifier === holder && server.isLeaving);
        if (isLeaving && remainingMoves-- <= 0) {
            return;
        }
        let owner = holder;
        if (owner === undefined || isLeaving || isEnded(owner)) {
            owner = findExtremeServer(weights.serverWeights, -1) as ledger.ServerIdentifier;
            applyMove(weights, slot, holder, owner);
        }
        const canKeepSuccessor = entry?.heir !== undefined && entry.heir !== owner && isUsable(entry.heir);
        const successor = canKeepSuccessor ? entry.heir : chooseSuccessor(`${service}/${slot}`, owner, servers);
        if (entry?.owner !== owner || entry.heir !== successor) {
            assignments.push({ slot, owner, heir: successor });
        }
    });
    return assignments;
};

/**
 * Plans moves that balance the load. Each move transfers the slot that best closes the gap between the most loaded and
 * the least loaded server. No move is planned while both are within the limit.
 *
 * @param table - a table in which every owner is usable
 * @param servers - the servers whose sessions are active
 * @param loads - the load of each slot
 * @param maxImbalance - the maximum ratio of the most loaded server to the mean, and of the mean to the least loaded
 * @param maxMoves - the maximum number of moves to plan
 * @returns the assignments to record, empty if the servers are balanced
 */
export const planBalance = (
    table: ledger.ServiceTable,
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
    maxImbalance: number,
    maxMoves: number,
): ledger.Assignment[] => {
    const owners = table.slots.map(entry => entry.owner);
    const weights = computeWeights(owners, servers, loads);
    const mean = 1 / Math.max(weights.serverWeights.size, 1);
    const assignments: ledger.Assignment[] = [];
    while (assignments.length < maxMoves) {
        const mostLoaded = findExtremeServer(weights.serverWeights, 1);
        const leastLoaded = findExtremeServer(weights.serverWeights, -1);
        if (mostLoaded === undefined || leastLoaded === undefined || mostLoaded === leastLoaded) {
            break;
        }
        const gap = (weights.serverWeights.get(mostLoaded) ?? 0) - (weights.serverWeights.get(leastLoaded) ?? 0);
        const isBalanced = (weights.serverWeights.get(mostLoaded) ?? 0) <= mean * maxImbalance
            && (weights.serverWeights.get(leastLoaded) ?? 0) >= mean / maxImbalance;
        const slot = isBalanced ? undefined : findBestSlot(owners, weights.slotWeights, mostLoaded, gap);
        if (slot === undefined) {
            break;
        }
        applyMove(weights, slot, mostLoaded, leastLoaded);
        owners[slot] = leastLoaded;
        assignments.push({
            slot,
            owner: leastLoaded,
            heir: chooseSuccessor(`${table.service}/${slot}`, leastLoaded, servers),
        });
    }
    return assignments;
};

const findBestSlot = (
    owners: readonly ledger.ServerIdentifier[],
    slotWeights: readonly number[],
    mostLoaded: ledger.ServerIdentifier,
    gap: number,
): number | undefined => {
    let best: number | undefined;
    let bestDistance = gap / 2;
    owners.forEach((owner, slot) => {
        const distance = Math.abs(gap / 2 - slotWeights[slot]);
        if (owner === mostLoaded && slotWeights[slot] < gap && distance < bestDistance) {
            best = slot;
            bestDistance = distance;
        }
    });
    return best;
};

/**
 * Measures the imbalance between servers.
 *
 * @param owners - the owner of each slot
 * @param servers - all servers; those that are leaving are not counted
 * @param loads - the load of each slot
 * @returns the ratio of the most loaded server's weight to the mean weight, or 1 without any weight
 */
export const measureImbalance = (
    owners: readonly ledger.ServerIdentifier[],
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
): number => {
    const serverWeights = [...computeWeights(owners, servers, loads).serverWeights.values()];
    const sum = serverWeights.reduce((total, value) => total + value, 0);
    return sum === 0 ? 1 : Math.max(...serverWeights) / (sum / serverWeights.length);
};
