/** What an instance that does not lead knows of the ownership topic, and since when. */
import * as assignment from "@mulberryseam/assignment";
import type * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as ownershipReader from "./ownershipReader";

/** Dependencies of an ownership watch. */
export interface OwnershipWatchOptions {
    store: platform.StoreClient;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    /** Returns when the store confirmed a leader record, as reported by the leader; undefined if unknown. */
    confirmationTimeOf: (record: assignment.LeaderRecord) => number | undefined;
    /** Whether the site starts for the first time, so that no leader record can have been lost. */
    isFirstStart: boolean;
}

/** Newest known content of the ownership topic; times are on the clock of the instance. */
export interface OwnershipWatch {
    /** Reads the topic; rejects if the store does not respond. */
    read: () => Promise<ownershipReader.OwnershipSnapshot>;
    /** Returns the newest content; undefined before the first read and after {@link OwnershipWatch.forget}. */
    snapshot: () => ownershipReader.OwnershipSnapshot | undefined;
    /** Makes the next read due at once. */
    expire: () => void;
    /** Forgets the content, which is known to be outdated. */
    forget: () => void;
    /** Returns what the next step towards leadership depends on. */
    leadershipState: () => Pick<
        assignment.LeadershipInput,
        "leader" | "hasRead" | "lastReadAt" | "unchangedSince" | "isLeaderUncertain"
    >;
    lastSuccessfulReadAt: () => number;
    /** Time by which the leader record was stored, or by which the store had returned from an older copy. */
    unchangedSince: () => number;
    /** Whether another instance than the leader record says may have led before the store returned from an older copy. */
    isLeaderUncertain: () => boolean;
    /** Whether what was lost before an era has been written again by now, as far as the leader record tells. */
    isEraEstablished: (era: number) => boolean;
    /** Shortest time that a read took, in milliseconds; undefined before the first one. */
    storeRoundTripMilliseconds: () => number | undefined;
}

/**
 * Creates a watch that has read nothing.
 *
 * @param options - the store, the clock and what the leader reports
 * @returns the watch
 */
export const createOwnershipWatch = (options: OwnershipWatchOptions): OwnershipWatch => {
    const { store, timers, log } = options;
    let snapshot: ownershipReader.OwnershipSnapshot | undefined;
    let unchangedSince = timers.now();
    /** Start of the latest read; -Infinity if a read is due at once. */
    let lastReadAt = -Infinity;
    let lastSuccessfulReadAt = timers.now();
    let storeRoundTripMilliseconds: number | undefined;
    let latestEra: number | undefined;
    let hasReturned = false;
    const isLeaderUncertain = (): boolean => {
        if (snapshot === undefined) {
            return false;
        }
        const mayBeLost = hasReturned || !options.isFirstStart;
        const isMissing = snapshot.leader === undefined && !snapshot.unreadableKeys.has(assignment.leaderKey);
        return snapshot.isLeaderOutdated || (isMissing && mayBeLost);
    };
    return {
        read: async () => {
            const startedAt = timers.now();
            lastReadAt = startedAt;
            const latest = await ownershipReader.readOwnership(store, log);
            lastSuccessfulReadAt = timers.now();
            storeRoundTripMilliseconds = Math.min(storeRoundTripMilliseconds ?? Infinity, timers.now() - startedAt);
            const isNewEra = latestEra !== undefined && latest.end.era !== latestEra;
            const endedAt = timers.now();
            // What was known of the leader says nothing about one that led before the return.
            unchangedSince = isNewEra ? endedAt : assignment.recordStoredBy(
                { leader: snapshot?.leader, storedBy: unchangedSince },
                {
                    leader: latest.leader,
                    endedAt,
                    confirmedAt: latest.leader === undefined ? undefined : options.confirmationTimeOf(latest.leader),
                },
            );
            hasReturned ||= isNewEra;
            latestEra = latest.end.era;
            snapshot = latest;
            return latest;
        },
        snapshot: () => snapshot,
        expire: () => {
            lastReadAt = -Infinity;
        },
        forget: () => {
            snapshot = undefined;
        },
        leadershipState: () => ({
            leader: snapshot?.leader,
            hasRead: snapshot !== undefined,
            lastReadAt,
            unchangedSince,
            isLeaderUncertain: isLeaderUncertain(),
        }),
        lastSuccessfulReadAt: () => lastSuccessfulReadAt,
        unchangedSince: () => unchangedSince,
        isEraEstablished: era =>
            snapshot?.end.era === era && !isLeaderUncertain() && (snapshot.leader?.isSettled ?? true),
        isLeaderUncertain,
        storeRoundTripMilliseconds: () => storeRoundTripMilliseconds,
    };
};
