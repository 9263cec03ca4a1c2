/** The ownership topic: what it holds, decoded. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";

/** Everything that the topic holds. */
export interface OwnershipSnapshot {
    leader: assignment.LeaderRecord | undefined;
    assignments: Map<string, assignment.ServiceAssignment>;
    /** Offset at which the next record is appended. */
    end: number;
}

/**
 * Reads the topic.
 *
 * @param store - the client of the store
 * @param log - told of records that cannot be read
 * @returns what it holds; rejects when the store does not answer
 */
export const readOwnership = async (
    store: platform.StoreClient,
    log: foundation.EventLog,
): Promise<OwnershipSnapshot> => {
    const { records, end } = await store.readSnapshot(platform.Topic.ownership);
    const snapshot: OwnershipSnapshot = { leader: undefined, assignments: new Map(), end };
    const report = (key: string, reason: string): void =>
        log.write("record-unreadable", { topic: platform.Topic.ownership, key, reason });
    for (const { key, value } of records) {
        const service = assignment.serviceOfKey(key);
        if (value === undefined) {
            continue;
        }
        if (key === assignment.leaderKey) {
            const leader = assignment.decodeLeader(value);
            if (leader.ok) {
                snapshot.leader = leader.val;
            }
            else {
                report(key, leader.val);
            }
        }
        else if (service !== undefined) {
            const decoded = assignment.decodeAssignment(service, value);
            if (decoded.ok) {
                snapshot.assignments.set(service, decoded.val);
            }
            else {
                report(key, decoded.val);
            }
        }
    }
    return snapshot;
};
