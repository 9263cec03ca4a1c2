/**
 * What an instance knows that bears on ownership. Knowledge only grows and merges in any order, so that peers can
 * exchange it freely: an offset of the log up to which changes exist, and the server sessions that were declared
 * ended before the log could say so.
 */
import type * as ledger from "@mulberryseam/ledger";

/** What an instance knows. */
export interface Knowledge {
    /** Offset of the last change that the instance has folded; what it has merely heard of does not count. */
    offset: number;
    /** Sessions declared ended by instances, ahead of the log. */
    lapses: ledger.ServerIdentifier[];
}

/**
 * Gives the knowledge of an instance that knows nothing.
 *
 * @returns the least knowledge
 */
export const emptyKnowledge = (): Knowledge => ({ offset: -1, lapses: [] });

/**
 * Merges sessions declared ended.
 *
 * @param left - some sessions
 * @param right - more sessions
 * @returns every session, once
 */
export const mergeLapses = (
    left: readonly ledger.ServerIdentifier[],
    right: readonly ledger.ServerIdentifier[],
): ledger.ServerIdentifier[] => [...new Set([...left, ...right])];

/**
 * Tells whether two instances know the same.
 *
 * @param left - knowledge of one
 * @param right - knowledge of the other
 * @param isEnded - tells whether the log, folded to that offset, says that a session ended
 * @returns true when neither knows anything that the other lacks
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
