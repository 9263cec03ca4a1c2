/**
 * What a server that takes fenced grants does with them. Each slot has a token and an instant on the server's own
 * clock at which its grant ends. A message can extend only what it names, only up to the instant it carries, and
 * nothing that was given up or fenced by a higher token.
 */

/** A slot under a token. */
export interface TableSlot {
    service: string;
    slot: number;
    token: number;
}

/** A message of grants, as instances send it. */
export interface GrantMessage {
    incarnation?: string;
    /** Instant on the server's clock, in milliseconds. */
    expiresAt?: number;
    slots: readonly TableSlot[];
    release: readonly TableSlot[];
}

/** The answer to a message of grants. */
export interface GrantReply {
    incarnation: string;
    clock: number;
    isDraining: boolean;
    released: readonly TableSlot[];
}

/** A change of what the server owns, for judging overlaps. */
export interface OwnershipEvent {
    service: string;
    slot: number;
    token: number;
    /** Instant from which, or to which, the server owns the slot. */
    from: number;
    until: number;
}

/** The grants of one server. */
export interface GrantTable {
    take: (message: GrantMessage, now: number) => GrantReply;
    /** Tells whether a request under a token may run now. */
    owns: (slot: TableSlot, now: number) => boolean;
    /** Times of ownership so far, one entry a slot and token. */
    history: () => OwnershipEvent[];
    ownedCount: (now: number) => number;
}

interface HeldSlot extends TableSlot {
    from: number;
    until: number;
}

/**
 * Creates the grants of a server.
 *
 * @param incarnation - identifies this run of the server; grants for another run are refused
 * @param isDraining - tells whether the server wants to leave
 * @returns a table without grants
 */
export const createGrantTable = (incarnation: string, isDraining: () => boolean): GrantTable => {
    const held = new Map<string, HeldSlot>();
    const fences = new Map<string, number>();
    const ended: OwnershipEvent[] = [];
    const nameOf = (slot: TableSlot): string => `${slot.service}/${slot.slot}`;

    const grant = (slot: TableSlot, expiresAt: number, now: number): void => {
        const name = nameOf(slot);
        const current = held.get(name);
        const isStale = slot.token <= (fences.get(name) ?? -1) || slot.token < (current?.token ?? -1);
        if (isStale || expiresAt <= now) {
            return;
        }
        const isContinued = current?.token === slot.token && current.until >= now;
        if (isContinued) {
            current.until = Math.max(current.until, expiresAt);
            return;
        }
        if (current !== undefined) {
            ended.push({ ...current, until: Math.min(current.until, now) });
        }
        held.set(name, { ...slot, from: now, until: expiresAt });
    };

    const release = (slot: TableSlot, now: number): boolean => {
        const name = nameOf(slot);
        const current = held.get(name);
        const wasHeld = current !== undefined && current.token === slot.token;
        fences.set(name, Math.max(fences.get(name) ?? -1, slot.token));
        if (wasHeld) {
            ended.push({ ...current, until: Math.min(current.until, now) });
            held.delete(name);
        }
        return wasHeld;
    };

    return {
        take: (message, now) => {
            const isForUs = message.incarnation === incarnation;
            const released = isForUs ? message.release.filter(slot => release(slot, now)) : [];
            if (isForUs && message.expiresAt !== undefined) {
                const expiresAt = message.expiresAt;
                message.slots.forEach(slot => grant(slot, expiresAt, now));
            }
            return { incarnation, clock: now, isDraining: isDraining(), released };
        },
        owns: (slot, now) => {
            const current = held.get(nameOf(slot));
            return current !== undefined && current.token === slot.token && now < current.until;
        },
        history: () =>
            [...ended, ...held.values()].map(({ service, slot, token, from, until }) => ({
                service,
                slot,
                token,
                from,
                until,
            })),
        ownedCount: now => [...held.values()].filter(slot => now < slot.until).length,
    };
};
