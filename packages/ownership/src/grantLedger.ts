/**
 * Keeps, for each slot, since when confirmed knowledge has named its holder, and so from when the holder may be
 * granted the slot: one lease after the naming was confirmed, or at once when the holder before gave the slot up.
 */
import * as ledger from "@mulberryseam/ledger";
import type * as confirmation from "./confirmation";
import * as lease from "./lease";

/** A slot that a server may be granted. */
export interface GrantedSlot {
    service: string;
    slot: number;
    token: number;
}

interface TrackedHolding extends ledger.SlotHolder {
    /** When a round that names the holding was first complete. */
    namedAt: number;
    /** The holding whose early end makes this one due at once. */
    previous: ledger.SlotHolder | undefined;
    /** Whether a grant of the holding has once been due; it stays due while the holding lasts. */
    isDue: boolean;
}

interface IndexedHolding {
    tracked: TrackedHolding;
    service: string;
    slot: number;
}

/** Grants that are due, by confirmed knowledge. */
export interface GrantLedger {
    /**
     * Takes a confirmed round. Rounds older than the last one taken, and rounds whose knowledge is not exactly what
     * the state has folded, are passed over.
     */
    takeRound: (round: confirmation.ConfirmedRound, state: ledger.LogState, durationMilliseconds: number) => void;
    /** When the last round taken began; leases on these holdings are counted from here. */
    confirmedAt: () => number | undefined;
    /** Takes the word of a server that held a slot under a token and has given it up. */
    takeRelease: (released: GrantedSlot) => void;
    /** Slots that a server may be granted now. */
    dueFor: (server: ledger.ServerIdentifier, now: number) => GrantedSlot[];
    /** Slots that a server holds or may still hold but that are named for another one. */
    toRelease: (server: ledger.ServerIdentifier) => GrantedSlot[];
    /** Number of slots of a service, by confirmed knowledge; 0 while nothing is known of it. */
    slotCount: (service: string) => number;
    /** The holder of a slot, with whether its grant is due. */
    holder: (service: string, slot: number, now: number) => (ledger.SlotHolder & { isDue: boolean; }) | undefined;
}

const releaseMemory = 65_536;

const releaseName = (released: GrantedSlot): string => `${released.service}/${released.slot}/${released.token}`;

/**
 * Creates a ledger of grants.
 *
 * @returns a ledger that knows of no holdings
 */
export const createGrantLedger = (): GrantLedger => {
    const services = new Map<string, (TrackedHolding | undefined)[]>();
    const byHolder = new Map<ledger.ServerIdentifier, IndexedHolding[]>();
    const byPrevious = new Map<ledger.ServerIdentifier, IndexedHolding[]>();
    const releases = new Set<string>();
    let lastTables: readonly ledger.ServiceTable[] | undefined;
    let lastServers: ledger.LogState["servers"] | undefined;
    let lastLapses = "";
    let confirmedAt: number | undefined;
    let waitMilliseconds = lease.waitOutMilliseconds(0);

    const isReleased = (service: string, slot: number, holding: ledger.SlotHolder): boolean =>
        releases.has(releaseName({ service, slot, token: holding.token }));

    const track = (
        before: TrackedHolding | undefined,
        entry: ledger.SlotEntry,
        holding: ledger.SlotHolder | undefined,
        now: number,
        isPreviousAlive: boolean,
    ): TrackedHolding | undefined => {
        if (holding === undefined) {
            return undefined;
        }
        const isSame = before?.holder === holding.holder && before.token === holding.token;
        if (isSame) {
            return before;
        }
        // A release counts only for the owner named by the log while the owner before it may hold the slot: an heir
        // takes over from a lost owner, which gives nothing up.
        const previous = holding.holder === entry.owner && isPreviousAlive ? entry.previous : undefined;
        return { ...holding, namedAt: now, isDue: false, previous };
    };

    const refresh = (tracked: TrackedHolding, service: string, slot: number, now: number): boolean => {
        if (!tracked.isDue) {
            const isGivenUp = tracked.previous !== undefined && isReleased(service, slot, tracked.previous);
            tracked.isDue = isGivenUp || now >= tracked.namedAt + waitMilliseconds;
        }
        return tracked.isDue;
    };

    const takeTable = (table: ledger.ServiceTable, now: number, isEnded: (identifier: string) => boolean): void => {
        const before = services.get(table.service) ?? [];
        services.set(
            table.service,
            table.slots.map((entry, slot) => {
                const isPreviousAlive = entry.previous !== undefined && !isEnded(entry.previous.holder);
                return track(before[slot], entry, ledger.findSlotHolder(entry, isEnded), now, isPreviousAlive);
            }),
        );
    };

    const addTo = (
        index: Map<ledger.ServerIdentifier, IndexedHolding[]>,
        server: string,
        entry: IndexedHolding,
    ): void => {
        const entries = index.get(server);
        if (entries === undefined) {
            index.set(server, [entry]);
            return;
        }
        entries.push(entry);
    };

    const indexHolders = (): void => {
        byHolder.clear();
        byPrevious.clear();
        for (const [service, holdings] of services) {
            holdings.forEach((tracked, slot) => {
                if (tracked === undefined) {
                    return;
                }
                const entry = { tracked, service, slot };
                addTo(byHolder, tracked.holder, entry);
                const previous = tracked.previous?.holder;
                if (previous !== undefined && previous !== tracked.holder) {
                    addTo(byPrevious, previous, entry);
                }
            });
        }
    };

    return {
        takeRound: (round, state, durationMilliseconds) => {
            const isOlder = confirmedAt !== undefined && round.beganAt < confirmedAt;
            if (isOlder || state.changedAt !== round.knowledge.offset) {
                return;
            }
            confirmedAt = round.beganAt;
            waitMilliseconds = lease.waitOutMilliseconds(durationMilliseconds);
            const lapses = round.knowledge.lapses.join();
            if (state.tables === lastTables && state.servers === lastServers && lapses === lastLapses) {
                return;
            }
            lastTables = state.tables;
            lastServers = state.servers;
            lastLapses = lapses;
            const isRecordedEnded = ledger.createEndedSessionPredicate(state.servers);
            const isEnded = (identifier: string): boolean =>
                round.knowledge.lapses.includes(identifier) || isRecordedEnded(identifier);
            state.tables.forEach(table => takeTable(table, round.completedAt, isEnded));
            indexHolders();
        },
        confirmedAt: () => confirmedAt,
        takeRelease: released => {
            if (releases.size >= releaseMemory) {
                releases.clear();
            }
            releases.add(releaseName(released));
        },
        dueFor: (server, now) => {
            const held = byHolder.get(server) ?? [];
            return held
                .filter(({ tracked, service, slot }) => refresh(tracked, service, slot, now))
                .map(({ tracked, service, slot }) => ({ service, slot, token: tracked.token }));
        },
        toRelease: server => {
            const left = byPrevious.get(server) ?? [];
            return left
                .filter(({ tracked }) => !tracked.isDue)
                .map(({ tracked, service, slot }) => ({ service, slot, token: tracked.previous?.token ?? -1 }));
        },
        slotCount: service => services.get(service)?.length ?? 0,
        holder: (service, slot, now) => {
            const tracked = services.get(service)?.[slot];
            if (tracked === undefined) {
                return undefined;
            }
            const isDue = refresh(tracked, service, slot, now);
            return { holder: tracked.holder, token: tracked.token, isDue };
        },
    };
};
