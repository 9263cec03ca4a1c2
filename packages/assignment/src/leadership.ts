/** Decides when an instance follows, looks into the store, or asks to lead. */
import * as records from "./records";

/** What an instance does next about the leader. */
export const LeadershipStep = { follow: "follow", read: "read", campaign: "campaign" } as const;

/** One of {@link LeadershipStep}. */
export type LeadershipStepValue = typeof LeadershipStep[keyof typeof LeadershipStep];

/** What the decision depends on; times are on the clock of the instance. */
export interface LeadershipInput {
    now: number;
    /** The newest leader's record; undefined when there is none. */
    leader: records.LeaderRecord | undefined;
    /** Whether the store has been read at all. */
    hasRead: boolean;
    lastReadAt: number;
    /** Time at which the record was first seen as it is, or the leader was last heard. */
    unchangedSince: number;
    /** Whether the leader's messages arrive. */
    isHearing: boolean;
    /** Whether nothing listens at the leader's address any more. */
    isLeaderEnded: boolean;
    /** Address of this instance for its peers. */
    host: string;
    /** Instances of the site: where they are many, each looks into the store less often. */
    instances: number;
    /** A number from 0 to 1 that spreads the instances' looks. */
    readPhase: number;
}

/** Time after which a record that does not change is taken as a leader's loss, in milliseconds: one beat and a half. */
export const leaderSilenceMilliseconds = 1600;
/** Age of a reading that is recent enough to campaign on, in milliseconds. */
const recentMilliseconds = 400;
/** Time between two looks into the store while the leader is not heard, in milliseconds. */
const readIntervalMilliseconds = 350;
/** Instances beyond which the time between an instance's looks grows with their number, up to a factor. */
const fewInstances = 16;
const highestIntervalFactor = 4;

const readInterval = ({ instances, readPhase }: LeadershipInput): number => {
    const factor = Math.min(highestIntervalFactor, Math.max(1, instances / fewInstances));
    return readIntervalMilliseconds * (factor === 1 ? 1 : factor * (0.5 + readPhase));
};

/**
 * Decides.
 *
 * @param input - what is known
 * @returns the next step
 */
export const nextLeadershipStep = (input: LeadershipInput): LeadershipStepValue => {
    const { now, leader } = input;
    if (!input.hasRead) {
        return LeadershipStep.read;
    }
    const isVacant = leader === undefined || leader.isResigned || leader.host === input.host;
    if (!isVacant && input.isHearing) {
        return LeadershipStep.follow;
    }
    const isLost = input.isLeaderEnded || now - input.unchangedSince >= leaderSilenceMilliseconds;
    if (isVacant || isLost) {
        return now - input.lastReadAt < recentMilliseconds ? LeadershipStep.campaign : LeadershipStep.read;
    }
    return now - input.lastReadAt >= readInterval(input) ? LeadershipStep.read : LeadershipStep.follow;
};
