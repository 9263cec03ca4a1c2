/** Exclusive ownership of keys, based on an ordered log with conditional appends. */
export { balance } from "./balance";
export type { BalanceInput, Candidate } from "./balance";
export { createKeyLoad } from "./keyLoad";
export type { KeyLoad } from "./keyLoad";
export { createEmptyAssignment, isSameOwner, keyCount, ownerName, ownerNameWithAddress } from "./keyRange";
export type { KeyRange, Owner, ServiceAssignment } from "./keyRange";
export {
    addLostTerm,
    createLeaderLease,
    leaderLeaseMilliseconds,
    normalKeyLeaseMilliseconds,
    passOnPreviousLeaders,
    previousCommandsEndAt,
    previousLeaderTimes,
    previousLeasesEndAt,
    undisputedMilliseconds,
} from "./leaderLease";
export type { LeaderLease, PreviousLeader, PreviousLeaderTimes } from "./leaderLease";
export {
    campaignDelay,
    claimLeadership,
    isLeaderMissing,
    isSameAddress,
    LeadershipClaim,
    LeadershipStep,
    leaderTimeoutMilliseconds,
    nextLeadershipStep,
    recordStoredBy,
} from "./leadership";
export type {
    LeaderRead,
    LeadershipClaimValue,
    LeadershipInput,
    LeadershipStepValue,
    LeaderSuitability,
} from "./leadership";
export { CommandKind, CommandOutcome } from "./leaseCommands";
export type { CommandOutcomeValue, LeaseCommand } from "./leaseCommands";
export {
    createLeaseManager,
    maxGrantsPerOwner,
    maxReleasesPerOwner,
    renewalIntervalMilliseconds,
} from "./leaseManager";
export type { LeaseManager, RoutingChange } from "./leaseManager";
export { estimateCapacities } from "./ownerCapacity";
export type { MeasuredUpstream } from "./ownerCapacity";
export { initialRangeCount, maxRangeCount, mergeThreshold } from "./rangeCount";
export { commandTimeoutMilliseconds } from "./rangeLease";
export {
    assignmentKey,
    decodeAssignment,
    decodeLeader,
    encodeAssignment,
    encodeLeader,
    isOfOtherEra,
    leaderKey,
    serviceOfKey,
} from "./records";
export type { LeaderRecord, StoredAssignment } from "./records";
export { createRoutingView } from "./routingView";
export type { KeyRoute, RoutingView } from "./routingView";
export { firstTokenAt, renewTokens } from "./tokens";
