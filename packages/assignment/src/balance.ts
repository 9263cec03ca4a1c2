/**
 * Decides who owns which keys: keys without a usable owner get one, and the hottest stretch of the busiest owner moves
 * to the least busy one. A stretch is cut as narrow as its load allows, because moved keys are paid for by their number
 * and busy keys lie close together.
 */
import * as joining from "./joining";
import * as keyRange from "./keyRange";

/** An upstream that may own keys. */
export interface Candidate {
    owner: keyRange.Owner;
    /** Load that it can carry, in the unit of {@link BalanceInput.loadSums}. */
    capacity: number;
}

/** What the decision depends on. */
export interface BalanceInput {
    assignment: keyRange.ServiceAssignment;
    candidates: readonly Candidate[];
    /** {@link KeyLoad.prefixSums}. */
    loadSums: Float64Array;
    /** Whether a range's former owner still has to give it up; such a range is only moved when its owner is lost. */
    isMoving: (range: keyRange.KeyRange) => boolean;
    /** Whether a range may get another owner now. */
    mayMove: (range: keyRange.KeyRange) => boolean;
    /** Whether a range's owner has seen a higher token, so that the range needs a new one. */
    isFenced: (range: keyRange.KeyRange) => boolean;
}

/** Load above the mean, as a factor, from which an owner gives keys away. */
const overloadFactor = 1.2;
/** Part of its capacity below which an owner gives nothing away: requests hardly wait there. */
const comfortablePart = 0.45;
/** Changes in one round, so that few keys are between owners at a time. */
const highestMoves = 16;
/** Changes in one round for each owner, where there are so many that it is more. */
const highestMovesPerOwner = 0.3;
/** Keys that change owners in one round for the sake of balance. */
const highestMovedKeys = 1500;
/** Ranges above which no range is cut any more; each one costs a renewal a second. */
const highestRanges = 480;
/** The same for each owner, where there are so many that it is more. */
const highestRangesPerOwner = 6;
/** Part of the highest number of ranges from which ranges are joined again. */
const joiningPart = 0.7;
/** Ranges that are joined, and narrow ones that are given to a neighbour's owner, in one round. */
const highestJoins = 24;
/** Load of a range, as a part of the mean owner's, up to which it is cold. */
const coldPart = 0.01;
/** Weighted requests below which the load says too little. */
const lowestEvidence = 60;
/** Load that every key is taken to have, so that cold keys are spread too. */
const baselineLoad = 0.0005;

/** Load of a receiver after a move, as a part of the giver's before, from which a move is not worth it. */
const improvementFactor = 0.9;
/** Load of a key, relative to the mean key, below which a range is not worth moving. */
const lowestDensity = 0.25;

interface Share {
    candidate: Candidate;
    load: number;
}

const loadBetween = (sums: Float64Array, first: number, last: number): number =>
    sums[last + 1] - sums[first] + (last - first + 1) * baselineLoad;

const relativeLoad = (share: Share): number => share.load / share.candidate.capacity;

const leastLoaded = (shares: Iterable<Share>): Share =>
    [...shares].reduce((best, share) => (relativeLoad(share) < relativeLoad(best) ? share : best));

const mostLoaded = (shares: Iterable<Share>): Share =>
    [...shares].reduce((best, share) => (relativeLoad(share) > relativeLoad(best) ? share : best));

/** Finds the narrowest stretch of a range whose load reaches a target without passing a limit. */
const narrowestStretch = (
    range: keyRange.KeyRange,
    sums: Float64Array,
    target: number,
    limit: number,
): { first: number; last: number; } | undefined => {
    let best: { first: number; last: number; } | undefined;
    let last = range.first;
    for (let first = range.first; first <= range.last; first += 1) {
        last = Math.max(last, first);
        while (last < range.last && loadBetween(sums, first, last) < target) {
            last += 1;
        }
        const load = loadBetween(sums, first, last);
        const isNarrower = best === undefined || last - first < best.last - best.first;
        if (load >= target && load <= limit && isNarrower) {
            best = { first, last };
        }
    }
    return best;
};

const cut = (
    ranges: keyRange.KeyRange[],
    range: keyRange.KeyRange,
    stretch: { first: number; last: number; },
    moved: keyRange.KeyRange,
): void => {
    const parts = [
        ...(stretch.first > range.first ? [{ ...range, last: stretch.first - 1 }] : []),
        moved,
        ...(stretch.last < range.last ? [{ ...range, first: stretch.last + 1 }] : []),
    ];
    ranges.splice(ranges.indexOf(range), 1, ...parts);
};

interface Move {
    range: keyRange.KeyRange;
    first: number;
    last: number;
    to: Share;
}

/**
 * Finds keys whose move takes load off an owner. The densest range comes first; where a single key is too much for any
 * other owner, the owner's other ranges make room for it.
 */
const findMove = (
    own: readonly keyRange.KeyRange[],
    from: Share,
    shares: readonly Share[],
    mean: number,
    sums: Float64Array,
    highestKeys: number,
    mayCut: boolean,
): Move | undefined => {
    const density = (range: keyRange.KeyRange): number =>
        loadBetween(sums, range.first, range.last) / (range.last - range.first + 1);
    const excess = from.load - mean * from.candidate.capacity;
    const others = shares.filter(share => share !== from);
    for (const range of [...own].sort((left, right) => density(right) - density(left))) {
        const load = loadBetween(sums, range.first, range.last);
        const wanted = Math.min(load, excess);
        const loadAfter = (share: Share): number => (share.load + wanted) / share.candidate.capacity;
        const [to] = others.sort((left, right) => loadAfter(left) - loadAfter(right));
        if (to === undefined) {
            return undefined;
        }
        // Whatever moves must leave the receiver below where the giver was.
        const limit = relativeLoad(from) * improvementFactor * to.candidate.capacity - to.load;
        const room = Math.max(0, mean * to.candidate.capacity - to.load);
        const target = Math.min(excess, Math.max(room, excess / others.length));
        const whole = { first: range.first, last: range.last };
        const cutOut = (): { first: number; last: number; } | undefined =>
            narrowestStretch(range, sums, target, limit) ?? narrowestStretch(range, sums, target / 4, limit);
        const stretch = load > target && mayCut ? cutOut() : load <= limit ? whole : undefined;
        const isWorthIt = density(range) >= lowestDensity * sums[keyRange.keyCount] / keyRange.keyCount;
        if (stretch !== undefined && isWorthIt && stretch.last - stretch.first < highestKeys) {
            return { range, ...stretch, to };
        }
    }
    return undefined;
};

/**
 * Decides the next assignment.
 *
 * @param input - what is known
 * @returns the next assignment, or undefined when nothing has to change
 */
export const balance = (input: BalanceInput): keyRange.ServiceAssignment | undefined => {
    const { candidates, loadSums } = input;
    if (candidates.length === 0) {
        return undefined;
    }
    const ranges = [...input.assignment.ranges];
    const firstToken = input.assignment.nextToken;
    let nextToken = firstToken;
    const shares = new Map<string, Share>(
        candidates.map(candidate => [keyRange.ownerName(candidate.owner), { candidate, load: 0 }]),
    );
    const shareOf = (range: keyRange.KeyRange): Share | undefined =>
        range.owner === undefined ? undefined : shares.get(keyRange.ownerName(range.owner));
    const orphans: keyRange.KeyRange[] = [];
    for (const range of ranges) {
        const share = shareOf(range);
        if (share === undefined && input.mayMove(range)) {
            orphans.push(range);
        }
        else if (share !== undefined) {
            share.load += loadBetween(loadSums, range.first, range.last);
        }
    }
    const giveTo = (range: keyRange.KeyRange, stretch: { first: number; last: number; }, to: Share): void => {
        const former = input.isMoving(range) ? range.former : range.owner;
        const moved = { ...stretch, owner: to.candidate.owner, token: nextToken, former };
        nextToken += 1;
        cut(ranges, range, stretch, moved);
        to.load += loadBetween(loadSums, stretch.first, stretch.last);
    };
    const heaviestFirst = orphans.sort((left, right) =>
        loadBetween(loadSums, right.first, right.last) - loadBetween(loadSums, left.first, left.last)
    );
    heaviestFirst.forEach(range => giveTo(range, range, leastLoaded(shares.values())));

    const fenced = ranges.filter(range => input.isFenced(range) && shareOf(range) !== undefined);
    for (const range of fenced) {
        ranges.splice(ranges.indexOf(range), 1, { ...range, token: nextToken, former: undefined });
        nextToken += 1;
    }

    let moves = 0;
    let movedKeys = 0;
    const total = [...shares.values()].reduce((sum, share) => sum + share.load, 0);
    const mean = total / candidates.reduce((sum, candidate) => sum + candidate.capacity, 0);
    const moveLimit = Math.max(highestMoves, candidates.length * highestMovesPerOwner);
    const rangeLimit = Math.max(highestRanges, candidates.length * highestRangesPerOwner);
    // An upstream that joined gets keys also where nobody has too many.
    const isAnyEmpty = [...shares.values()].some(share => share.load === 0);
    const tolerated = Math.max(mean * overloadFactor, isAnyEmpty ? 0 : comfortablePart);
    const tired = new Set<Share>();
    while (
        total >= lowestEvidence && moves < moveLimit && movedKeys < highestMovedKeys
        && tired.size < shares.size
    ) {
        const from = mostLoaded([...shares.values()].filter(share => !tired.has(share)));
        if (relativeLoad(from) < tolerated) {
            break;
        }
        // What this plan has changed already keeps its former owner on record, so it is not changed again.
        const own = ranges.filter(range =>
            shareOf(range) === from && range.token < firstToken && !input.isMoving(range) && input.mayMove(range)
        );
        const mayCut = ranges.length < rangeLimit;
        const move = findMove(own, from, [...shares.values()], mean, loadSums, highestMovedKeys - movedKeys, mayCut);
        if (move === undefined) {
            tired.add(from);
            continue;
        }
        from.load -= loadBetween(loadSums, move.first, move.last);
        giveTo(move.range, { first: move.first, last: move.last }, move.to);
        moves += 1;
        movedKeys += move.last - move.first + 1;
    }
    const joined = ranges.length > rangeLimit * joiningPart
        ? joining.joinRanges({
            ranges,
            nextToken,
            highestChanges: highestJoins,
            isSettled: range =>
                shareOf(range) !== undefined && range.token < firstToken && !input.isMoving(range)
                && input.mayMove(range) && !input.isFenced(range),
            isCold: range => loadBetween(loadSums, range.first, range.last) < total / candidates.length * coldPart,
            hasRoom: owner => {
                const share = shares.get(keyRange.ownerName(owner));
                return share !== undefined && relativeLoad(share) < mean;
            },
        })
        : { ranges, nextToken, changes: 0 };
    return heaviestFirst.length + fenced.length + moves + joined.changes === 0
        ? undefined
        : { service: input.assignment.service, nextToken: joined.nextToken, ranges: joined.ranges };
};
