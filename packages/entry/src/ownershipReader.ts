/** Reads and decodes the ownership topic. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";

/** Content of the ownership topic. */
export interface OwnershipSnapshot {
    leader: assignment.LeaderRecord | undefined;
    /** Whether the leader record is of another era, so that another instance may have led after it. */
    isLeaderOutdated: boolean;
    /** Assignments by name of the service. */
    assignments: Map<string, assignment.ServiceAssignment>;
    /** Assignments of another era, of which later changes may be lost. */
    outdatedAssignments: Map<string, assignment.ServiceAssignment>;
    /** Keys of records that cannot be decoded: there is a leader or an assignment, but nothing is known of it. */
    unreadableKeys: Set<string>;
    /** Position at which the next record is appended. */
    end: platform.Position;
}

/**
 * Reads the ownership topic.
 *
 * @param store - client of the store
 * @param log - receives an event for each record that cannot be decoded
 * @returns the content of the topic; rejects if the store does not respond
 */
export const readOwnership = async (
    store: platform.StoreClient,
    log: foundation.EventLog,
): Promise<OwnershipSnapshot> => {
    const { records, end } = await store.readSnapshot(platform.Topic.ownership);
    const snapshot: OwnershipSnapshot = {
        leader: undefined,
        isLeaderOutdated: false,
        assignments: new Map(),
        outdatedAssignments: new Map(),
        unreadableKeys: new Set(),
        end,
    };
    const onUnreadable = (key: string, reason: string): void => {
        snapshot.unreadableKeys.add(key);
        log.write("record-unreadable", { topic: platform.Topic.ownership, key, reason });
    };
    for (const { key, value } of records) {
        const service = assignment.serviceOfKey(key);
        if (value === undefined) {
            continue;
        }
        if (key === assignment.leaderKey) {
            const leader = assignment.decodeLeader(value);
            if (leader.ok) {
                snapshot.leader = leader.val;
                snapshot.isLeaderOutdated = assignment.isOfOtherEra(leader.val, end.era);
            }
            else {
                onUnreadable(key, leader.val);
            }
        }
        else if (service !== undefined) {
            const decoded = assignment.decodeAssignment(service, value);
            if (decoded.ok) {
                const isOutdated = assignment.isOfOtherEra(decoded.val, end.era);
                (isOutdated ? snapshot.outdatedAssignments : snapshot.assignments).set(service, decoded.val);
            }
            else {
                onUnreadable(key, decoded.val);
            }
        }
    }
    return snapshot;
};
