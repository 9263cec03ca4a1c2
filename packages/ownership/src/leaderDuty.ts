/** What an instance does to lead: claim when nobody leads, and append one planned record at a time. */
import type * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import type * as protocol from "@mulberryseam/protocol";
import * as coordinatorContext from "./coordinatorContext";
import * as leadership from "./leadership";
import * as lease from "./lease";
import type * as placement from "./placement";
import * as planner from "./planner";

/** Means by which the duty is done. */
export interface LeaderDutyOptions {
    /** Appends a record; settles when its outcome is known, whatever it is. */
    append: (body: ledger.RecordBody) => Promise<unknown>;
    ownLoads: () => protocol.PeerReport["loads"];
    /** Number of the round before the last one begun. */
    lastFullRound: () => number;
}

/** Leads, or waits to. */
export interface LeaderDuty {
    /** Looks whether a record should be appended now. */
    look: () => void;
    /** The end of the log has been reached, so claims may be made. */
    takeLogReached: () => void;
    /** The leader was heard, or another one leads. */
    takeLeaderSign: () => void;
    /** Sets the place of this instance among those that could found the membership. */
    setFounderRank: (rank: number) => void;
}

const memberSilenceMilliseconds = 3000;
const balanceIntervalMilliseconds = 2000;

/**
 * Creates the duty of a leader.
 *
 * @param context - state of the instance
 * @param options - means by which the duty is done
 * @returns the duty
 */
export const createLeaderDuty = (
    context: coordinatorContext.CoordinatorContext,
    options: LeaderDutyOptions,
): LeaderDuty => {
    const { timers, directory, detector, confirmation, identifier } = context;
    let isLogReached = false;
    let isAppending = false;
    let leaderHeardAt = context.startedAt;
    let balancedAt = context.startedAt;
    let founderRank = 0;

    const loadsOf = (service: string): placement.SlotLoad[] => {
        const sums = new Map<number, number>();
        const heard = directory.heardWithin(timers.now(), coordinatorContext.heartbeatSilenceMilliseconds);
        const all = [...options.ownLoads(), ...heard.flatMap(entry => entry.report.loads)];
        for (const load of all.filter(entry => entry.service === service)) {
            sums.set(load.slot, (sums.get(load.slot) ?? 0) + load.requestsPerSecond);
        }
        return [...sums].map(([slot, requestsPerSecond]) => ({ slot, requestsPerSecond }));
    };

    const goneMembers = (state: ledger.LogState): string[] => {
        const now = timers.now();
        const leaving = directory.heardWithin(now, coordinatorContext.heartbeatSilenceMilliseconds)
            .filter(heard => heard.report.isLeaving)
            .map(heard => ledger.memberIdentifier(heard.report));
        const isGone = (member: ledger.LogState["members"][number]): boolean => {
            const heardAt = directory.lastHeard(ledger.memberIdentifier(member)) ?? context.startedAt;
            const isSilent = now - heardAt > memberSilenceMilliseconds;
            return isSilent || directory.endedSince(member, now) !== undefined
                || leaving.includes(ledger.memberIdentifier(member));
        };
        return state.members.filter(isGone).map(ledger.memberIdentifier).filter(member => member !== identifier);
    };

    const hasEnded = (member: ledger.LogState["members"][number]): boolean => {
        const endedSince = directory.endedSince(member, timers.now());
        const wait = lease.waitOutMilliseconds(context.lease().durationMilliseconds);
        return endedSince !== undefined && timers.now() - endedSince > wait;
    };

    // A member that has ended for certain can agree to nothing any more, old or new, once its last leases are out.
    const isConfirmedBySurvivors = (state: ledger.LogState): boolean => {
        const agreed = confirmation.agreedTo(options.lastFullRound());
        return state.members.every(member => {
            return hasEnded(member) || agreed.includes(ledger.memberIdentifier(member));
        });
    };

    const areMembersConfirmed = (state: ledger.LogState): boolean => {
        const latest = confirmation.latest();
        const isByMajority = latest !== undefined && latest.knowledge.offset >= state.membersVersion
            && timers.now() - latest.beganAt < context.lease().durationMilliseconds;
        return isByMajority || isConfirmedBySurvivors(state);
    };

    const sightings = (): planner.ServerSighting[] => {
        const now = timers.now();
        return context.keyedUpstreams()
            .map(upstream => detector.latest(upstream.name))
            .filter(seen => seen !== undefined)
            .filter(seen => now - seen.answeredAt < context.suspicionMilliseconds())
            .map(seen => ({ name: seen.server, incarnation: seen.incarnation, isDraining: seen.isDraining }));
    };

    const planAsLeader = (
        state: ledger.LogState,
        environment: configuration.Environment,
    ): ledger.RecordBody | undefined => {
        const now = timers.now();
        const mayBalance = now - balancedAt >= balanceIntervalMilliseconds;
        if (mayBalance) {
            balancedAt = now;
        }
        return planner.planNext({
            state,
            environment,
            liveInstances: context.liveInstances(),
            goneMembers: goneMembers(state),
            sightings: sightings(),
            lapses: context.knowledge().lapses,
            loadsOf,
            mayBalance,
            areMembersConfirmed: areMembersConfirmed(state),
        });
    };

    const planAsFollower = (state: ledger.LogState): ledger.RecordBody | undefined => {
        const mayClaim = isLogReached && !context.isLeaving();
        if (!mayClaim) {
            return undefined;
        }
        const live = context.liveInstances().map(ledger.memberIdentifier);
        return leadership.planClaim({
            state,
            self: context.self,
            now: timers.now(),
            liveMembers: state.members.map(ledger.memberIdentifier).filter(member => live.includes(member)),
            haveAllMembersEnded: state.members.every(hasEnded),
            leaderHeardAt,
            founderRank,
        });
    };

    const plan = (state: ledger.LogState): ledger.RecordBody | undefined => {
        if (state.leader !== identifier) {
            return planAsFollower(state);
        }
        const environment = context.inForce.current()?.environment;
        return environment === undefined ? undefined : planAsLeader(state, environment);
    };

    return {
        look: () => {
            const state = context.state();
            if (state === undefined || isAppending) {
                return;
            }
            const body = plan(state);
            if (body !== undefined) {
                isAppending = true;
                void options.append(body).finally(() => {
                    isAppending = false;
                });
            }
        },
        takeLogReached: () => {
            isLogReached = true;
        },
        takeLeaderSign: () => {
            leaderHeardAt = timers.now();
        },
        setFounderRank: rank => {
            founderRank = rank;
        },
    };
};
