/** Mapping of keys to slots. */
import * as foundation from "@mulberryseam/foundation";

/**
 * Returns the slot of a key.
 *
 * @param key - the key
 * @param slotCount - number of slots of the service
 * @returns a number from 0 to `slotCount - 1`
 */
export const slotOf = (key: string, slotCount: number): number => foundation.hashText(key) % slotCount;
