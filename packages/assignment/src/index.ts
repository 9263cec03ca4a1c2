/** Sole ownership of keys through an ordered log with conditional appends. */
export {
    authorityMilliseconds,
    createAuthority,
    earlierLeasesEnd,
    earlierOrdersEnd,
    ordinaryLeaseMilliseconds,
} from "./authority";
export type { Authority, EarlierLeader } from "./authority";
export { balance } from "./balance";
export type { BalanceInput, Candidate } from "./balance";
export { grantTimeoutMilliseconds } from "./heldRange";
export { createKeeper, ordersPerOwner, renewalMilliseconds } from "./keeper";
export type { Keeper, RoutingChange } from "./keeper";
export { createKeyLoad } from "./keyLoad";
export type { KeyLoad } from "./keyLoad";
export { OrderKind, OrderOutcome } from "./keyOrders";
export type { Order, OrderOutcomeValue } from "./keyOrders";
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
