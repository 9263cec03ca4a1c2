/** Chooses where a request is expected to be answered first, with what it costs to cross regions. */

/** An upstream that could take a request. */
export interface Option {
    identifier: string;
    /** Requests that run or wait there. */
    queueLength: number;
    /** Age of the newest report of its load, in milliseconds; undefined before any. */
    reportAgeMilliseconds: number | undefined;
    slots: number;
    /** Time that one request takes there, in milliseconds. */
    serviceMilliseconds: number;
    /** Whether that time was measured; before the first answer it is only assumed. */
    isMeasured: boolean;
    /** Time to the upstream and back, in milliseconds. */
    roundTripMilliseconds: number;
    /** Share of attempts that fail. */
    failureShare: number;
    /** Extra time that the way there is taken to cost, in milliseconds. */
    detourMilliseconds: number;
}

/** The choice. */
export interface Choice {
    option: Option;
    /** Time until the answer, in milliseconds. */
    expectedMilliseconds: number;
    /** Part of it that is spent waiting for a slot, in milliseconds. */
    waitMilliseconds: number;
}

/** Time that a failed attempt is taken to cost, in milliseconds. */
const failureMilliseconds = 600;
/** Difference below which two options count as equal, in milliseconds, so that instances do not all choose the same. */
const indifferenceMilliseconds = 8;

/**
 * Estimates how long a request waits for a slot.
 *
 * @param option - where
 * @returns milliseconds
 */
export const expectedWait = (option: Option): number =>
    Math.max(0, option.queueLength + 1 - option.slots) * option.serviceMilliseconds / option.slots;

/**
 * Estimates when a request is answered.
 *
 * @param option - where
 * @returns milliseconds
 */
export const expectedAnswer = (option: Option): number =>
    expectedWait(option) + option.serviceMilliseconds + option.roundTripMilliseconds;

/**
 * Chooses.
 *
 * @param options - where the request could go
 * @param fraction - a random number from 0 to 1, to choose among equals
 * @returns the choice, or undefined without options
 */
export const choose = (options: readonly Option[], fraction: number): Choice | undefined => {
    const costs = options.map(option =>
        expectedAnswer(option) + option.failureShare * failureMilliseconds + option.detourMilliseconds
        // A fuller upstream is a little slower, long before its slots are taken.
        + option.queueLength / option.slots * indifferenceMilliseconds
    );
    const lowest = Math.min(...costs);
    const equals = options.filter((option, index) =>
        option !== undefined && costs[index] <= lowest + indifferenceMilliseconds
    );
    const option = equals[Math.min(equals.length - 1, Math.floor(fraction * equals.length))];
    return option === undefined
        ? undefined
        : { option, expectedMilliseconds: expectedAnswer(option), waitMilliseconds: expectedWait(option) };
};
