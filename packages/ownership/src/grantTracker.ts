/**
 * Tracks when the current holder of each slot was first confirmed by a quorum round. The slot may be granted to that
 * holder once every older lease has expired, or at once if the previous holder has released the slot.
 */
import * as ledger from "@mulberryseam/ledger";
import type * as confirmation from "./confirmation";
import * as lease from "./lease";

/** A slot of a service, with the fencing token under which a server holds it. */
export interface GrantedSlot {
    service: string;
    slot: number;
    token: number;
}

interface TrackedHolding extends ledger.SlotHolder {
    /** When the first round that confirmed this holding completed. */
    firstConfirmedAt: number;
    /** The replaced holding. If its holder releases the slot, this holding can be granted at once. */
    previous: ledger.SlotHolder | undefined;
    /** Whether the slot can be granted to the holder. Stays true for as long as the holding lasts. */
    isGrantable: boolean;
}

interface IndexedHolding {
    tracked: TrackedHolding;
    service: string;
    slot: number;
}

/** Tracks slot holders according to confirmed rounds, and which of them can be granted their slots. */
export interface GrantTracker {
    /**
     * Applies a confirmed round. Ignores a round older than the last one applied, and a round whose log offset is not
     * that of the last change in the state.
     */
    applyRound: (round: confirmation.ConfirmedRound, state: ledger.LogState, durationMilliseconds: number) => void;
    /** Start of the last applied round. Leases on the confirmed holdings run from this instant. */
    confirmedAt: () => number | undefined;
    /** Records that a server has released a slot that it held under a token. */
    recordRelease: (released: GrantedSlot) => void;
    /** Returns the slots that can be granted to a server now. */
    grantableSlots: (server: ledger.ServerIdentifier, now: number) => GrantedSlot[];
    /** Returns the slots that a server may still hold although they are now assigned to another server. */
    slotsToRelease: (server: ledger.ServerIdentifier) => GrantedSlot[];
    /** Returns the confirmed number of slots of a service, or 0 if the service is unknown. */
    slotCount: (service: string) => number;
    /** Returns the holder of a slot and whether the slot can be granted to it. */
    holder: (service: string, slot: number, now: number) => (ledger.SlotHolder & { isGrantable: boolean; }) | undefined;
}

const maxRecordedReleases = 65_536;

const releaseKey = (released: GrantedSlot): string => `${released.service}/${released.slot}/${released.token}`;

/**
 * Creates a grant tracker.
 *
 * @returns a tracker without holdings
 */
export const createGrantTracker = (): GrantTracker => {
    const services = new Map<string, (TrackedHolding | undefined)[]>();
    const byHolder = new Map<ledger.ServerIdentifier, IndexedHolding[]>();
    const byPreviousHolder = new Map<ledger.ServerIdentifier, IndexedHolding[]>();
    const releases = new Set<string>();
    let lastTables: readonly ledger.ServiceTable[] | undefined;
    let lastServers: ledger.LogState["servers"] | undefined;
    let lastExpiredSessions = "";
    let confirmedAt: number | undefined;
    let waitMilliseconds = lease.leaseExpiryWaitMilliseconds(0);

    const isReleased = (service: string, slot: number, holding: ledger.SlotHolder): boolean =>
        releases.has(releaseKey({ service, slot, token: holding.token }));

    const track = (
        existing: TrackedHolding | undefined,
        entry: ledger.SlotEntry,
        holding: ledger.SlotHolder | undefined,
        now: number,
        isPreviousActive: boolean,
    ): TrackedHolding | undefined => {
        if (holding === undefined) {
            return undefined;
        }
        const isSame = existing?.holder === holding.holder && existing.token === holding.token;
        if (isSame) {
            return existing;
        }
        // A release by the previous owner counts only for the owner in the log, not for a successor, which replaces a
        // lost owner that releases nothing. It counts only while the session of the previous owner is active, since
        // otherwise the successor of the previous owner may hold the slot.
        const previous = holding.holder === entry.owner && isPreviousActive ? entry.previous : undefined;
        return { ...holding, firstConfirmedAt: now, isGrantable: false, previous };
    };

    const updateGrantable = (tracked: TrackedHolding, service: string, slot: number, now: number): boolean => {
        if (!tracked.isGrantable) {
            const isPreviousReleased = tracked.previous !== undefined && isReleased(service, slot, tracked.previous);
            tracked.isGrantable = isPreviousReleased || now >= tracked.firstConfirmedAt + waitMilliseconds;
        }
        return tracked.isGrantable;
    };

    const applyTable = (table: ledger.ServiceTable, now: number, isEnded: (identifier: string) => boolean): void => {
        const previousHoldings = services.get(table.service) ?? [];
        services.set(
            table.service,
            table.slots.map((entry, slot) => {
                const isPreviousActive = entry.previous !== undefined && !isEnded(entry.previous.holder);
                return track(
                    previousHoldings[slot],
                    entry,
                    ledger.findSlotHolder(entry, isEnded),
                    now,
                    isPreviousActive,
                );
            }),
        );
    };

    const addToIndex = (
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
        byPreviousHolder.clear();
        for (const [service, holdings] of services) {
            holdings.forEach((tracked, slot) => {
                if (tracked === undefined) {
                    return;
                }
                const entry = { tracked, service, slot };
                addToIndex(byHolder, tracked.holder, entry);
                const previous = tracked.previous?.holder;
                if (previous !== undefined && previous !== tracked.holder) {
                    addToIndex(byPreviousHolder, previous, entry);
                }
            });
        }
    };

    return {
        applyRound: (round, state, durationMilliseconds) => {
            const isOlder = confirmedAt !== undefined && round.beganAt < confirmedAt;
            if (isOlder || state.changedAt !== round.knowledge.offset) {
                return;
            }
            confirmedAt = round.beganAt;
            waitMilliseconds = lease.leaseExpiryWaitMilliseconds(durationMilliseconds);
            const expiredSessions = round.knowledge.lapses.join();
            if (
                state.tables === lastTables && state.servers === lastServers && expiredSessions === lastExpiredSessions
            ) {
                return;
            }
            lastTables = state.tables;
            lastServers = state.servers;
            lastExpiredSessions = expiredSessions;
            const isEndedInLog = ledger.createEndedSessionPredicate(state.servers);
            const isEnded = (identifier: string): boolean =>
                round.knowledge.lapses.includes(identifier) || isEndedInLog(identifier);
            state.tables.forEach(table => applyTable(table, round.completedAt, isEnded));
            indexHolders();
        },
        confirmedAt: () => confirmedAt,
        recordRelease: released => {
            if (releases.size >= maxRecordedReleases) {
                releases.clear();
            }
            releases.add(releaseKey(released));
        },
        grantableSlots: (server, now) => {
            const held = byHolder.get(server) ?? [];
            return held
                .filter(({ tracked, service, slot }) => updateGrantable(tracked, service, slot, now))
                .map(({ tracked, service, slot }) => ({ service, slot, token: tracked.token }));
        },
        slotsToRelease: server => {
            const previouslyHeld = byPreviousHolder.get(server) ?? [];
            return previouslyHeld
                .filter(({ tracked }) => !tracked.isGrantable)
                .map(({ tracked, service, slot }) => ({ service, slot, token: tracked.previous?.token ?? -1 }));
        },
        slotCount: service => services.get(service)?.length ?? 0,
        holder: (service, slot, now) => {
            const tracked = services.get(service)?.[slot];
            if (tracked === undefined) {
                return undefined;
            }
            const isGrantable = updateGrantable(tracked, service, slot, now);
            return { holder: tracked.holder, token: tracked.token, isGrantable };
        },
    };
};
