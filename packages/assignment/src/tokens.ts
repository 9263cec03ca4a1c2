/**
 * Fencing tokens across returns of the store from an older copy. A token has its era as its highest part, so that the first token of an era is
 * higher than those that were given out before.
 */
import * as keyRange from "./keyRange";

/** Tokens of an era: more than an era has records, times the tokens that one of them may use. */
const tokensPerEra = 2 ** 40;

/**
 * Returns a token that is higher than all that can have been given out before an append, even if the records that contain them are lost. No
 * append uses more tokens than there are keys, and each one has a record at least.
 *
 * @param era - era in which the append takes effect
 * @param offset - offset at which it does
 * @returns the token
 */
export const firstTokenAt = ({ era, offset }: { era: number; offset: number; }): number =>
    1 + era * tokensPerEra + offset * keyRange.keyCount;

/**
 * Returns an assignment with the owners of one whose later changes may be lost, once no owner that it does not name can hold keys.
 *
 * @param assignment - the outdated assignment
 * @param firstToken - first of the new tokens
 * @returns the assignment, with a new token for each range
 */
export const renewTokens = (
    { service, ranges }: keyRange.ServiceAssignment,
    firstToken: number,
): keyRange.ServiceAssignment => ({
    service,
    nextToken: firstToken + ranges.length,
    ranges: ranges.map((range, index) => ({ ...range, token: firstToken + index, previousOwner: undefined })),
});
