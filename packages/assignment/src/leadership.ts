/** Decides when an instance follows the leader, reads the store, or campaigns for leadership. */
import * as records from "./records";

/** Next action of an instance that does not lead. */
export const LeadershipStep = { follow: "follow", read: "read", campaign: "campaign" } as const;

/** One of {@link LeadershipStep}. */
export type LeadershipStepValue = typeof LeadershipStep[keyof typeof LeadershipStep];

/** Input of {@link nextLeadershipStep}; times are on the clock of the instance. */
export interface LeadershipInput {
    now: number;
    /** The latest leader record; undefined if there is none. */
    leader: records.LeaderRecord | undefined;
    /** Whether the store has been read at least once. */
    hasRead: boolean;
    lastReadAt: number;
    /** Time by which the record was stored; see {@link recordStoredBy}. */
    unchangedSince: number;
    /**
     * Whether another leader than that of the record, or any at all if there is none, may have led before the store returned from an older
     * copy. It may still live and store its record again.
     */
    isLeaderUncertain: boolean;
    /** Whether messages of the leader are arriving. */
    isReceivingUpdates: boolean;
    /** Whether the leader's address refused a connection or responded that it does not lead; it may still send commands. */
    isLeaderUnavailable: boolean;
    /** Address at which peers reach this instance. A leader recorded with it is a terminated process, as only one can listen there. */
    host: string;
    port: number;
    /** Number of instances of the site; the more there are, the less often each one reads the store. */
    instanceCount: number;
    /** Number from 0 to 1 that spreads the reads of different instances over time. */
    readPhase: number;
    /** Time since which the instance has known that there is no leader; undefined if it has not. */
    missingSince: number | undefined;
    /** Time for which it leaves the leadership to others then; see {@link campaignDelay}. */
    campaignDelayMilliseconds: number;
}

/** How well an instance would bear the duties of a leader. */
export interface LeaderSuitability {
    /** Processor time a second, in seconds of a typical core. */
    processorCores: number;
    linkMegabitsPerSecond: number;
    /** Shortest round trip to the store, in milliseconds; undefined before the first one. */
    storeRoundTripMilliseconds: number | undefined;
}

/** Processor and link of an instance that easily renews the leases of some hundred ranges. */
const suitableCores = 0.5;
const suitableMegabitsPerSecond = 50;
/** Round trip to a store in another region: a leader there pays for every read and append. */
const remoteStoreMilliseconds = 20;
/** Delays of an instance with too little processor time or a slow link, and of one that is far from the store, in milliseconds. */
const weakDelayMilliseconds = 300;
const remoteDelayMilliseconds = 150;

/**
 * Returns for how long an instance leaves the leadership to others that are better suited, in milliseconds: longer than these need to
 * read the store and to append a record.
 *
 * @param suitability - what the instance and its path to the store bear
 * @returns the delay
 */
export const campaignDelay = (suitability: LeaderSuitability): number => {
    const isWeak = suitability.processorCores < suitableCores
        || suitability.linkMegabitsPerSecond < suitableMegabitsPerSecond;
    const isRemote = (suitability.storeRoundTripMilliseconds ?? 0) >= remoteStoreMilliseconds;
    return (isWeak ? weakDelayMilliseconds : 0) + (isRemote ? remoteDelayMilliseconds : 0);
};

/** What a leader record in the store says about the leadership of an instance that leads. */
export const LeadershipClaim = {
    /** It is the record of the instance. */
    confirmed: "confirmed",
    /** The record of the instance is lost, and no other instance can have changed an assignment: it stores its records again. */
    reclaimable: "reclaimable",
    /** Another instance leads, or may have led. */
    lost: "lost",
} as const;

/** One of {@link LeadershipClaim}. */
export type LeadershipClaimValue = typeof LeadershipClaim[keyof typeof LeadershipClaim];

/**
 * Decides whether an instance goes on leading after it has read the store.
 *
 * @param own - its last leader record
 * @param stored - the leader record in the store; undefined if there is none
 * @param era - era of the store
 * @param isUndisputed - whether the store's last confirmation of the leadership is so recent that no successor can have changed an assignment
 * @returns the claim to the leadership
 */
export const claimLeadership = (
    own: records.LeaderRecord,
    stored: records.LeaderRecord | undefined,
    era: number,
    isUndisputed: boolean,
): LeadershipClaimValue => {
    const isOwn = stored?.identifier === own.identifier && stored.term === own.term;
    if (stored !== undefined && !records.isOfOtherEra(stored, era)) {
        return isOwn ? LeadershipClaim.confirmed : LeadershipClaim.lost;
    }
    const isSucceeded = stored !== undefined && !isOwn && stored.term >= own.term;
    return isUndisputed && !isSucceeded ? LeadershipClaim.reclaimable : LeadershipClaim.lost;
};

/** A read of the leader record; times are on the clock of the reader. */
export interface LeaderRead {
    leader: records.LeaderRecord | undefined;
    endedAt: number;
    /** When the store confirmed this record, as reported by the leader; undefined if unknown. */
    confirmedAt: number | undefined;
}

/**
 * Returns the time by which a leader record was stored. Its leader may have sent it at any time until the read that first
 * returned it ended: a read takes time, and the record may have been appended meanwhile.
 *
 * @param previous - the record that was known before, and the time by which it was stored
 * @param read - the newest read
 * @returns a time on the clock of the reader
 */
export const recordStoredBy = (
    previous: { leader: records.LeaderRecord | undefined; storedBy: number; },
    { leader, endedAt, confirmedAt }: LeaderRead,
): number => {
    const isUnchanged = leader?.identifier === previous.leader?.identifier && leader?.beat === previous.leader?.beat
        && leader?.term === previous.leader?.term && leader?.era === previous.leader?.era;
    return isUnchanged ? previous.storedBy : Math.min(endedAt, confirmedAt ?? endedAt);
};

/**
 * Time without a change of the leader record after which the leader counts as lost, in milliseconds: one and a half
 * intervals between its records.
 */
export const leaderTimeoutMilliseconds = 1600;
/** Maximum age of the last read for a campaign, in milliseconds. */
const maxReadAgeMilliseconds = 400;
/** Time between reads of the store while no messages of the leader arrive, in milliseconds. */
const readIntervalMilliseconds = 350;
/** Number of instances above which the read interval grows in proportion to their number. */
const maxFullRateInstances = 16;
/** Maximum factor by which the read interval grows. */
const maxIntervalFactor = 4;

const readInterval = ({ instanceCount, readPhase }: LeadershipInput): number => {
    const factor = Math.min(maxIntervalFactor, Math.max(1, instanceCount / maxFullRateInstances));
    return readIntervalMilliseconds * (factor === 1 ? 1 : factor * (0.5 + readPhase));
};

/**
 * Whether a leader record was written at an address.
 *
 * @param leader - the record; undefined if there is none
 * @param address - where peers reach an instance
 * @returns whether the address is that of the record
 */
export const isSameAddress = (
    leader: records.LeaderRecord | undefined,
    address: Pick<records.LeaderRecord, "host" | "port">,
): boolean => leader !== undefined && leader.host === address.host && leader.port === address.port;

/**
 * Whether an instance knows that there is no leader, or that it is lost.
 *
 * @param input - state of the leader as the instance knows it
 * @returns false before the first read of the store
 */
export const isLeaderMissing = (input: LeadershipInput): boolean => {
    const { now, leader, isLeaderUncertain } = input;
    const isVacant = !isLeaderUncertain
        && (leader === undefined || leader.isResigned || isSameAddress(leader, input));
    const isLost = (input.isLeaderUnavailable && !isLeaderUncertain)
        || now - input.unchangedSince >= leaderTimeoutMilliseconds;
    return input.hasRead && (isVacant || (isLost && !input.isReceivingUpdates));
};

/**
 * Decides the next action of an instance that does not lead.
 *
 * @param input - state of the leader as the instance knows it
 * @returns the next step
 */
export const nextLeadershipStep = (input: LeadershipInput): LeadershipStepValue => {
    const { now, lastReadAt } = input;
    if (!input.hasRead) {
        return LeadershipStep.read;
    }
    if (isLeaderMissing(input)) {
        const isLeftToOthers = now - (input.missingSince ?? now) < input.campaignDelayMilliseconds;
        if (now - lastReadAt >= maxReadAgeMilliseconds) {
            return LeadershipStep.read;
        }
        return isLeftToOthers ? LeadershipStep.follow : LeadershipStep.campaign;
    }
    if (input.isReceivingUpdates) {
        return LeadershipStep.follow;
    }
    return now - lastReadAt >= readInterval(input) ? LeadershipStep.read : LeadershipStep.follow;
};
