/** Stable hashes of text, identical in every process and version. */
import murmurhash from "murmurhash";

/**
 * Hashes text to an unsigned 32-bit number.
 *
 * @param text - the text to hash
 * @param seed - selects one of several independent hash functions
 * @returns an integer from 0 to 2^32 - 1
 */
export const hashText = (text: string, seed = 0): number => murmurhash.v3(text, seed);

/**
 * Ranks candidates for an item by rendezvous hashing. Removing a candidate moves only the items that ranked it first.
 *
 * @param item - the item to assign
 * @param candidates - candidate names, in any order
 * @returns the candidates, most preferred first
 */
export const rendezvousOrder = (item: string, candidates: readonly string[]): string[] => {
    const scored = candidates.map(name => ({ name, score: hashText(`${item}|${name}`) }));
    scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
    return scored.map(candidate => candidate.name);
};
