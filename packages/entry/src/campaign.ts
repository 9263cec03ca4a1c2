/** Competes for the leadership by a conditional append to the ownership topic. */
import * as assignment from "@mulberryseam/assignment";
import type * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import type * as ownershipReader from "./ownershipReader";
import type * as ownershipWatch from "./ownershipWatch";

/** The instance that campaigns, and what it knows. */
export interface CampaignOptions {
    store: platform.StoreClient;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    watch: ownershipWatch.OwnershipWatch;
    /** Reads the ownership topic again; rejects if the store does not respond. */
    readSnapshot: () => Promise<void>;
    /** Identifies this process of the instance. */
    identifier: string;
    host: string;
    port: number;
    maxLeaseMilliseconds: number;
    /** The highest term that this instance knows of; records of it may be lost. */
    latestTerm: () => number;
    /** Whether operators and upstreams have had the time to write again what was lost before the era. */
    areTopicsSettled: () => boolean;
}

/** When the append that the store confirmed was sent, on both clocks: the process may have been suspended since. */
export interface LeadershipConfirmation {
    sentAt: number;
    wallClock: number;
}

/** What a leader starts with. */
export interface WonCampaign {
    /** The first record of its term. */
    record: assignment.LeaderRecord;
    snapshot: ownershipReader.OwnershipSnapshot;
    previousLeaders: assignment.PreviousLeaderTimes;
    confirmation: LeadershipConfirmation;
}

/** Returns what is assumed of the previous leader if its record cannot be read or is lost: it may have granted the longest leases. */
const assumePreviousLeader = (
    maxLeaseMilliseconds: number,
    recordSeenAt: number,
    areAssignmentsUncertain: boolean,
): assignment.PreviousLeader => ({
    record: {
        identifier: "",
        host: "",
        port: 0,
        term: 0,
        era: undefined,
        beat: 0,
        isResigned: false,
        longestLeaseMilliseconds: maxLeaseMilliseconds,
        previousCommandsMilliseconds: 0,
        previousLeasesMilliseconds: 0,
        unknownLeasesMilliseconds: 0,
        isSettled: false,
    },
    recordSeenAt,
    terminatedBy: undefined,
    areAssignmentsUncertain,
});

/** Returns what is known or assumed of the previous leader. */
const describePreviousLeader = (
    { watch, timers, maxLeaseMilliseconds, ...instance }: CampaignOptions,
    stored: ownershipReader.OwnershipSnapshot,
): assignment.PreviousLeader => {
    if (watch.isLeaderUncertain()) {
        return assumePreviousLeader(maxLeaseMilliseconds, watch.unchangedSince(), true);
    }
    if (stored.leader === undefined && stored.unreadableKeys.size > 0) {
        return assumePreviousLeader(maxLeaseMilliseconds, timers.now(), false);
    }
    // A leader record with the address of this instance was written by an earlier process of it. A refused connection proves
    // nothing: the path may be cut. Neither does the response that a process does not lead: it may learn later that it has won.
    const hasTerminated = assignment.isSameAddress(stored.leader, instance);
    return {
        record: stored.leader,
        recordSeenAt: watch.unchangedSince(),
        terminatedBy: hasTerminated ? timers.now() : undefined,
        areAssignmentsUncertain: false,
    };
};

/**
 * Appends a leader record of this instance, unless another record was appended after the topic was read.
 *
 * @param options - the instance and the store
 * @param stored - the topic as last read
 * @returns what the leader starts with, or undefined if this instance does not lead
 */
export const campaign = async (
    options: CampaignOptions,
    stored: ownershipReader.OwnershipSnapshot,
): Promise<WonCampaign | undefined> => {
    const { watch, timers, log, identifier, host, port, maxLeaseMilliseconds } = options;
    const previousLeader = describePreviousLeader(options, stored);
    const previousLeaders = assignment.previousLeaderTimes(previousLeader, maxLeaseMilliseconds);
    const record: assignment.LeaderRecord = {
        identifier,
        host,
        port,
        term: Math.max(stored.leader?.term ?? 0, options.latestTerm()) + 1,
        era: stored.end.era,
        beat: 0,
        isResigned: false,
        longestLeaseMilliseconds: maxLeaseMilliseconds,
        isSettled: options.areTopicsSettled(),
        ...assignment.passOnPreviousLeaders(previousLeaders, timers.now()),
    };
    const confirmation = { sentAt: timers.now(), wallClock: timers.wallClock() };
    const response = await options.store.append(platform.Topic.ownership, stored.end, [
        { key: assignment.leaderKey, value: assignment.encodeLeader(record) },
    ]);
    if (response.result !== platform.AppendResult.appended) {
        log.write("campaign-failed", { term: record.term, result: response.result, reason: response.reason });
        await options.readSnapshot();
        // An append without a response may still have taken effect. The store may also contain an older record of this process.
        const { leader } = watch.snapshot() ?? stored;
        const isWon = leader?.identifier === identifier && leader.term === record.term && leader.era === record.era;
        if (!isWon || watch.snapshot()?.isLeaderOutdated !== false) {
            return undefined;
        }
    }
    const snapshot = { ...(watch.snapshot() ?? stored), leader: record, isLeaderOutdated: false };
    snapshot.end = response.result === platform.AppendResult.appended ? response.end : snapshot.end;
    log.write("leadership-won", {
        term: record.term,
        before: stored.leader?.identifier,
        era: snapshot.end.era,
        end: snapshot.end.offset,
        unknownLeases: record.unknownLeasesMilliseconds > 0 ? Math.round(record.unknownLeasesMilliseconds) : undefined,
    });
    return { record, snapshot, previousLeaders, confirmation };
};
