/** Seeded random numbers, so that a run can be reproduced. */
import * as uniformInt from "pure-rand/distribution/uniformInt";
import * as xoroshiro128plus from "pure-rand/generator/xoroshiro128plus";

const fractionSteps = 0x40000000;

/** A pseudorandom number generator. */
export interface Random {
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    fraction: () => number;
    /** Returns an integer from 0 (inclusive) to the limit (exclusive). */
    below: (limit: number) => number;
}

/**
 * Creates a seeded random number generator.
 *
 * @param seed - any integer; equal seeds produce equal sequences
 * @returns the generator
 */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus.xoroshiro128plus(seed);
    return {
        fraction: () => uniformInt.uniformInt(generator, 0, fractionSteps - 1) / fractionSteps,
        below: limit => uniformInt.uniformInt(generator, 0, limit - 1),
    };
};
