/** Decides when an instance claims leadership. The log resolves competing claims; delays only make them rare. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";

/** Input of the decision whether to claim leadership. */
export interface ClaimInput {
    state: ledger.LogState;
    self: ledger.Member;
    now: number;
    /** Identifiers of the responsive members, including this instance if it is a member. */
    liveMembers: readonly string[];
    /** Whether every member is known to have terminated and its leases have expired. True if there are no members. */
    areAllMembersTerminated: boolean;
    /** When the leader last sent a report or changed, or when this instance started. */
    lastLeaderActivityAt: number;
    /** Rank of this instance, by name, among the listed instances, any of which could found the membership. */
    founderRank: number;
}

const leaderTimeoutMilliseconds = 1000;
const claimDelayPerRankMilliseconds = 400;

/**
 * Plans a leadership claim.
 *
 * @param input - the state that the decision depends on
 * @returns the claim to append, or undefined if this instance leads already or should not claim yet
 */
export const planClaim = (input: ClaimInput): ledger.RecordBody | undefined => {
    const { state, self } = input;
    const identifier = ledger.memberIdentifier(self);
    if (state.leader === identifier) {
        return undefined;
    }
    const isFounding = input.areAllMembersTerminated;
    if (!isFounding && !input.liveMembers.includes(identifier)) {
        return undefined;
    }
    const claimOrder = foundation.rendezvousOrder(`term ${state.term + 1}`, input.liveMembers);
    const rank = isFounding ? input.founderRank : claimOrder.indexOf(identifier);
    const inactiveMilliseconds = input.now - input.lastLeaderActivityAt;
    const isDue = inactiveMilliseconds >= leaderTimeoutMilliseconds + rank * claimDelayPerRankMilliseconds;
    return isDue
        ? { kind: ledger.RecordKind.claim, term: state.term + 1, member: self, founds: isFounding }
        : undefined;
};
