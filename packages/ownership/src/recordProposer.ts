/** Proposes records to the log, one at a time: planned changes as leader, leadership claims if no leader is active. */
import type * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import type * as protocol from "@mulberryseam/protocol";
import * as coordinatorContext from "./coordinatorContext";
import * as leadership from "./leadership";
import * as lease from "./lease";
import type * as placement from "./placement";
import * as planner from "./planner";

/** Configures a record proposer. */
export interface RecordProposerOptions {
    /** Appends a record. The promise settles when the outcome is known, successful or not. */
    append: (body: ledger.RecordBody) => Promise<unknown>;
    localLoads: () => protocol.PeerReport["loads"];
    /** Returns the number of the latest round that began before the current renewal interval. */
    previousIntervalRound: () => number;
}

/** Proposes records to the log as leader or as follower. */
export interface RecordProposer {
    /** Plans the next record and appends it, unless another append is pending. */
    proposeNext: () => void;
    /** Marks that the log has been read to its end, which allows leadership claims. */
    markLogCaughtUp: () => void;
    /** Records a report from the leader or a change of leader. */
    recordLeaderActivity: () => void;
    /** Sets the rank of this instance among the listed instances, any of which could found the membership. */
    setFounderRank: (rank: number) => void;
}

const memberTimeoutMilliseconds = 3000;
const balanceIntervalMilliseconds = 2000;

/**
 * Creates the record proposer of an instance.
 *
 * @param context - the shared state of the instance
 * @param options - the functions that the proposer calls
 * @returns the record proposer
 */
export const createRecordProposer = (
    context: coordinatorContext.CoordinatorContext,
    options: RecordProposerOptions,
): RecordProposer => {
    const { timers, directory, detector, rounds, identifier } = context;
    let isLogCaughtUp = false;
    let isAppending = false;
    let lastLeaderActivityAt = context.startedAt;
    let lastBalancedAt = context.startedAt;
    let founderRank = 0;

    const loadsOf = (service: string): placement.SlotLoad[] => {
        const sums = new Map<number, number>();
        const recentReports = directory.reportsWithin(timers.now(), coordinatorContext.heartbeatTimeoutMilliseconds);
        const loads = [...options.localLoads(), ...recentReports.flatMap(entry => entry.report.loads)];
        for (const load of loads.filter(entry => entry.service === service)) {
            sums.set(load.slot, (sums.get(load.slot) ?? 0) + load.requestsPerSecond);
        }
        return [...sums].map(([slot, requestsPerSecond]) => ({ slot, requestsPerSecond }));
    };

    const unavailableMembers = (state: ledger.LogState): string[] => {
        const now = timers.now();
        const leaving = directory.reportsWithin(now, coordinatorContext.heartbeatTimeoutMilliseconds)
            .filter(received => received.report.isLeaving)
            .map(received => ledger.memberIdentifier(received.report));
        const isUnavailable = (member: ledger.LogState["members"][number]): boolean => {
            const lastReportAt = directory.lastReportAt(ledger.memberIdentifier(member)) ?? context.startedAt;
            const isUnresponsive = now - lastReportAt > memberTimeoutMilliseconds;
            return isUnresponsive || directory.terminatedSince(member, now) !== undefined
                || leaving.includes(ledger.memberIdentifier(member));
        };
        return state.members.filter(isUnavailable).map(ledger.memberIdentifier).filter(member => member !== identifier);
    };

    const isTerminated = (member: ledger.LogState["members"][number]): boolean => {
        const terminatedSince = directory.terminatedSince(member, timers.now());
        const leaseWait = lease.leaseExpiryWaitMilliseconds(context.lease().durationMilliseconds);
        return terminatedSince !== undefined && timers.now() - terminatedSince > leaseWait;
    };

    // A terminated member can no longer agree to any round, so its agreement is not required once the last leases that
    // it granted have expired.
    const isConfirmedByRemainingMembers = (state: ledger.LogState): boolean => {
        const agreedMembers = rounds.agreedMembers(options.previousIntervalRound());
        return state.members.every(member => {
            return isTerminated(member) || agreedMembers.includes(ledger.memberIdentifier(member));
        });
    };

    const areMembersConfirmed = (state: ledger.LogState): boolean => {
        const latest = rounds.latest();
        const isByMajority = latest !== undefined && latest.knowledge.offset >= state.membersVersion
            && timers.now() - latest.beganAt < context.lease().durationMilliseconds;
        return isByMajority || isConfirmedByRemainingMembers(state);
    };

    const observedServers = (): planner.ObservedServer[] => {
        const now = timers.now();
        return context.keyedUpstreams()
            .map(upstream => detector.latest(upstream.name))
            .filter(observation => observation !== undefined)
            .filter(observation => now - observation.respondedAt < context.suspicionTimeoutMilliseconds())
            .map(observation => ({
                name: observation.server,
                incarnation: observation.incarnation,
                isDraining: observation.isDraining,
            }));
    };

    const planAsLeader = (
        state: ledger.LogState,
        environment: configuration.Environment,
    ): ledger.RecordBody | undefined => {
        const now = timers.now();
        const isBalancingAllowed = now - lastBalancedAt >= balanceIntervalMilliseconds;
        if (isBalancingAllowed) {
            lastBalancedAt = now;
        }
        return planner.planNext({
            state,
            environment,
            liveInstances: context.liveInstances(),
            unavailableMembers: unavailableMembers(state),
            observedServers: observedServers(),
            expiredSessions: context.knowledge().lapses,
            loadsOf,
            isBalancingAllowed,
            areMembersConfirmed: areMembersConfirmed(state),
        });
    };

    const planAsFollower = (state: ledger.LogState): ledger.RecordBody | undefined => {
        const canClaim = isLogCaughtUp && !context.isLeaving();
        if (!canClaim) {
            return undefined;
        }
        const liveIdentifiers = context.liveInstances().map(ledger.memberIdentifier);
        return leadership.planClaim({
            state,
            self: context.self,
            now: timers.now(),
            liveMembers: state.members.map(ledger.memberIdentifier).filter(member => liveIdentifiers.includes(member)),
            areAllMembersTerminated: state.members.every(isTerminated),
            lastLeaderActivityAt,
            founderRank,
        });
    };

    const planRecord = (state: ledger.LogState): ledger.RecordBody | undefined => {
        if (state.leader !== identifier) {
            return planAsFollower(state);
        }
        const environment = context.environments.current()?.environment;
        return environment === undefined ? undefined : planAsLeader(state, environment);
    };

    return {
        proposeNext: () => {
            const state = context.state();
            if (state === undefined || isAppending) {
                return;
            }
            const body = planRecord(state);
            if (body !== undefined) {
                isAppending = true;
                void options.append(body).finally(() => {
                    isAppending = false;
                });
            }
        },
        markLogCaughtUp: () => {
            isLogCaughtUp = true;
        },
        recordLeaderActivity: () => {
            lastLeaderActivityAt = timers.now();
        },
        setFounderRank: rank => {
            founderRank = rank;
        },
    };
};
