/** Decides when an instance claims to lead. The log settles competing claims; this only keeps them rare. */
import * as foundation from "@mulberryseam/foundation";
import * as ledger from "@mulberryseam/ledger";

/** What the decision rests on. */
export interface LeadershipView {
    state: ledger.LogState;
    self: ledger.Member;
    now: number;
    /** Identifiers of the members that answer, the own one included where it is a member. */
    liveMembers: readonly string[];
    /** Whether every member has ended for certain and its leases are out; true where there are none. */
    haveAllMembersEnded: boolean;
    /** When the leader was last heard from, or when the instance began to listen. */
    leaderHeardAt: number;
    /** Place of the instance among all that could found the membership. */
    founderRank: number;
}

const leaderSilenceMilliseconds = 1000;
const rankDelayMilliseconds = 400;

/**
 * Plans a claim.
 *
 * @param view - what the decision rests on
 * @returns the claim to append, or undefined when another leads or should claim first
 */
export const planClaim = (view: LeadershipView): ledger.RecordBody | undefined => {
    const { state, self } = view;
    const identifier = ledger.memberIdentifier(self);
    if (state.leader === identifier) {
        return undefined;
    }
    const isFounding = view.haveAllMembersEnded;
    if (!isFounding && !view.liveMembers.includes(identifier)) {
        return undefined;
    }
    const order = foundation.rendezvousOrder(`term ${state.term + 1}`, view.liveMembers);
    const rank = isFounding ? view.founderRank : order.indexOf(identifier);
    const silence = view.now - view.leaderHeardAt;
    const isDue = silence >= leaderSilenceMilliseconds + rank * rankDelayMilliseconds;
    return isDue
        ? { kind: ledger.RecordKind.claim, term: state.term + 1, member: self, founds: isFounding }
        : undefined;
};
