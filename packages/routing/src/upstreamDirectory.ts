/** Upstreams that are known, with those kept whose entry lapsed only because the store was away. */
import * as documents from "./document";

/** What the registry says of an upstream. */
export interface DirectoryEntry {
    upstream: documents.Upstream;
    /** Time at which this life of it was first seen, on the clock of the instance. */
    firstSeenAt: number;
    /** Time at which it was first seen draining or missing; undefined while it is ready. */
    leavingSince: number | undefined;
}

/** The upstreams of a site. */
export interface UpstreamDirectory {
    /** The registry has a new entry of an upstream. */
    onEntry: (upstream: documents.Upstream, now: number) => void;
    /** The registry has no entry of an upstream any more. */
    onRemoval: (identifier: string, now: number) => void;
    /** Calls to the store have failed. */
    onContactLost: (now: number) => void;
    /** A call to the store has succeeded. */
    onContact: (now: number) => void;
    /** Forgets entries whose time has come. */
    expire: (now: number) => void;
    /** Entries of a service, those that leave too. */
    ofService: (service: string) => readonly DirectoryEntry[];
    find: (identifier: string) => DirectoryEntry | undefined;
    all: () => Iterable<DirectoryEntry>;
    /**
     * Lives that are surely over, so that orders to them reach nobody: another upstream has their address, or they run
     * again at another one. A life that was followed by another under the same name at the same address is not among
     * them, because orders to it reach the next one. Given once.
     */
    takeEnded: () => documents.Upstream[];
}

/** Time after the store's return in which entries that lapsed come back, in milliseconds. */
const returnMilliseconds = 2200;
/** Time in which an upstream whose entry is gone still serves what cannot go elsewhere, in milliseconds. */
const leavingMilliseconds = 1500;

/**
 * Creates an empty directory.
 *
 * @returns the directory
 */
export const createUpstreamDirectory = (): UpstreamDirectory => {
    const entries = new Map<string, DirectoryEntry>();
    const byService = new Map<string, DirectoryEntry[]>();
    /** Identifiers whose removal waits for the store's return, with the time at which they are gone. */
    const lapsed = new Map<string, number>();
    /** Identifiers without an entry, with the time at which they are forgotten. */
    const leaving = new Map<string, number>();
    let ended: documents.Upstream[] = [];
    let isAway = false;
    let returnedAt = -Infinity;

    const index = (): void => {
        byService.clear();
        for (const entry of entries.values()) {
            const list = byService.get(entry.upstream.service) ?? [];
            list.push(entry);
            byService.set(entry.upstream.service, list);
        }
    };
    const remove = (identifier: string): void => {
        entries.delete(identifier);
        lapsed.delete(identifier);
        leaving.delete(identifier);
        index();
    };
    const leave = (identifier: string, now: number): void => {
        const entry = entries.get(identifier);
        if (entry !== undefined && !leaving.has(identifier)) {
            entries.set(identifier, { ...entry, leavingSince: entry.leavingSince ?? now });
            leaving.set(identifier, now + leavingMilliseconds);
            index();
        }
    };
    /** An entry may be written late, after another life has begun under its name or at its address. */
    const isOutdated = (upstream: documents.Upstream): boolean =>
        upstream.startedAt !== 0
        && [...entries.values()].some(({ upstream: other }) => {
            const isSamePlace = other.identifier === upstream.identifier
                || (other.host === upstream.host && other.port === upstream.port);
            return isSamePlace && other.startedAt > upstream.startedAt;
        });
    const endOthersAt = (upstream: documents.Upstream): void => {
        for (const { upstream: other } of [...entries.values()]) {
            const hasAddress = other.host === upstream.host && other.port === upstream.port;
            if (hasAddress && other.identifier !== upstream.identifier) {
                ended.push(other);
                remove(other.identifier);
            }
        }
    };
    return {
        onEntry: (upstream, now) => {
            if (isOutdated(upstream)) {
                return;
            }
            const known = entries.get(upstream.identifier);
            lapsed.delete(upstream.identifier);
            leaving.delete(upstream.identifier);
            const isSameLife = known !== undefined && known.upstream.startedAt === upstream.startedAt;
            const hasMoved = known !== undefined
                && (known.upstream.host !== upstream.host || known.upstream.port !== upstream.port);
            if (hasMoved && !isSameLife) {
                ended.push(known.upstream);
            }
            if (!isSameLife) {
                endOthersAt(upstream);
            }
            entries.set(upstream.identifier, {
                upstream,
                firstSeenAt: isSameLife ? known.firstSeenAt : now,
                leavingSince: upstream.isDraining ? (isSameLife ? known.leavingSince : undefined) ?? now : undefined,
            });
            index();
        },
        onRemoval: (identifier, now) => {
            if (!entries.has(identifier)) {
                return;
            }
            if (isAway || now - returnedAt < returnMilliseconds) {
                lapsed.set(identifier, Math.max(now, returnedAt) + returnMilliseconds);
                return;
            }
            leave(identifier, now);
        },
        onContactLost: () => {
            isAway = true;
        },
        onContact: now => {
            if (isAway) {
                isAway = false;
                returnedAt = now;
                [...lapsed.keys()].forEach(identifier => lapsed.set(identifier, now + returnMilliseconds));
            }
        },
        expire: now => {
            for (const [identifier, goneAt] of lapsed) {
                if (!isAway && now >= goneAt) {
                    lapsed.delete(identifier);
                    leave(identifier, now);
                }
            }
            for (const [identifier, goneAt] of leaving) {
                if (now >= goneAt) {
                    remove(identifier);
                }
            }
        },
        ofService: service => byService.get(service) ?? [],
        find: identifier => entries.get(identifier),
        all: () => entries.values(),
        takeEnded: () => {
            const taken = ended;
            ended = [];
            return taken;
        },
    };
};
