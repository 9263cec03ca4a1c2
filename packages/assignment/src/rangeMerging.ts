/**
 * Reduces the number of ranges once hot subranges have cooled down. Adjacent ranges of one owner are merged, and narrow
 * cold ranges are reassigned to a neighbour's owner, so that a later plan can merge them.
 */
import * as keyRange from "./keyRange";

/** Input of {@link mergeRanges}. */
export interface MergeInput {
    ranges: readonly keyRange.KeyRange[];
    /** Token of the first changed range; each further change uses the next one. */
    nextToken: number;
    /** Maximum number of merges, and of reassignments. */
    maxChanges: number;
    /** Whether a range has a usable owner and no change in progress, so that it can be changed. */
    isSettled: (range: keyRange.KeyRange) => boolean;
    /** Whether the load of a range is so low that it does not matter which owner has it. */
    isCold: (range: keyRange.KeyRange) => boolean;
    /** Whether a narrow cold range can be reassigned to an owner. */
    hasSpareCapacity: (owner: keyRange.Owner) => boolean;
}

/** Ranges after merging. */
export interface MergeResult {
    ranges: keyRange.KeyRange[];
    nextToken: number;
    /** Number of merges and reassignments. */
    changes: number;
}

/** Maximum number of keys in a narrow range: few enough that moving them costs almost nothing. */
const maxNarrowKeys = 64;

/** Merges adjacent ranges of one owner. The merged range gets a new token, since their tokens usually differ. */
const mergeNeighbours = (input: MergeInput): MergeResult => {
    const ranges: keyRange.KeyRange[] = [];
    let { nextToken } = input;
    let changes = 0;
    for (const range of input.ranges) {
        const previous = ranges[ranges.length - 1];
        const canMerge = previous?.owner !== undefined && keyRange.isSameOwner(previous.owner, range.owner)
            && changes < input.maxChanges && input.isSettled(range)
            && (previous.token >= input.nextToken || input.isSettled(previous));
        if (!canMerge) {
            ranges.push(range);
            continue;
        }
        ranges[ranges.length - 1] = { ...previous, last: range.last, token: nextToken };
        nextToken += 1;
        changes += 1;
    }
    return { ranges, nextToken, changes };
};

/** Reassigns narrow cold ranges to the owner of an adjacent range. */
const reassignToNeighbours = (input: MergeInput, merged: MergeResult): MergeResult => {
    const ranges = [...merged.ranges];
    let { nextToken } = merged;
    let reassigned = 0;
    for (let index = 0; index < ranges.length && reassigned < input.maxChanges; index += 1) {
        const range = ranges[index];
        const isNarrow = range.last - range.first < maxNarrowKeys;
        if (!isNarrow || range.token >= input.nextToken || !input.isSettled(range) || !input.isCold(range)) {
            continue;
        }
        const neighbours = [ranges[index - 1], ranges[index + 1]];
        const newOwner = neighbours.find(neighbour =>
            neighbour?.owner !== undefined && input.hasSpareCapacity(neighbour.owner)
        )?.owner;
        if (newOwner === undefined || keyRange.isSameOwner(newOwner, range.owner)) {
            continue;
        }
        ranges[index] = { ...range, owner: newOwner, token: nextToken, previousOwner: range.owner };
        nextToken += 1;
        reassigned += 1;
    }
    return { ranges, nextToken, changes: merged.changes + reassigned };
};

/**
 * Reduces the number of ranges.
 *
 * @param input - ranges and limits
 * @returns the new ranges; changed ranges have tokens from `input.nextToken` on
 */
export const mergeRanges = (input: MergeInput): MergeResult => reassignToNeighbours(input, mergeNeighbours(input));
