/** Random numbers with a seed, so that a run can be repeated. */
import * as uniformInt from "pure-rand/distribution/uniformInt";
import * as xoroshiro128plus from "pure-rand/generator/xoroshiro128plus";

const fractionSteps = 0x40000000;

/** A stream of random numbers. */
export interface Random {
    /** A number from 0 (included) to 1 (excluded). */
    fraction: () => number;
    /** A whole number from 0 (included) to the limit (excluded). */
    below: (limit: number) => number;
}

/**
 * Creates a stream of random numbers.
 *
 * @param seed - any whole number; the same seed gives the same stream
 * @returns the stream
 */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus.xoroshiro128plus(seed);
    return {
        fraction: () => uniformInt.uniformInt(generator, 0, fractionSteps - 1) / fractionSteps,
        below: limit => uniformInt.uniformInt(generator, 0, limit - 1),
    };
};
