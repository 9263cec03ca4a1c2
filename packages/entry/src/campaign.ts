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

/** Returns what is assumed of the previous leader if records cannot be read: it may have led until now and granted the longest leases. */
const assumePreviousLeader = (maxLeaseMilliseconds: number, now: number): assignment.PreviousLeader => ({
    record: {
        identifier: "",
        host: "",
        port: 0,
        term: 0,
        beat: 0,
        isResigned: false,
        longestLeaseMilliseconds: maxLeaseMilliseconds,
        previousCommandsMilliseconds: 0,
        previousLeasesMilliseconds: 0,
    },
    recordSeenAt: now,
    terminatedBy: undefined,
});

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
    // A leader record with the address of this instance was written by an earlier process of it. A refused connection proves
    // nothing: the path may be cut. Neither does the response that a process does not lead: it may learn later that it has won.
    const hasTerminated = assignment.isSameAddress(stored.leader, options);
    const isUnknown = stored.leader === undefined && stored.unreadableKeys.size > 0;
    const previousLeader = isUnknown ? assumePreviousLeader(maxLeaseMilliseconds, timers.now()) : {
        record: stored.leader,
        recordSeenAt: watch.unchangedSince(),
        terminatedBy: hasTerminated ? timers.now() : undefined,
    };
    const previousLeaders = assignment.previousLeaderTimes(previousLeader, maxLeaseMilliseconds);
    const record: assignment.LeaderRecord = {
        identifier,
        host,
        port,
        term: (stored.leader?.term ?? 0) + 1,
        beat: 0,
        isResigned: false,
        longestLeaseMilliseconds: maxLeaseMilliseconds,
        ...assignment.passOnPreviousLeaders(previousLeaders, timers.now()),
    };
    const confirmation = { sentAt: timers.now(), wallClock: timers.wallClock() };
    const response = await options.store.append(platform.Topic.ownership, stored.end, [
        { key: assignment.leaderKey, value: assignment.encodeLeader(record) },
    ]);
    if (response.result !== platform.AppendResult.appended) {
        log.write("campaign-failed", { term: record.term, result: response.result, reason: response.reason });
        await options.readSnapshot();
        // An append without a response may still have taken effect.
        if (watch.snapshot()?.leader?.identifier !== identifier) {
            return undefined;
        }
    }
    const snapshot = { ...(watch.snapshot() ?? stored), leader: record };
    snapshot.end = response.result === platform.AppendResult.appended ? response.end : snapshot.end;
    log.write("leadership-won", { term: record.term, before: stored.leader?.identifier, end: snapshot.end });
    return { record, snapshot, previousLeaders, confirmation };
};
