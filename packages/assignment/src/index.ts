/** Sole ownership of keys through an ordered log with conditional appends. */
export { authorityMilliseconds, createAuthority, earlierLeasesEnd, ordinaryLeaseMilliseconds } from "./authority";
export type { Authority } from "./authority";
export { balance } from "./balance";
export type { BalanceInput, Candidate } from "./balance";
export {
    createKeeper,
    grantTimeoutMilliseconds,
    OrderKind,
    OrderOutcome,
    ordersPerOwner,
    renewalMilliseconds,
} from "./keeper";
export type { Keeper, Order, OrderOutcomeValue, RoutingChange } from "./keeper";
export { createKeyLoad } from "./keyLoad";
export type { KeyLoad } from "./keyLoad";
export { createEmptyAssignment, isSameOwner, keyCount, ownerName } from "./keyRange";
export type { KeyRange, Owner, ServiceAssignment } from "./keyRange";
export { LeadershipStep, leaderSilenceMilliseconds, nextLeadershipStep } from "./leadership";
export type { LeadershipInput, LeadershipStepValue } from "./leadership";
export {
    assignmentKey,
    decodeAssignment,
    decodeLeader,
    encodeAssignment,
    encodeLeader,
    leaderKey,
    serviceOfKey,
} from "./records";
export type { LeaderRecord } from "./records";
export { createRoutingView } from "./routingView";
export type { KeyRoute, RoutingView } from "./routingView";
