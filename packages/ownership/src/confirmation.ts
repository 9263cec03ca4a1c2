/**
 * Rounds in which an instance learns from a majority of members that each of them knows just what it does.
 *
 * A majority that has adopted some knowledge shares a member with every later majority. So once a round with that
 * knowledge completes, no instance can confirm older knowledge, and leases granted on older knowledge end within one
 * lease of that moment. This holds whether the log can be reached or not.
 */
import type * as ledger from "@mulberryseam/ledger";
import * as knowledge from "./knowledge";

/** A round that a majority has answered. */
export interface ConfirmedRound {
    /** When the round began; a lease granted on its strength is counted from here. */
    beganAt: number;
    /** When the majority was complete. */
    completedAt: number;
    knowledge: knowledge.Knowledge;
}

interface OpenRound {
    beganAt: number;
    knowledge: knowledge.Knowledge;
    /** Members whose majority is asked, by identifier. */
    members: readonly string[];
    /** Tells which sessions the log had ended when the round began. */
    isEnded: (identifier: ledger.ServerIdentifier) => boolean;
    agreed: Set<string>;
}

/** What a round asks. */
export interface RoundQuestion {
    knowledge: knowledge.Knowledge;
    /** Identifiers of the members whose majority is asked. */
    members: readonly string[];
    /** Tells which sessions the folded log has ended. */
    isEnded: (identifier: ledger.ServerIdentifier) => boolean;
}

/** Keeps rounds of confirmation. */
export interface Confirmation {
    /**
     * Begins a round.
     *
     * @returns the number that answers must carry
     */
    begin: (now: number, question: RoundQuestion) => number;
    /**
     * Takes what a member knows. It agrees when that is just what the round asked, whatever has been learned since: a
     * member that has not folded as much cannot vouch that it will refuse older knowledge.
     *
     * @returns the round, when this answer completes the majority
     */
    takeAnswer: (round: number, member: string, theirs: knowledge.Knowledge, now: number) => ConfirmedRound | undefined;
    /** The confirmed round that began last. */
    latest: () => ConfirmedRound | undefined;
    /** Members that agreed to the given round so far. */
    agreedTo: (round: number) => readonly string[];
}

const openRoundLimit = 32;

/**
 * Creates the rounds of one instance. A member also counts its own agreement, which the caller hands in.
 *
 * @returns rounds, none begun
 */
export const createConfirmation = (): Confirmation => {
    const open = new Map<number, OpenRound>();
    let lastRound = 0;
    let latest: ConfirmedRound | undefined;

    const complete = (round: OpenRound, now: number): ConfirmedRound | undefined => {
        const majority = Math.floor(round.members.length / 2) + 1;
        if (round.members.length === 0 || round.agreed.size !== majority) {
            return undefined;
        }
        const confirmed = { beganAt: round.beganAt, completedAt: now, knowledge: round.knowledge };
        if (latest === undefined || confirmed.beganAt >= latest.beganAt) {
            latest = confirmed;
        }
        return confirmed;
    };

    return {
        begin: (now, question) => {
            lastRound += 1;
            open.set(lastRound, { ...question, beganAt: now, agreed: new Set() });
            for (const round of [...open.keys()].slice(0, -openRoundLimit)) {
                open.delete(round);
            }
            return lastRound;
        },
        takeAnswer: (number, member, theirs, now) => {
            const round = open.get(number);
            if (round === undefined || !round.members.includes(member) || round.agreed.has(member)) {
                return undefined;
            }
            if (!knowledge.isSameKnowledge(theirs, round.knowledge, round.isEnded)) {
                return undefined;
            }
            round.agreed.add(member);
            return complete(round, now);
        },
        latest: () => latest,
        agreedTo: number => [...open.get(number)?.agreed ?? []],
    };
};
