/**
 * Plans which upstream owns which keys. Keys without a usable owner are assigned to one, and the hottest subrange of
 * the most utilized owner moves to the least utilized one. A subrange is as narrow as its load allows, because the cost
 * of a move grows with the number of keys and hot keys lie close together.
 */
import * as keyRange from "./keyRange";
import * as rangeCount from "./rangeCount";
import * as rangeMerging from "./rangeMerging";

/** An upstream that can own keys. */
export interface Candidate {
    owner: keyRange.Owner;
    /** Load that the upstream can carry, in the unit of {@link BalanceInput.loadSums}. */
    capacity: number;
}

/** Input of {@link balance}. */
export interface BalanceInput {
    assignment: keyRange.ServiceAssignment;
    candidates: readonly Candidate[];
    /** Prefix sums of the key loads; see {@link KeyLoad.prefixSums}. */
    loadSums: Float64Array;
    /** Whether a range is not yet released by its previous owner; it is then reassigned only if its owner is lost. */
    isMoving: (range: keyRange.KeyRange) => boolean;
    /** Whether a range can be assigned to another owner now. */
    canMove: (range: keyRange.KeyRange) => boolean;
    /** Whether the owner has seen a higher token for a range, so that the range needs a new token. */
    isFenced: (range: keyRange.KeyRange) => boolean;
}

/** Utilization, as a multiple of the mean, from which an owner's keys are moved. */
const overloadFactor = 1.2;
/** Utilization below which an owner keeps its keys: requests hardly queue at that load. */
const acceptableUtilization = 0.45;
/** Maximum moves in one plan, so that few keys are being handed over at a time. */
const maxMoves = 16;
/** Maximum moves in one plan per candidate; applies if it allows more than {@link maxMoves}. */
const maxMovesPerOwner = 0.3;
/** Maximum keys moved in one plan to balance the load. */
const maxMovedKeys = 3000;
/** Maximum merges in one plan, and maximum narrow ranges reassigned to a neighbour's owner. */
const maxMergeChanges = 24;
/** Load of a range, as a fraction of the mean load of an owner, below which the range is cold. */
const maxColdLoadRatio = 0.05;
/** Utilization, as a multiple of the mean, up to which an owner gets a neighbour's narrow range: lower than {@link overloadFactor}. */
const maxMergeUtilizationFactor = 1.1;
/** Total load, in weighted requests, below which there are too few samples to balance on. */
const minTotalLoad = 60;
/** Load added to that of every key, so that cold keys are spread too. */
const baselineKeyLoad = 0.0005;

/** Maximum utilization of the destination after a move, as a fraction of the source's before the move. */
const maxDestinationRatio = 0.9;
/** Mean load per key of a range, as a fraction of that of all keys, below which the range is not moved. */
const minDensityRatio = 0.25;

/** A candidate and the load of its keys. */
interface OwnerLoad {
    candidate: Candidate;
    load: number;
}

/** Returns the load of the keys from `first` to `last`, both included. */
const loadBetween = (loadSums: Float64Array, first: number, last: number): number =>
    loadSums[last + 1] - loadSums[first] + (last - first + 1) * baselineKeyLoad;

const utilization = (ownerLoad: OwnerLoad): number => ownerLoad.load / ownerLoad.candidate.capacity;

const leastLoaded = (ownerLoads: Iterable<OwnerLoad>): OwnerLoad =>
    [...ownerLoads].reduce((best, ownerLoad) => (utilization(ownerLoad) < utilization(best) ? ownerLoad : best));

const mostLoaded = (ownerLoads: Iterable<OwnerLoad>): OwnerLoad =>
    [...ownerLoads].reduce((best, ownerLoad) => (utilization(ownerLoad) > utilization(best) ? ownerLoad : best));

/** Returns the narrowest subrange whose load is between `targetLoad` and `maxLoad`, if there is one. */
const narrowestSubrange = (
    range: keyRange.KeyRange,
    loadSums: Float64Array,
    targetLoad: number,
    maxLoad: number,
): { first: number; last: number; } | undefined => {
    let best: { first: number; last: number; } | undefined;
    let last = range.first;
    for (let first = range.first; first <= range.last; first += 1) {
        last = Math.max(last, first);
        while (last < range.last && loadBetween(loadSums, first, last) < targetLoad) {
            last += 1;
        }
        const load = loadBetween(loadSums, first, last);
        const isNarrower = best === undefined || last - first < best.last - best.first;
        if (load >= targetLoad && load <= maxLoad && isNarrower) {
            best = { first, last };
        }
    }
    return best;
};

/** Replaces a range by the moved subrange and the remainders on either side of it. */
const splitRange = (
    ranges: keyRange.KeyRange[],
    range: keyRange.KeyRange,
    subrange: { first: number; last: number; },
    movedRange: keyRange.KeyRange,
): void => {
    const pieces = [
        ...(subrange.first > range.first ? [{ ...range, last: subrange.first - 1 }] : []),
        movedRange,
        ...(subrange.last < range.last ? [{ ...range, first: subrange.last + 1 }] : []),
    ];
    ranges.splice(ranges.indexOf(range), 1, ...pieces);
};

/** A subrange of a range and the owner that it moves to. */
interface Move {
    range: keyRange.KeyRange;
    first: number;
    last: number;
    destination: OwnerLoad;
}

/**
 * Finds a subrange whose move relieves an owner. Ranges are tried in order of their load per key, highest first. A key
 * that is too hot for any other owner stays, and the owner's other ranges are moved instead: each move of such a key would
 * leave it without an owner for a time, and another owner overloaded.
 */
const findMove = (
    ownRanges: readonly keyRange.KeyRange[],
    source: OwnerLoad,
    ownerLoads: readonly OwnerLoad[],
    meanUtilization: number,
    loadSums: Float64Array,
    maxKeys: number,
    canSplit: boolean,
): Move | undefined => {
    const density = (range: keyRange.KeyRange): number =>
        loadBetween(loadSums, range.first, range.last) / (range.last - range.first + 1);
    const excessLoad = source.load - meanUtilization * source.candidate.capacity;
    const otherOwners = ownerLoads.filter(ownerLoad => ownerLoad !== source);
    for (const range of [...ownRanges].sort((left, right) => density(right) - density(left))) {
        const load = loadBetween(loadSums, range.first, range.last);
        const loadToMove = Math.min(load, excessLoad);
        const utilizationAfter = (ownerLoad: OwnerLoad): number =>
            (ownerLoad.load + loadToMove) / ownerLoad.candidate.capacity;
        const [destination] = otherOwners.sort((left, right) => utilizationAfter(left) - utilizationAfter(right));
        if (destination === undefined) {
            return undefined;
        }
        // After the move, the destination must be less utilized than the source was, and able to serve what it has got.
        const maxUtilization = Math.min(
            utilization(source) * maxDestinationRatio,
            Math.max(1, meanUtilization * overloadFactor),
        );
        const maxLoad = maxUtilization * destination.candidate.capacity - destination.load;
        const spareLoad = Math.max(0, meanUtilization * destination.candidate.capacity - destination.load);
        const targetLoad = Math.min(excessLoad, Math.max(spareLoad, excessLoad / otherOwners.length));
        const wholeRange = { first: range.first, last: range.last };
        const findSubrange = (): { first: number; last: number; } | undefined =>
            narrowestSubrange(range, loadSums, targetLoad, maxLoad)
                ?? narrowestSubrange(range, loadSums, targetLoad / 4, maxLoad);
        const subrange = load > targetLoad && canSplit ? findSubrange() : load <= maxLoad ? wholeRange : undefined;
        const isDenseEnough = density(range) >= minDensityRatio * loadSums[keyRange.keyCount] / keyRange.keyCount;
        if (subrange !== undefined && isDenseEnough && subrange.last - subrange.first < maxKeys) {
            return { range, ...subrange, destination };
        }
    }
    return undefined;
};

/**
 * Plans the next assignment of a service.
 *
 * @param input - current assignment, candidates and loads
 * @returns the next assignment, or undefined if nothing changes
 */
export const balance = (input: BalanceInput): keyRange.ServiceAssignment | undefined => {
    const { candidates, loadSums } = input;
    if (candidates.length === 0) {
        return undefined;
    }
    const ranges = [...input.assignment.ranges];
    const firstToken = input.assignment.nextToken;
    let nextToken = firstToken;
    const ownerLoads = new Map<string, OwnerLoad>(
        candidates.map(candidate => [keyRange.ownerName(candidate.owner), { candidate, load: 0 }]),
    );
    const ownerLoadOf = (range: keyRange.KeyRange): OwnerLoad | undefined =>
        range.owner === undefined ? undefined : ownerLoads.get(keyRange.ownerName(range.owner));
    const unownedRanges: keyRange.KeyRange[] = [];
    for (const range of ranges) {
        const ownerLoad = ownerLoadOf(range);
        if (ownerLoad === undefined && input.canMove(range)) {
            unownedRanges.push(range);
        }
        else if (ownerLoad !== undefined) {
            ownerLoad.load += loadBetween(loadSums, range.first, range.last);
        }
    }
    const assignRange = (
        range: keyRange.KeyRange,
        subrange: { first: number; last: number; },
        destination: OwnerLoad,
    ): void => {
        const previousOwner = input.isMoving(range) ? range.previousOwner : range.owner;
        const movedRange = { ...subrange, owner: destination.candidate.owner, token: nextToken, previousOwner };
        nextToken += 1;
        splitRange(ranges, range, subrange, movedRange);
        destination.load += loadBetween(loadSums, subrange.first, subrange.last);
    };
    const sortedUnownedRanges = unownedRanges.sort((left, right) =>
        loadBetween(loadSums, right.first, right.last) - loadBetween(loadSums, left.first, left.last)
    );
    sortedUnownedRanges.forEach(range => assignRange(range, range, leastLoaded(ownerLoads.values())));

    // A range that this plan has moved already has a new token, and its previous owner has to release it.
    const fencedRanges = ranges.filter(range =>
        range.token < firstToken && input.isFenced(range) && ownerLoadOf(range) !== undefined
    );
    for (const range of fencedRanges) {
        ranges.splice(ranges.indexOf(range), 1, { ...range, token: nextToken, previousOwner: undefined });
        nextToken += 1;
    }

    let moves = 0;
    let movedKeys = 0;
    const totalLoad = [...ownerLoads.values()].reduce((sum, ownerLoad) => sum + ownerLoad.load, 0);
    const meanUtilization = totalLoad / candidates.reduce((sum, candidate) => sum + candidate.capacity, 0);
    const moveLimit = Math.max(maxMoves, candidates.length * maxMovesPerOwner);
    const rangeLimit = rangeCount.maxRangeCount(candidates.length);
    // A new upstream is assigned keys even if every owner's utilization is acceptable.
    const hasEmptyOwner = [...ownerLoads.values()].some(ownerLoad => ownerLoad.load === 0);
    const toleratedUtilization = Math.max(meanUtilization * overloadFactor, hasEmptyOwner ? 0 : acceptableUtilization);
    const exhausted = new Set<OwnerLoad>();
    while (
        totalLoad >= minTotalLoad && moves < moveLimit && movedKeys < maxMovedKeys
        && exhausted.size < ownerLoads.size
    ) {
        const source = mostLoaded([...ownerLoads.values()].filter(ownerLoad => !exhausted.has(ownerLoad)));
        if (utilization(source) < toleratedUtilization) {
            break;
        }
        // Ranges that this plan has changed already are skipped: another change would lose their previous owner.
        const ownRanges = ranges.filter(range =>
            ownerLoadOf(range) === source && range.token < firstToken && !input.isMoving(range) && input.canMove(range)
        );
        const canSplit = ranges.length < rangeLimit;
        const move = findMove(
            ownRanges,
            source,
            [...ownerLoads.values()],
            meanUtilization,
            loadSums,
            maxMovedKeys - movedKeys,
            canSplit,
        );
        if (move === undefined) {
            exhausted.add(source);
            continue;
        }
        source.load -= loadBetween(loadSums, move.first, move.last);
        assignRange(move.range, { first: move.first, last: move.last }, move.destination);
        moves += 1;
        movedKeys += move.last - move.first + 1;
    }
    const mergeResult = ranges.length > rangeCount.mergeThreshold(candidates.length)
        ? rangeMerging.mergeRanges({
            ranges,
            nextToken,
            maxChanges: maxMergeChanges,
            isSettled: range =>
                ownerLoadOf(range) !== undefined && range.token < firstToken && !input.isMoving(range)
                && input.canMove(range) && !input.isFenced(range),
            isCold: range =>
                loadBetween(loadSums, range.first, range.last) < totalLoad / candidates.length * maxColdLoadRatio,
            hasSpareCapacity: owner => {
                const ownerLoad = ownerLoads.get(keyRange.ownerName(owner));
                return ownerLoad !== undefined && utilization(ownerLoad) < meanUtilization * maxMergeUtilizationFactor;
            },
        })
        : { ranges, nextToken, changes: 0 };
    return sortedUnownedRanges.length + fencedRanges.length + moves + mergeResult.changes === 0
        ? undefined
        : { service: input.assignment.service, nextToken: mergeResult.nextToken, ranges: mergeResult.ranges };
};
