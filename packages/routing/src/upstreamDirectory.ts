/**
 * Tracks registered upstreams, and keeps those whose entries expired only because the store was unreachable. Of several upstreams
 * that are registered at one address, only the one that started last is used. The registry proves no end of a process: an upstream
 * that is not used runs on if the other entry is wrong, and is used again once that entry is gone.
 */
import * as documents from "./document";

/** A registered upstream and when its state was first observed. */
export interface DirectoryEntry {
    upstream: documents.Upstream;
    /** Time at which this incarnation was first observed, on the clock of the instance. */
    firstSeenAt: number;
    /** Time at which it was first observed draining, leaving or missing; undefined while it is ready. */
    leavingSince: number | undefined;
}

/** An incarnation of an upstream. */
export type Incarnation = Pick<documents.Upstream, "identifier" | "startedAt">;

/** An incarnation that has announced that it is leaving, and when this became known. */
export interface LeavingIncarnation extends Incarnation {
    since: number;
}

/** The registered upstreams of a site. Entries that are not used because of a later one at their address are not returned. */
export interface UpstreamDirectory {
    /** Adds or updates the entry of an upstream. */
    onEntry: (upstream: documents.Upstream, now: number) => void;
    /** Handles the removal of an upstream's entry from the registry. */
    onRemoval: (identifier: string, now: number) => void;
    /**
     * Records that an incarnation has announced that it is leaving. Registry entries that still say that it is ready do not change
     * this. Returns false if it was known, or if a later incarnation is registered.
     */
    onLeavingAnnounced: (incarnation: Incarnation, now: number) => boolean;
    /** Returns the registered incarnations that have announced that they are leaving. */
    announcedLeaving: () => LeavingIncarnation[];
    /** Records that a call to the store has failed. */
    onStoreUnreachable: (now: number) => void;
    /** Records that a call to the store has succeeded. */
    onStoreReachable: (now: number) => void;
    isStoreReachable: () => boolean;
    /** Processes delayed removals and removes upstreams whose retention has ended. */
    expire: (now: number) => void;
    /** Returns the entries of a service, including leaving upstreams. */
    findByService: (service: string) => readonly DirectoryEntry[];
    find: (identifier: string) => DirectoryEntry | undefined;
    all: () => Iterable<DirectoryEntry>;
}

/** Time after the store's recovery in which upstreams renew expired entries, in milliseconds. */
export const reregistrationMilliseconds = 2200;
/** Time in which an upstream without an entry still serves requests that no other upstream can, in milliseconds. */
const leavingRetentionMilliseconds = 1500;
/** Time for which the announcement of an incarnation without an entry is kept: a store may put back an old entry. */
const announcementRetentionMilliseconds = 600_000;

const addressOf = ({ host, port }: documents.Upstream): string => `${host}:${port}`;

/**
 * Creates an upstream directory.
 *
 * @returns an empty directory
 */
export const createUpstreamDirectory = (): UpstreamDirectory => {
    const entries = new Map<string, DirectoryEntry>();
    /** The entries without those that a later one at the same address replaces. */
    const usedEntries = new Map<string, DirectoryEntry>();
    const entriesByService = new Map<string, DirectoryEntry[]>();
    /** Removal times, by identifier, of entries that may be renewed after the store's recovery. */
    const pendingRemovals = new Map<string, number>();
    /** Times, by identifier, at which upstreams without a registry entry are removed. */
    const leavingDeadlines = new Map<string, number>();
    /** Announcements of incarnations that are leaving, by identifier. */
    const announcements = new Map<string, LeavingIncarnation>();
    let isStoreUnreachable = false;
    let storeRecoveredAt = -Infinity;

    const rebuildIndexes = (): void => {
        const latestStarts = new Map<string, number>();
        for (const { upstream } of entries.values()) {
            const { identifier, startedAt } = upstream;
            if (!leavingDeadlines.has(identifier)) {
                const address = addressOf(upstream);
                latestStarts.set(address, Math.max(latestStarts.get(address) ?? startedAt, startedAt));
            }
        }
        usedEntries.clear();
        entriesByService.clear();
        for (const [identifier, entry] of entries) {
            const latestStart = latestStarts.get(addressOf(entry.upstream));
            if (latestStart !== undefined && latestStart > entry.upstream.startedAt) {
                continue;
            }
            usedEntries.set(identifier, entry);
            const serviceEntries = entriesByService.get(entry.upstream.service) ?? [];
            serviceEntries.push(entry);
            entriesByService.set(entry.upstream.service, serviceEntries);
        }
    };
    const announcementOf = ({ identifier, startedAt }: Incarnation): LeavingIncarnation | undefined => {
        const announcement = announcements.get(identifier);
        return announcement?.startedAt === startedAt ? announcement : undefined;
    };
    const remove = (identifier: string): void => {
        entries.delete(identifier);
        pendingRemovals.delete(identifier);
        leavingDeadlines.delete(identifier);
        rebuildIndexes();
    };
    const markLeaving = (identifier: string, now: number): void => {
        const entry = entries.get(identifier);
        if (entry !== undefined && !leavingDeadlines.has(identifier)) {
            entries.set(identifier, { ...entry, leavingSince: entry.leavingSince ?? now });
            leavingDeadlines.set(identifier, now + leavingRetentionMilliseconds);
            rebuildIndexes();
        }
    };
    return {
        onEntry: (upstream, now) => {
            const existing = entries.get(upstream.identifier);
            if (existing !== undefined && existing.upstream.startedAt > upstream.startedAt) {
                // Written late, after a later incarnation had started.
                return;
            }
            pendingRemovals.delete(upstream.identifier);
            leavingDeadlines.delete(upstream.identifier);
            const isSameIncarnation = existing !== undefined && existing.upstream.startedAt === upstream.startedAt;
            const announcement = announcementOf(upstream);
            entries.set(upstream.identifier, {
                upstream,
                firstSeenAt: isSameIncarnation ? existing.firstSeenAt : now,
                leavingSince: upstream.isDraining || announcement !== undefined
                    ? (isSameIncarnation ? existing.leavingSince : undefined) ?? announcement?.since ?? now
                    : undefined,
            });
            rebuildIndexes();
        },
        onRemoval: (identifier, now) => {
            if (!entries.has(identifier)) {
                return;
            }
            if (isStoreUnreachable || now - storeRecoveredAt < reregistrationMilliseconds) {
                pendingRemovals.set(identifier, Math.max(now, storeRecoveredAt) + reregistrationMilliseconds);
                return;
            }
            markLeaving(identifier, now);
        },
        onLeavingAnnounced: (incarnation, now) => {
            const { identifier, startedAt } = incarnation;
            const entry = entries.get(identifier);
            const newestStartedAt = Math.max(
                entry?.upstream.startedAt ?? -Infinity,
                announcements.get(identifier)?.startedAt ?? -Infinity,
            );
            if (announcementOf(incarnation) !== undefined || newestStartedAt > startedAt) {
                return false;
            }
            announcements.set(identifier, { identifier, startedAt, since: now });
            if (entry?.upstream.startedAt === startedAt) {
                entries.set(identifier, { ...entry, leavingSince: entry.leavingSince ?? now });
                rebuildIndexes();
            }
            return true;
        },
        announcedLeaving: () =>
            [...announcements.values()].filter(({ identifier, startedAt }) =>
                entries.get(identifier)?.upstream.startedAt === startedAt
            ),
        onStoreUnreachable: () => {
            isStoreUnreachable = true;
        },
        onStoreReachable: now => {
            if (isStoreUnreachable) {
                isStoreUnreachable = false;
                storeRecoveredAt = now;
                [...pendingRemovals.keys()].forEach(identifier =>
                    pendingRemovals.set(identifier, now + reregistrationMilliseconds)
                );
            }
        },
        isStoreReachable: () => !isStoreUnreachable,
        expire: now => {
            for (const [identifier, { since }] of announcements) {
                if (!entries.has(identifier) && now - since >= announcementRetentionMilliseconds) {
                    announcements.delete(identifier);
                }
            }
            for (const [identifier, deadline] of pendingRemovals) {
                if (!isStoreUnreachable && now >= deadline) {
                    pendingRemovals.delete(identifier);
                    markLeaving(identifier, now);
                }
            }
            for (const [identifier, deadline] of leavingDeadlines) {
                if (now >= deadline) {
                    remove(identifier);
                }
            }
        },
        findByService: service => entriesByService.get(service) ?? [],
        find: identifier => usedEntries.get(identifier),
        all: () => usedEntries.values(),
    };
};

/**
 * Finds a registered incarnation of an upstream.
 *
 * @param directory - the registered upstreams
 * @param incarnation - the incarnation
 * @returns the upstream, or undefined if another incarnation or none is registered
 */
export const findIncarnation = (
    directory: Pick<UpstreamDirectory, "find">,
    { identifier, startedAt }: Incarnation,
): documents.Upstream | undefined => {
    const upstream = directory.find(identifier)?.upstream;
    return upstream?.startedAt === startedAt ? upstream : undefined;
};
