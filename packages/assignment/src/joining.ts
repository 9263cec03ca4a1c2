/**
 * Lowers the number of ranges once hot stretches that were cut have cooled: neighbours of one owner become one range, and
 * narrow cold ranges go to a neighbour's owner, to be joined by a later plan.
 */
import * as keyRange from "./keyRange";

/** What joining depends on. */
export interface JoiningInput {
    ranges: readonly keyRange.KeyRange[];
    /** Token of the first change. */
    nextToken: number;
    /** Changes of each kind at most. */
    highestChanges: number;
    /** Whether a range is settled, so that it may be changed. */
    isSettled: (range: keyRange.KeyRange) => boolean;
    /** Whether so little is asked for a range's keys that it is no matter whose they are. */
    isCold: (range: keyRange.KeyRange) => boolean;
    /** Whether an owner may be given a narrow cold range. */
    hasRoom: (owner: keyRange.Owner) => boolean;
}

/** What came of it. */
export interface Joined {
    ranges: keyRange.KeyRange[];
    nextToken: number;
    changes: number;
}

/** Keys up to which a range is narrow: few enough that moving them costs next to nothing. */
const narrowKeys = 64;

/** Joins neighbours that have one owner; the new range has a new token, since no two ranges share one. */
const joinNeighbours = (input: JoiningInput): Joined => {
    const ranges: keyRange.KeyRange[] = [];
    let { nextToken } = input;
    let changes = 0;
    for (const range of input.ranges) {
        const before = ranges[ranges.length - 1];
        const mayJoin = before?.owner !== undefined && keyRange.isSameOwner(before.owner, range.owner)
            && changes < input.highestChanges && input.isSettled(range)
            && (before.token >= input.nextToken || input.isSettled(before));
        if (!mayJoin) {
            ranges.push(range);
            continue;
        }
        ranges[ranges.length - 1] = { ...before, last: range.last, token: nextToken };
        nextToken += 1;
        changes += 1;
    }
    return { ranges, nextToken, changes };
};

/** Gives narrow cold ranges to the owner before or after them. */
const giveToNeighbours = (input: JoiningInput, joined: Joined): Joined => {
    const ranges = [...joined.ranges];
    let { nextToken } = joined;
    let given = 0;
    for (let index = 0; index < ranges.length && given < input.highestChanges; index += 1) {
        const range = ranges[index];
        const isNarrow = range.last - range.first < narrowKeys;
        if (!isNarrow || range.token >= input.nextToken || !input.isSettled(range) || !input.isCold(range)) {
            continue;
        }
        const neighbours = [ranges[index - 1], ranges[index + 1]];
        const to = neighbours.find(one => one?.owner !== undefined && input.hasRoom(one.owner))?.owner;
        if (to === undefined || keyRange.isSameOwner(to, range.owner)) {
            continue;
        }
        ranges[index] = { ...range, owner: to, token: nextToken, former: range.owner };
        nextToken += 1;
        given += 1;
    }
    return { ranges, nextToken, changes: joined.changes + given };
};

/**
 * Lowers the number of ranges.
 *
 * @param input - what it depends on
 * @returns the ranges, of which those that changed have tokens from `input.nextToken` on
 */
export const joinRanges = (input: JoiningInput): Joined => giveToNeighbours(input, joinNeighbours(input));
