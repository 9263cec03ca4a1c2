/**
 * The work of the leader: commits key assignments to the store, applies them through leases, and broadcasts the
 * resulting routing.
 */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import type * as routing from "@mulberryseam/routing";
import type * as campaign from "./campaign";
import * as leaseCommandSender from "./leaseCommandSender";
import * as leavingUpstreams from "./leavingUpstreams";
import * as ownershipReader from "./ownershipReader";
import * as ownershipWriter from "./ownershipWriter";
import * as servicePlanner from "./servicePlanner";
import type * as storeReturns from "./storeReturns";

/** Dependencies and limits of a leader session. */
export interface LeaderSessionOptions {
    store: platform.StoreClient;
    leaseClient: platform.LeaseClient;
    directory: routing.UpstreamDirectory;
    leaving: leavingUpstreams.LeavingUpstreams;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    /** This instance's leader record, as appended to the topic. */
    record: assignment.LeaderRecord;
    snapshot: ownershipReader.OwnershipSnapshot;
    previousLeaders: assignment.PreviousLeaderTimes;
    /** The append of the record. */
    confirmation: campaign.LeadershipConfirmation;
    maxLeaseMilliseconds: number;
    /** Names of the keyed services in the document in force. */
    keyedServices: () => string[];
    /** Whether an upstream of a service may own keys, as far as its place decides that. */
    mayOwnKeys: (service: string, upstream: routing.Upstream) => boolean;
    /** Returns the requests a second that an upstream tolerates while it is cold; undefined if nothing limits them. */
    toleratedPerSecond?: (upstream: routing.Upstream) => number | undefined;
    /** Whether the evacuations are known as they were a short time ago. */
    areEvacuationsRecent: () => boolean;
    /** Whether operators and upstreams have had the time to write again what was lost before the era. */
    areTopicsSettled: () => boolean;
    storeReturns: Pick<storeReturns.StoreReturns, "onStoredAgain">;
    /** Sends a message to every follower and applies it on this instance. */
    broadcast: (message: protocol.RoutingMessage) => void;
    /** Called when another instance has become leader and this session has stopped. */
    onSuperseded: () => void;
}

/** The work of one term of leadership. */
export interface LeaderSession {
    /** Runs all work that is due; called every few tens of milliseconds. */
    tick: () => void;
    onReport: (report: protocol.FollowerReport) => void;
    /** Plans the assignment anew at the next {@link LeaderSession.tick}. */
    planNow: () => void;
    /** Number of keys whose owner is counted. */
    ownedKeyCount: (isCounted: (owner: assignment.Owner) => boolean) => number;
    /** Messages with the routing of every key, sent to a follower when it joins. */
    routingMessages: () => protocol.RoutingMessage[];
    /** Resigns leadership, so that a successor need not wait for the leader lease to expire. */
    resign: () => Promise<void>;
    term: number;
    /** Era of the store in which this instance leads. */
    era: () => number;
    /** Number of the last leader record that the store has acknowledged. */
    acknowledgedRecordNumber: () => number;
    /** Time since the store last confirmed this leadership, in milliseconds. */
    confirmationAge: () => number;
}

/** Interval between rebalancing passes, in milliseconds. */
const rebalanceIntervalMilliseconds = 500;
/** Maximum interval between leader records, in milliseconds. */
const recordIntervalMilliseconds = 800;
/** Delay after a failed store call, in milliseconds. */
const retryDelayMilliseconds = 200;
/** Maximum wait for an append in flight before resigning, in milliseconds. */
const maxResignWaitMilliseconds = 600;
const resignPollMilliseconds = 20;
/** Weight of a new measurement in an upstream's average service time. */
const serviceTimeSmoothing = 0.3;

/**
 * Creates the message that sends routing changes to followers.
 *
 * @param service - name of the service
 * @param changes - ranges with their owners and tokens
 * @returns the message, which lists each owner once
 */
export const createRoutingMessage = (
    service: string,
    changes: readonly assignment.RoutingChange[],
): protocol.RoutingMessage => {
    const indexes = new Map<string, number>();
    const owners: assignment.Owner[] = [];
    const ownerIndex = (owner: assignment.Owner | undefined): number => {
        if (owner === undefined) {
            return -1;
        }
        const name = assignment.ownerName(owner);
        const index = indexes.get(name) ?? owners.push(owner) - 1;
        indexes.set(name, index);
        return index;
    };
    return {
        kind: "routing",
        service,
        changes: changes.map(({ first, last, token, owner }) => ({ first, last, token, owner: ownerIndex(owner) })),
        owners,
    };
};

const applySnapshot = (
    services: Map<string, servicePlanner.KeyedService>,
    snapshot: ownershipReader.OwnershipSnapshot,
    previousLeasesUntil: number,
): void => {
    for (const [name, stored] of snapshot.assignments) {
        servicePlanner.findOrCreate(services, name).leaseManager.setAssignment(stored, previousLeasesUntil);
    }
};

const setPendingPlans = (
    services: Map<string, servicePlanner.KeyedService>,
    plans: readonly assignment.ServiceAssignment[],
): void =>
    services.forEach(({ leaseManager }, name) =>
        leaseManager.setPendingAssignment(plans.find(plan => plan.service === name))
    );

const broadcastChanges = (
    { broadcast }: LeaderSessionOptions,
    service: string,
    leaseManager: assignment.LeaseManager,
): void => {
    const changes = leaseManager.drainChanges();
    if (changes.length > 0) {
        broadcast(createRoutingMessage(service, changes));
    }
};

/** Records the requested keys and the service times that a follower reports. */
const recordLoad = (
    { samples, speeds }: protocol.FollowerReport,
    services: ReadonlyMap<string, servicePlanner.KeyedService>,
    serviceTimes: Map<string, number>,
): void => {
    for (const { service, keys, weight } of samples) {
        const keyedService = services.get(service);
        keys.forEach(key => keyedService?.load.add(key, weight));
    }
    for (const [identifier, milliseconds] of speeds) {
        const previous = serviceTimes.get(identifier) ?? milliseconds;
        serviceTimes.set(identifier, previous + (milliseconds - previous) * serviceTimeSmoothing);
    }
};

/**
 * Starts a leader session.
 *
 * @param options - dependencies and limits
 * @returns the session; the caller drives it by {@link LeaderSession.tick}
 */
export const createLeaderSession = (options: LeaderSessionOptions): LeaderSession => {
    const { timers, log, failures } = options;
    const leaderLease = assignment.createLeaderLease(options.maxLeaseMilliseconds);
    const services = new Map<string, servicePlanner.KeyedService>();
    const serviceTimes = new Map<string, number>();
    const startedAt = timers.now();
    let confirmedAt = options.confirmation.sentAt;
    let isCommitting = false;
    let isStopped = false;
    let areEvacuationsKnown = false;
    let nextCommitAt = startedAt;
    let lastDecayAt = startedAt;
    let unconfirmedPlans: assignment.ServiceAssignment[] = [];
    let { previousLeaders } = options;
    /** Whether the store has returned from a copy that lacks records of this leader, which are not stored again yet. */
    let areRecordsLost = false;

    const onLeadershipConfirmed = (sentAt: number): void => {
        confirmedAt = sentAt;
        leaderLease.onConfirmation(sentAt);
    };
    const sender = leaseCommandSender.createLeaseCommandSender({
        leaseClient: options.leaseClient,
        timers,
        log,
        failures,
        onLeaving: owner => options.leaving.learn(owner, leavingUpstreams.LeavingSource.command),
        isStopped: () => isStopped,
    });
    const writer = ownershipWriter.createOwnershipWriter({
        store: options.store,
        timers,
        log,
        record: options.record,
        previousLeaders: () => previousLeaders,
        end: options.snapshot.end,
        lastAppendAt: options.confirmation.sentAt,
        areTopicsSettled: options.areTopicsSettled,
        onLeadershipConfirmed,
        isUndisputed: hasReturned => {
            leaderLease.detectSuspension(timers.now(), timers.wallClock());
            return leaderLease.isUndisputedAt(hasReturned ? options.store.eraSeenAt() : timers.now());
        },
        onRecordsLost: () => {
            areRecordsLost = true;
            previousLeaders = assignment.addLostTerm(previousLeaders, timers.now(), options.maxLeaseMilliseconds);
            services.forEach(({ leaseManager }) => leaseManager.assumeRenewals(previousLeaders.previousLeasesUntil));
            unconfirmedPlans = [];
            setPendingPlans(services, []);
        },
        onSnapshot: snapshot => {
            applySnapshot(services, snapshot, -Infinity);
            // After a conflict, the plans were certainly not stored.
            setPendingPlans(services, writer.hasUnconfirmedPlans() ? unconfirmedPlans : []);
        },
        onSuperseded: newTerm => {
            isStopped = true;
            log.write("leadership-lost", { term: options.record.term, newTerm });
            options.onSuperseded();
        },
    });

    const planner = servicePlanner.createServicePlanner({
        ...options,
        services,
        serviceTimes,
        startedAt,
        previousLeaders: () => previousLeaders,
        appendPosition: writer.end,
    });

    /** Returns the assignments to append. */
    const listPlans = (): assignment.ServiceAssignment[] => {
        if (areRecordsLost) {
            return planner.storedAgain();
        }
        // A leader that was out of contact before must not give keys to a failure domain that has been evacuated since.
        areEvacuationsKnown ||= options.areEvacuationsRecent();
        return areEvacuationsKnown && !writer.hasUnconfirmedPlans()
            ? options.keyedServices().map(name =>
                failures.run("assignment", () => planner.plan(name), { service: name })
            ).filter(plan => plan !== undefined)
            : [];
    };

    const commit = async (): Promise<void> => {
        if (writer.needsRead()) {
            await writer.resynchronize();
            return;
        }
        const hasUnconfirmedPlans = writer.hasUnconfirmedPlans();
        const plans = listPlans();
        const now = timers.now();
        services.forEach(({ load }) => load.decay(now - lastDecayAt));
        lastDecayAt = now;
        const isRecordDue = hasUnconfirmedPlans || areRecordsLost
            || timers.now() - writer.lastAppendAt() >= recordIntervalMilliseconds;
        if (plans.length === 0 && !isRecordDue) {
            return;
        }
        if (!hasUnconfirmedPlans) {
            unconfirmedPlans = plans;
            setPendingPlans(services, plans);
        }
        if (await writer.append(plans, false, options.maxLeaseMilliseconds)) {
            unconfirmedPlans = [];
            if (areRecordsLost) {
                areRecordsLost = false;
                options.storeReturns.onStoredAgain(platform.Topic.ownership, plans.length + 1);
                log.write("ownership-stored-again", {
                    term: options.record.term,
                    era: writer.era(),
                    services: plans.length,
                    milliseconds: Math.round(timers.now() - options.store.eraSeenAt()),
                });
            }
            setPendingPlans(services, []);
            for (const plan of plans) {
                services.get(plan.service)?.leaseManager.setAssignment(plan, -Infinity);
                log.write("assignment", {
                    service: plan.service,
                    ranges: plan.ranges.length,
                    nextToken: plan.nextToken,
                });
            }
        }
    };

    const runCommit = async (): Promise<void> => {
        isCommitting = true;
        nextCommitAt = Infinity;
        try {
            await commit();
            const needsImmediateCommit = writer.needsRead() || writer.hasUnconfirmedPlans() || areRecordsLost;
            const delayMilliseconds = needsImmediateCommit ? 0 : rebalanceIntervalMilliseconds;
            // Another commit may have been requested meanwhile.
            nextCommitAt = Math.min(nextCommitAt, timers.now() + delayMilliseconds);
        }
        catch (error) {
            log.write("ownership-read-failed", { reason: (error as Error).message });
            nextCommitAt = timers.now() + retryDelayMilliseconds;
        }
        isCommitting = false;
    };

    applySnapshot(services, options.snapshot, options.previousLeaders.previousLeasesUntil);
    leaderLease.detectSuspension(options.confirmation.sentAt, options.confirmation.wallClock);
    onLeadershipConfirmed(options.confirmation.sentAt);

    return {
        tick: () => {
            const now = timers.now();
            leaderLease.detectSuspension(now, timers.wallClock());
            if (isStopped) {
                return;
            }
            if (!isCommitting && now >= nextCommitAt) {
                failures.watch("assignment", runCommit());
            }
            for (const [service, { leaseManager }] of services) {
                failures.run("lease command", () => {
                    if (leaderLease.canSendCommands(now)) {
                        leaseManager.startDueCommands(now, leaderLease.keyLeaseMilliseconds(now))
                            .forEach(command => sender.send(service, leaseManager, command));
                    }
                    broadcastChanges(options, service, leaseManager);
                }, { service });
            }
        },
        planNow: () => {
            nextCommitAt = timers.now();
        },
        onReport: report => {
            options.leaving.learnReported(report);
            recordLoad(report, services, serviceTimes);
        },
        ownedKeyCount: isCounted =>
            [...services.values()]
                .flatMap(({ leaseManager }) => leaseManager.routing())
                .filter(({ owner }) => owner !== undefined && isCounted(owner))
                .reduce((sum, { first, last }) => sum + last - first + 1, 0),
        routingMessages: () =>
            [...services].map(([service, { leaseManager }]) => createRoutingMessage(service, leaseManager.routing())),
        resign: async () => {
            if (isStopped) {
                return;
            }
            for (let waited = 0; isCommitting && waited < maxResignWaitMilliseconds; waited += resignPollMilliseconds) {
                await foundation.pause(timers, resignPollMilliseconds);
            }
            isStopped = true;
            await ownershipWriter.resign(
                timers,
                writer,
                () => areRecordsLost ? planner.storedAgain() : [],
                leaderLease.maxKeyLeaseMilliseconds(timers.now()),
                log,
            );
            log.write("leadership-resigned", { term: options.record.term });
        },
        term: options.record.term,
        era: writer.era,
        acknowledgedRecordNumber: writer.acknowledgedRecordNumber,
        confirmationAge: () => timers.now() - confirmedAt,
    };
};
