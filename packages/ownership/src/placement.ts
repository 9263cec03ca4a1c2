/** Placement of slots as a pure plan: repairs first, then as few moves as balance asks for. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";

/** A server that can own slots. */
export interface PlacementServer {
    identifier: ledger.ServerIdentifier;
    failureDomain: string;
    /** A leaving server keeps nothing and gets nothing. */
    isLeaving: boolean;
}

/** Work that a slot causes. */
export interface SlotLoad {
    slot: number;
    requestsPerSecond: number;
}

interface Balance {
    weights: number[];
    /** Weight by server, for servers that may own. */
    totals: Map<ledger.ServerIdentifier, number>;
    counts: Map<ledger.ServerIdentifier, number>;
}

/** Share of a server's weight that every slot has, however idle. */
const idleShare = 0.5;

const weightsOf = (slotCount: number, loads: readonly SlotLoad[]): number[] => {
    const total = loads.reduce((sum, load) => sum + load.requestsPerSecond, 0);
    const base = total > 0 ? idleShare / slotCount : 1 / slotCount;
    const weights = Array<number>(slotCount).fill(base);
    for (const load of loads) {
        if (load.slot < slotCount && total > 0) {
            weights[load.slot] += (1 - idleShare) * load.requestsPerSecond / total;
        }
    }
    return weights;
};

const createBalance = (
    owners: readonly (ledger.ServerIdentifier | undefined)[],
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
): Balance => {
    const weights = weightsOf(owners.length, loads);
    const usable = servers.filter(server => !server.isLeaving);
    const totals = new Map(usable.map(server => [server.identifier, 0]));
    const counts = new Map(usable.map(server => [server.identifier, 0]));
    owners.forEach((owner, slot) => {
        if (owner !== undefined && totals.has(owner)) {
            totals.set(owner, (totals.get(owner) ?? 0) + weights[slot]);
            counts.set(owner, (counts.get(owner) ?? 0) + 1);
        }
    });
    return { weights, totals, counts };
};

const extreme = (totals: Map<ledger.ServerIdentifier, number>, sign: 1 | -1): ledger.ServerIdentifier | undefined => {
    let best: [ledger.ServerIdentifier, number] | undefined;
    for (const entry of totals) {
        const isBetter = best === undefined || sign * entry[1] > sign * best[1]
            || (entry[1] === best[1] && entry[0] < best[0]);
        if (isBetter) {
            best = entry;
        }
    }
    return best?.[0];
};

const chooseHeir = (
    slotName: string,
    owner: ledger.ServerIdentifier,
    servers: readonly PlacementServer[],
): ledger.ServerIdentifier | undefined => {
    const ownerDomain = servers.find(server => server.identifier === owner)?.failureDomain;
    const others = servers.filter(server => !server.isLeaving && server.identifier !== owner);
    const apart = others.filter(server => server.failureDomain !== ownerDomain);
    const candidates = apart.length > 0 ? apart : others;
    return foundation.rendezvousOrder(slotName, candidates.map(server => server.identifier))[0];
};

const move = (
    balance: Balance,
    slot: number,
    from: ledger.ServerIdentifier | undefined,
    to: ledger.ServerIdentifier,
): void => {
    const weight = balance.weights[slot];
    if (from !== undefined && balance.totals.has(from)) {
        balance.totals.set(from, (balance.totals.get(from) ?? 0) - weight);
        balance.counts.set(from, (balance.counts.get(from) ?? 0) - 1);
    }
    balance.totals.set(to, (balance.totals.get(to) ?? 0) + weight);
    balance.counts.set(to, (balance.counts.get(to) ?? 0) + 1);
};

/**
 * Plans what must change: slots without a living owner, with a leaving owner, or without a usable heir.
 *
 * @param service - name of the service
 * @param slotCount - number of slots
 * @param table - the table so far, if there is one of this size
 * @param servers - servers that answer
 * @param loads - work by slot
 * @param isEnded - tells whether a session has ended
 * @param leavingMovesAtATime - how many slots may leave a leaving server by one plan
 * @returns the assignments to record, none when all is in order
 */
export const planRepair = (
    service: string,
    slotCount: number,
    table: ledger.ServiceTable | undefined,
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
    isEnded: (identifier: ledger.ServerIdentifier) => boolean,
    leavingMovesAtATime: number,
): ledger.Assignment[] => {
    const usable = servers.filter(server => !server.isLeaving);
    if (usable.length === 0) {
        return [];
    }
    const isUsable = (identifier: ledger.ServerIdentifier | undefined): boolean =>
        usable.some(server => server.identifier === identifier);
    const entryAt = (slot: number): ledger.SlotEntry | undefined => table?.slots[slot];
    const holders = [...Array(slotCount).keys()].map(slot => {
        const entry = entryAt(slot);
        return entry === undefined ? undefined : ledger.findSlotHolder(entry, isEnded)?.holder;
    });
    const balance = createBalance(holders, servers, loads);
    const assignments: ledger.Assignment[] = [];
    let movesLeft = leavingMovesAtATime;
    holders.forEach((holder, slot) => {
        const entry = entryAt(slot);
        const isLeaving = servers.some(server => server.identifier === holder && server.isLeaving);
        if (isLeaving && movesLeft-- <= 0) {
            return;
        }
        let owner = holder;
        if (owner === undefined || isLeaving || isEnded(owner)) {
            owner = extreme(balance.totals, -1) as ledger.ServerIdentifier;
            move(balance, slot, holder, owner);
        }
        const keepsHeir = entry?.heir !== undefined && entry.heir !== owner && isUsable(entry.heir);
        const heir = keepsHeir ? entry.heir : chooseHeir(`${service}/${slot}`, owner, servers);
        if (entry?.owner !== owner || entry.heir !== heir) {
            assignments.push({ slot, owner, heir });
        }
    });
    return assignments;
};

/**
 * Plans moves for balance. Each move takes the slot that best closes the gap between the busiest and the idlest
 * server, and none is planned while the busiest stays within the limit.
 *
 * @param table - a table in which every owner is usable
 * @param servers - servers that answer
 * @param loads - work by slot
 * @param imbalanceLimit - highest ratio of the busiest server to the mean
 * @param movesAtATime - how many moves to plan
 * @returns the assignments to record, none when balance is good enough
 */
export const planBalance = (
    table: ledger.ServiceTable,
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
    imbalanceLimit: number,
    movesAtATime: number,
): ledger.Assignment[] => {
    const owners = table.slots.map(entry => entry.owner);
    const balance = createBalance(owners, servers, loads);
    const mean = 1 / Math.max(balance.totals.size, 1);
    const assignments: ledger.Assignment[] = [];
    while (assignments.length < movesAtATime) {
        const busiest = extreme(balance.totals, 1);
        const idlest = extreme(balance.totals, -1);
        if (busiest === undefined || idlest === undefined || busiest === idlest) {
            break;
        }
        const gap = (balance.totals.get(busiest) ?? 0) - (balance.totals.get(idlest) ?? 0);
        const isBalanced = (balance.totals.get(busiest) ?? 0) <= mean * imbalanceLimit
            && (balance.totals.get(idlest) ?? 0) >= mean / imbalanceLimit;
        const slot = isBalanced ? undefined : bestSlot(owners, balance.weights, busiest, gap);
        if (slot === undefined) {
            break;
        }
        move(balance, slot, busiest, idlest);
        owners[slot] = idlest;
        assignments.push({ slot, owner: idlest, heir: chooseHeir(`${table.service}/${slot}`, idlest, servers) });
    }
    return assignments;
};

const bestSlot = (
    owners: readonly ledger.ServerIdentifier[],
    weights: readonly number[],
    busiest: ledger.ServerIdentifier,
    gap: number,
): number | undefined => {
    let best: number | undefined;
    let bestDistance = gap / 2;
    owners.forEach((owner, slot) => {
        const distance = Math.abs(gap / 2 - weights[slot]);
        if (owner === busiest && weights[slot] < gap && distance < bestDistance) {
            best = slot;
            bestDistance = distance;
        }
    });
    return best;
};

/**
 * Measures imbalance.
 *
 * @param owners - owner of each slot
 * @param servers - every server that may own
 * @param loads - work by slot
 * @returns weight of the busiest server over the mean
 */
export const measureImbalance = (
    owners: readonly ledger.ServerIdentifier[],
    servers: readonly PlacementServer[],
    loads: readonly SlotLoad[],
): number => {
    const totals = [...createBalance(owners, servers, loads).totals.values()];
    const sum = totals.reduce((total, value) => total + value, 0);
    return sum === 0 ? 1 : Math.max(...totals) / (sum / totals.length);
};
