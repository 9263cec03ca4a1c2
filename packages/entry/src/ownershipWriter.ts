/**
 * Writes the leader's records to the ownership topic. An append without a response may still take effect as long as the
 * topic ends at the offset it expects, so no new plan is made until another append of the same leader is acknowledged.
 */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as ownershipReader from "./ownershipReader";

/** Dependencies and initial state of an ownership writer. */
export interface OwnershipWriterOptions {
    store: platform.StoreClient;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    /** The leader record, as appended to the topic. */
    record: assignment.LeaderRecord;
    previousLeaders: () => assignment.PreviousLeaderTimes;
    /** Position at which the next record is appended. */
    end: platform.Position;
    /** Time at which the append of the record was sent. */
    lastAppendAt: number;
    /** Whether operators and upstreams have had the time to write again what was lost before the era. */
    areTopicsSettled: () => boolean;
    /** Called when the response to a call sent at `sentAt` confirms that this instance leads. */
    onLeadershipConfirmed: (sentAt: number) => void;
    /** Called with the content of the topic after a resynchronization; it may differ from the last append. */
    onSnapshot: (snapshot: ownershipReader.OwnershipSnapshot) => void;
    /**
     * Whether no successor of this leader can have changed an assignment: before the store returned from an older copy if it has, else until
     * now.
     */
    isUndisputed: (hasReturned: boolean) => boolean;
    /**
     * Called when the topic contains no record of the era that it is in, and this instance goes on leading. Its last records, and plans
     * that were not confirmed, are lost or belong to another history.
     */
    onRecordsLost: () => void;
    /** Called when the topic shows that this instance no longer leads; `newTerm` is undefined if there is no leader. */
    onSuperseded: (newTerm: number | undefined) => void;
}

/** Writes the records of one leader. */
export interface OwnershipWriter {
    /**
     * Appends the leader record and changed assignments. Resolves to false unless the append is known to have
     * succeeded; the topic must then be read before the next append.
     */
    append: (
        plans: readonly assignment.ServiceAssignment[],
        isResigned: boolean,
        longestLeaseMilliseconds: number,
    ) => Promise<boolean>;
    /** Reads the topic and calls `onSnapshot` or `onSuperseded`; rejects if the store does not respond. */
    resynchronize: () => Promise<void>;
    /** Whether the topic must be read before the next append. */
    needsRead: () => boolean;
    /** Whether an append of plans may still take effect, so that no other plan can be made. */
    hasUnconfirmedPlans: () => boolean;
    lastAppendAt: () => number;
    /** Position at which the next record is appended. */
    end: () => platform.Position;
    /** Era in which this instance leads. */
    era: () => number;
    /** Whether the topic has shown that this instance no longer leads. */
    isSuperseded: () => boolean;
    /** Number of the last leader record that the store has acknowledged. */
    acknowledgedRecordNumber: () => number;
}

/** Time for which a resignation is attempted, in milliseconds: that in which a stopping instance still takes callers. */
const maxResignMilliseconds = 3000;
const resignRetryMilliseconds = 150;

/**
 * Creates an ownership writer.
 *
 * @param options - dependencies and initial state
 * @returns the writer
 */
export const createOwnershipWriter = (options: OwnershipWriterOptions): OwnershipWriter => {
    const { store, timers, log } = options;
    let { record, end, lastAppendAt } = options;
    let acknowledgedRecordNumber = record.beat;
    let needsRead = false;
    let hasUnconfirmedPlans = false;
    let isSuperseded = false;
    return {
        append: async (plans, isResigned, longestLeaseMilliseconds) => {
            const sentAt = timers.now();
            const nextRecord = {
                ...record,
                ...assignment.passOnPreviousLeaders(options.previousLeaders(), sentAt),
                beat: record.beat + 1,
                isResigned,
                isSettled: options.areTopicsSettled(),
                longestLeaseMilliseconds,
            };
            const response = await store.append(platform.Topic.ownership, end, [
                { key: assignment.leaderKey, value: assignment.encodeLeader(nextRecord) },
                ...plans.map(plan => ({
                    key: assignment.assignmentKey(plan.service),
                    value: assignment.encodeAssignment(plan, end.era),
                })),
            ]);
            if (response.result !== platform.AppendResult.appended) {
                log.write("append-failed", {
                    result: response.result,
                    reason: response.reason,
                    era: end.era,
                    end: end.offset,
                    plans: plans.length,
                });
                needsRead = true;
                hasUnconfirmedPlans ||= response.result === platform.AppendResult.failed && plans.length > 0;
                return false;
            }
            options.onLeadershipConfirmed(sentAt);
            record = nextRecord;
            acknowledgedRecordNumber = nextRecord.beat;
            end = response.end;
            lastAppendAt = timers.now();
            hasUnconfirmedPlans = false;
            return true;
        },
        resynchronize: async () => {
            const snapshot = await ownershipReader.readOwnership(store, log);
            const { leader } = snapshot;
            const { era } = snapshot.end;
            const isUndisputed = options.isUndisputed(era !== end.era)
                && !snapshot.unreadableKeys.has(assignment.leaderKey);
            const claim = assignment.claimLeadership(record, leader, era, isUndisputed);
            if (claim === assignment.LeadershipClaim.lost) {
                isSuperseded = true;
                options.onSuperseded(leader?.term);
                return;
            }
            end = snapshot.end;
            needsRead = false;
            if (claim === assignment.LeadershipClaim.reclaimable) {
                record = { ...record, era };
                hasUnconfirmedPlans = false;
                options.onRecordsLost();
                return;
            }
            record = leader ?? record;
            options.onSnapshot(snapshot);
        },
        needsRead: () => needsRead,
        hasUnconfirmedPlans: () => hasUnconfirmedPlans,
        lastAppendAt: () => lastAppendAt,
        end: () => end,
        era: () => end.era,
        isSuperseded: () => isSuperseded,
        acknowledgedRecordNumber: () => acknowledgedRecordNumber,
    };
};

/**
 * Appends the resignation of a leader, for some seconds if the store does not respond, returns from an older copy, or has carried out an
 * earlier append late: without it, a successor waits for the leases that may be out.
 *
 * @param timers - the timer service
 * @param writer - writes the records of the leader
 * @param listLostAssignments - returns the assignments that must be stored again
 * @param longestLeaseMilliseconds - longest lease that the leader has granted recently
 * @param log - receives an event if the store does not respond
 */
export const resign = async (
    timers: foundation.TimerService,
    writer: OwnershipWriter,
    listLostAssignments: () => assignment.ServiceAssignment[],
    longestLeaseMilliseconds: number,
    log: foundation.EventLog,
): Promise<void> => {
    const startedAt = timers.now();
    while (timers.now() - startedAt < maxResignMilliseconds) {
        try {
            if (writer.needsRead()) {
                await writer.resynchronize();
            }
            if (writer.isSuperseded() || await writer.append(listLostAssignments(), true, longestLeaseMilliseconds)) {
                return;
            }
        }
        catch (error) {
            log.write("ownership-read-failed", { reason: (error as Error).message });
        }
        await foundation.pause(timers, resignRetryMilliseconds);
    }
};
