/**
 * The grants that a server holds. A grant has a fencing token and an expiry time on the server's own clock. A message
 * affects only the slots it names and extends a grant at most to the expiry time it carries. It never revives a
 * released grant or one with a lower token than the current one.
 */

/** A slot of a keyed service with a fencing token. */
export interface FencedSlot {
    service: string;
    slot: number;
    token: number;
}

/** A message with grants and releases, as sent by instances. */
export interface GrantMessage {
    incarnation?: string;
    /** Expiry time of the grants on the server's clock, in milliseconds; undefined in a message without grants. */
    expiresAt?: number;
    slots: readonly FencedSlot[];
    release: readonly FencedSlot[];
}

/** The response to a message with grants and releases. */
export interface GrantResponse {
    incarnation: string;
    /** Current time on the server's clock, in milliseconds. */
    clock: number;
    isDraining: boolean;
    /** Slots that this message released. */
    released: readonly FencedSlot[];
}

/** A time interval in which the server owned a slot. Tests check that intervals of different servers do not overlap. */
export interface OwnershipInterval {
    service: string;
    slot: number;
    token: number;
    /** Start of the ownership on the server's clock, in milliseconds. */
    from: number;
    /** End of the ownership or, while it lasts, expiry time of the grant. */
    until: number;
}

/** The grants of one server. */
export interface GrantTable {
    /** Applies the releases and grants of a message. */
    handleMessage: (message: GrantMessage, now: number) => GrantResponse;
    /** Whether the server holds an unexpired grant for the slot with exactly this token. */
    owns: (slot: FencedSlot, now: number) => boolean;
    /** Returns all ownership intervals so far. */
    history: () => OwnershipInterval[];
    /** Returns the number of slots whose grants have not expired. */
    ownedCount: (now: number) => number;
}

interface HeldSlot extends FencedSlot {
    from: number;
    until: number;
}

/**
 * Creates the grant table of a server.
 *
 * @param incarnation - identifies this process run of the server; messages for another one change nothing
 * @param isDraining - whether the server is draining
 * @returns an empty table
 */
export const createGrantTable = (incarnation: string, isDraining: () => boolean): GrantTable => {
    const heldSlots = new Map<string, HeldSlot>();
    // Highest released token of each slot. Grants with this token or a lower one are stale.
    const fences = new Map<string, number>();
    const endedIntervals: OwnershipInterval[] = [];
    const nameOf = (slot: FencedSlot): string => `${slot.service}/${slot.slot}`;

    const grant = (slot: FencedSlot, expiresAt: number, now: number): void => {
        const name = nameOf(slot);
        const current = heldSlots.get(name);
        const isStale = slot.token <= (fences.get(name) ?? -1) || slot.token < (current?.token ?? -1);
        if (isStale || expiresAt <= now) {
            return;
        }
        const isRenewal = current?.token === slot.token && current.until >= now;
        if (isRenewal) {
            current.until = Math.max(current.until, expiresAt);
            return;
        }
        if (current !== undefined) {
            endedIntervals.push({ ...current, until: Math.min(current.until, now) });
        }
        heldSlots.set(name, { ...slot, from: now, until: expiresAt });
    };

    const release = (slot: FencedSlot, now: number): boolean => {
        const name = nameOf(slot);
        const current = heldSlots.get(name);
        const wasHeld = current !== undefined && current.token === slot.token;
        fences.set(name, Math.max(fences.get(name) ?? -1, slot.token));
        if (wasHeld) {
            endedIntervals.push({ ...current, until: Math.min(current.until, now) });
            heldSlots.delete(name);
        }
        return wasHeld;
    };

    return {
        handleMessage: (message, now) => {
            const isCurrentIncarnation = message.incarnation === incarnation;
            const released = isCurrentIncarnation ? message.release.filter(slot => release(slot, now)) : [];
            if (isCurrentIncarnation && message.expiresAt !== undefined) {
                const expiresAt = message.expiresAt;
                message.slots.forEach(slot => grant(slot, expiresAt, now));
            }
            return { incarnation, clock: now, isDraining: isDraining(), released };
        },
        owns: (slot, now) => {
            const current = heldSlots.get(nameOf(slot));
            return current !== undefined && current.token === slot.token && now < current.until;
        },
        history: () =>
            [...endedIntervals, ...heldSlots.values()].map(({ service, slot, token, from, until }) => ({
                service,
                slot,
                token,
                from,
                until,
            })),
        ownedCount: now => [...heldSlots.values()].filter(slot => now < slot.until).length,
    };
};
