/**
 * What an instance knows that bears on ownership. Knowledge only grows and merges in any order, so that peers can
 * exchange it freely: an offset of the log up to which changes exist, and the server sessions that were declared
 * ended before the log could say so.
 */
import type { ServerIdentifier } from "@mulberryseam/ledger";

/** What an instance knows. */
export interface Knowledge {
    /** Offset of the last change known to be in the log. */
    offset: number;
    /** Sessions declared ended by instances, ahead of the log. */
    lapses: ServerIdentifier[];
}

/**
 * Gives the knowledge of an instance that knows nothing.
 *
 * @returns the least knowledge
 */
export const emptyKnowledge = (): Knowledge => ({ offset: -1, lapses: [] });

/**
 * Merges knowledge.
 *
 * @param left - some knowledge
 * @param right - more knowledge
 * @returns the least knowledge that covers both
 */
export const mergeKnowledge = (left: Knowledge, right: Knowledge): Knowledge => ({
    offset: Math.max(left.offset, right.offset),
    lapses: [...new Set([...left.lapses, ...right.lapses])],
});

/**
 * Tells whether knowledge holds anything that other knowledge lacks.
 *
 * @param candidate - the knowledge that may hold more
 * @param base - the knowledge to compare with
 * @param isEnded - tells whether the log that `base` has folded says that a session ended
 * @returns true when `candidate` holds something new to `base`
 */
export const knowsMore = (
    candidate: Knowledge,
    base: Knowledge,
    isEnded: (identifier: ServerIdentifier) => boolean,
): boolean =>
    candidate.offset > base.offset
    || candidate.lapses.some(identifier => !base.lapses.includes(identifier) && !isEnded(identifier));
