/**
 * The knowledge of an instance on which ownership depends: the log offset up to which it has applied changes, and the
 * expired server sessions whose loss the log has not recorded yet. Knowledge only grows and can be merged in any order,
 * so peers can exchange it at any time.
 */
import type * as ledger from "@mulberryseam/ledger";

/** Log position and expired sessions that an instance knows. */
export interface Knowledge {
    /** Offset of the last change that the instance has applied. Changes known only from peers do not count. */
    offset: number;
    /** Sessions that instances have declared expired and whose loss the log may not have recorded yet. */
    lapses: ledger.ServerIdentifier[];
}

/**
 * Creates the knowledge of an instance that has applied no records.
 *
 * @returns empty knowledge
 */
export const emptyKnowledge = (): Knowledge => ({ offset: -1, lapses: [] });

/**
 * Merges two lists of expired sessions.
 *
 * @param left - the first list
 * @param right - the second list
 * @returns the sessions of both lists, without duplicates
 */
export const mergeExpiredSessions = (
    left: readonly ledger.ServerIdentifier[],
    right: readonly ledger.ServerIdentifier[],
): ledger.ServerIdentifier[] => [...new Set([...left, ...right])];

/**
 * Whether two instances have the same knowledge.
 *
 * @param left - the knowledge of one instance
 * @param right - the knowledge of the other instance
 * @param isEnded - whether the log, applied up to that offset, has ended a session
 * @returns true if the offsets are equal and neither knows of an expired session that the other lacks
 */
export const isSameKnowledge = (
    left: Knowledge,
    right: Knowledge,
    isEnded: (identifier: ledger.ServerIdentifier) => boolean,
): boolean => {
    const covers = (some: Knowledge, other: Knowledge): boolean =>
        other.lapses.every(identifier => some.lapses.includes(identifier) || isEnded(identifier));
    return left.offset === right.offset && covers(left, right) && covers(right, left);
};
