/**
 * How many ranges the keys of a service are divided into. Hot keys lie close together, so more ranges spread them better, but
 * each range costs a renewal in every renewal interval.
 */

/** Ranges per owner in the initial assignment, when no load is known. */
const initialRangesPerOwner = 8;
/** Bounds of the initial number of ranges; a service with more owners than that gets one range for each. */
const minInitialRanges = 128;
const maxInitialRanges = 256;
/** Number of ranges, as a multiple of the initial one, above which ranges are merged: hot subranges are split off meanwhile. */
const mergeThresholdFactor = 1.25;
/** Number of ranges from which none is split. */
const maxRanges = 480;
/** Maximum ranges per owner; applies if it allows more than {@link maxRanges}. */
const maxRangesPerOwner = 3;

/**
 * Returns the number of ranges in the initial assignment.
 *
 * @param ownerCount - number of upstreams that can own keys
 * @returns the number of ranges
 */
export const initialRangeCount = (ownerCount: number): number => {
    const preferred = Math.max(minInitialRanges, ownerCount * initialRangesPerOwner);
    return Math.max(ownerCount, Math.min(maxInitialRanges, preferred));
};

/**
 * Returns the number of ranges above which ranges are merged.
 *
 * @param ownerCount - number of upstreams that can own keys
 * @returns the number of ranges
 */
export const mergeThreshold = (ownerCount: number): number => initialRangeCount(ownerCount) * mergeThresholdFactor;

/**
 * Returns the number of ranges from which none is split.
 *
 * @param ownerCount - number of upstreams that can own keys
 * @returns the number of ranges
 */
export const maxRangeCount = (ownerCount: number): number => Math.max(maxRanges, ownerCount * maxRangesPerOwner);
