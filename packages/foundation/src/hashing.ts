/** Stable hashes of text, the same in every process and version. */
import murmurhash from "murmurhash";

/**
 * Hashes text to an unsigned 32-bit number.
 *
 * @param text - the text to hash
 * @param seed - distinguishes independent uses of the hash
 * @returns a number from 0 to 2^32 - 1
 */
export const hashText = (text: string, seed = 0): number => murmurhash.v3(text, seed);

/**
 * Orders candidates for an item by rendezvous hashing: removing a candidate moves only the items it was first for.
 *
 * @param item - the item to place
 * @param candidates - names of candidates, in any order
 * @returns the candidates, the preferred one first
 */
export const rendezvousOrder = (item: string, candidates: readonly string[]): string[] => {
    const scored = candidates.map(name => ({ name, score: hashText(`${item}|${name}`) }));
    scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
    return scored.map(entry => entry.name);
};
