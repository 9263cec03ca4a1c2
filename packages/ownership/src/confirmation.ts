/**
 * Quorum rounds in which an instance confirms that a majority of members has the same knowledge as itself.
 *
 * Any two majorities share a member, and a member never returns to older knowledge. Once a round completes, no instance
 * can confirm older knowledge, so leases granted on older knowledge expire within one lease duration of that moment.
 * This holds whether or not the log is reachable.
 */
import type * as ledger from "@mulberryseam/ledger";
import * as knowledge from "./knowledge";

/** A round in which a majority of members agreed. */
export interface ConfirmedRound {
    /** When the round began. Leases granted on the basis of the round run from this instant. */
    beganAt: number;
    /** When the majority was reached. */
    completedAt: number;
    knowledge: knowledge.Knowledge;
}

interface OpenRound {
    beganAt: number;
    knowledge: knowledge.Knowledge;
    /** Identifiers of the members, a majority of which must agree. */
    members: readonly string[];
    /** Whether the log had ended a session when the round began. */
    isEnded: (identifier: ledger.ServerIdentifier) => boolean;
    agreedMembers: Set<string>;
}

/** Configures a round. */
export interface RoundOptions {
    knowledge: knowledge.Knowledge;
    /** Identifiers of the members, a majority of which must agree. */
    members: readonly string[];
    /** Whether the applied log has ended a session. */
    isEnded: (identifier: ledger.ServerIdentifier) => boolean;
}

/** Runs the confirmation rounds of an instance. */
export interface ConfirmationRounds {
    /**
     * Begins a round.
     *
     * @returns the round number that responses must carry
     */
    begin: (now: number, options: RoundOptions) => number;
    /**
     * Records the knowledge of a member. The member agrees if its knowledge equals that of the round, regardless of
     * what this instance has learned since. A member that has applied less of the log could still confirm older
     * knowledge.
     *
     * @returns the confirmed round if this response completes the majority
     */
    recordResponse: (
        roundNumber: number,
        member: string,
        memberKnowledge: knowledge.Knowledge,
        now: number,
    ) => ConfirmedRound | undefined;
    /** Returns the confirmed round that began last. */
    latest: () => ConfirmedRound | undefined;
    /** Returns the members that have agreed to a round so far. */
    agreedMembers: (roundNumber: number) => readonly string[];
}

const maxOpenRounds = 32;

/**
 * Creates the confirmation rounds of an instance. If the instance is a member, it must also record its own response.
 *
 * @returns the confirmation rounds, with none begun
 */
export const createConfirmationRounds = (): ConfirmationRounds => {
    const openRounds = new Map<number, OpenRound>();
    let lastRound = 0;
    let latest: ConfirmedRound | undefined;

    const confirmOnMajority = (round: OpenRound, now: number): ConfirmedRound | undefined => {
        const majority = Math.floor(round.members.length / 2) + 1;
        if (round.members.length === 0 || round.agreedMembers.size !== majority) {
            return undefined;
        }
        const confirmed = { beganAt: round.beganAt, completedAt: now, knowledge: round.knowledge };
        if (latest === undefined || confirmed.beganAt >= latest.beganAt) {
            latest = confirmed;
        }
        return confirmed;
    };

    return {
        begin: (now, options) => {
            lastRound += 1;
            openRounds.set(lastRound, { ...options, beganAt: now, agreedMembers: new Set() });
            for (const round of [...openRounds.keys()].slice(0, -maxOpenRounds)) {
                openRounds.delete(round);
            }
            return lastRound;
        },
        recordResponse: (roundNumber, member, memberKnowledge, now) => {
            const round = openRounds.get(roundNumber);
            if (round === undefined || !round.members.includes(member) || round.agreedMembers.has(member)) {
                return undefined;
            }
            if (!knowledge.isSameKnowledge(memberKnowledge, round.knowledge, round.isEnded)) {
                return undefined;
            }
            round.agreedMembers.add(member);
            return confirmOnMajority(round, now);
        },
        latest: () => latest,
        agreedMembers: roundNumber => [...openRounds.get(roundNumber)?.agreedMembers ?? []],
    };
};
