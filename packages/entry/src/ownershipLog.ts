/**
 * The leader's writes to the ownership topic. An append without an answer may still be done while the topic ends where it
 * expected, so plans stay blocked until another append of the same leader has been acknowledged.
 */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as ownershipStore from "./ownershipStore";

/** What the writer needs. */
export interface OwnershipLogOptions {
    store: platform.StoreClient;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    /** The leader's record, as it was appended. */
    record: assignment.LeaderRecord;
    end: number;
    /** The store has shown, in answer to a call sent at a time, that this instance leads. */
    onProof: (sentAt: number) => void;
    /** What the topic holds, where it may differ from what was appended last. */
    onSnapshot: (snapshot: ownershipStore.OwnershipSnapshot) => void;
    onDeposed: (newTerm: number | undefined) => void;
}

/** Writes of one leader. */
export interface OwnershipLog {
    /**
     * Appends the leader's record with changed assignments. False when it is not known to be done; the topic has to be
     * read then.
     */
    append: (plans: readonly assignment.ServiceAssignment[], isResigned: boolean, lease: number) => Promise<boolean>;
    /** Reads the topic; rejects when the store does not answer. */
    resynchronize: () => Promise<void>;
    /** Whether the topic has to be read before the next append. */
    needsRead: () => boolean;
    /** Whether an append of plans may still be done, so that no other plan can be made. */
    isUncertain: () => boolean;
    lastAppendAt: () => number;
    /** Number of the last record that the store has acknowledged. */
    lastRecord: () => number;
}

/**
 * Creates the writer.
 *
 * @param options - what it needs
 * @returns the writer
 */
export const createOwnershipLog = (options: OwnershipLogOptions): OwnershipLog => {
    const { store, timers, log } = options;
    let { record, end } = options;
    let acknowledged = record.beat;
    let needsRead = false;
    let isUncertain = false;
    let lastAppendAt = timers.now();
    return {
        append: async (plans, isResigned, longestLeaseMilliseconds) => {
            const sentAt = timers.now();
            const next = { ...record, beat: record.beat + 1, isResigned, longestLeaseMilliseconds };
            const answer = await store.append(platform.Topic.ownership, end, [
                { key: assignment.leaderKey, value: assignment.encodeLeader(next) },
                ...plans.map(plan => ({
                    key: assignment.assignmentKey(plan.service),
                    value: assignment.encodeAssignment(plan),
                })),
            ]);
            if (answer.result !== platform.AppendResult.appended) {
                log.write("append-failed", { result: answer.result, reason: answer.reason, end, plans: plans.length });
                needsRead = true;
                isUncertain ||= answer.result === platform.AppendResult.failed && plans.length > 0;
                return false;
            }
            options.onProof(sentAt);
            record = next;
            acknowledged = next.beat;
            end = answer.end;
            lastAppendAt = timers.now();
            isUncertain = false;
            return true;
        },
        resynchronize: async () => {
            const snapshot = await ownershipStore.readOwnership(store, log);
            const { leader } = snapshot;
            if (leader?.identifier !== record.identifier || leader.term !== record.term) {
                options.onDeposed(leader?.term);
                return;
            }
            record = leader;
            end = snapshot.end;
            needsRead = false;
            options.onSnapshot(snapshot);
        },
        needsRead: () => needsRead,
        isUncertain: () => isUncertain,
        lastAppendAt: () => lastAppendAt,
        lastRecord: () => acknowledged,
    };
};
