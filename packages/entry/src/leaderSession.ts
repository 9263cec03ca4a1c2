/** What an instance does while it leads: agrees assignments in the store, has them carried out, tells the others. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as orderSender from "./orderSender";
import * as ownershipLog from "./ownershipLog";
import * as ownershipStore from "./ownershipStore";

/** What a leader needs. */
export interface LeaderSessionOptions {
    store: platform.StoreClient;
    grants: platform.LeaseClient;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    /** The instance's own record, as it was appended. */
    record: assignment.LeaderRecord;
    snapshot: ownershipStore.OwnershipSnapshot;
    /** Time at which every lease that an earlier leader may have granted has ended. */
    unknownLeaseUntil: number;
    /** Time until which an earlier leader may send orders. */
    quietUntil: number;
    longestLeaseMilliseconds: number;
    /** Names of the keyed services in force. */
    keyedServices: () => string[];
    /** Sends to every follower and to the instance itself. */
    broadcast: (message: protocol.RoutingMessage) => void;
    /** Another instance leads, so this one must stop. */
    onDeposed: () => void;
}

/** A leader's work. */
export interface LeaderSession {
    /** Called every few tens of milliseconds. */
    tick: () => void;
    onReport: (report: protocol.FollowerReport) => void;
    /** Routing of every key, for a follower that joins. */
    routing: () => protocol.RoutingMessage[];
    /** Gives the duty up, so that a successor need not wait. */
    resign: () => Promise<void>;
    term: number;
    /** Number of the last record that the store has acknowledged. */
    lastRecord: () => number;
    /** Age of the last proof that the store gave of this leadership, in milliseconds. */
    proofAge: () => number;
}

/** Time between two looks at the balance, in milliseconds. */
const planMilliseconds = 500;
/** Longest time between two records of the leader, in milliseconds. */
const beatMilliseconds = 800;
/** Pause after a call to the store that failed, in milliseconds. */
const retryMilliseconds = 200;
/** Longest wait for an append under way before leadership is given up, in milliseconds. */
const longestResignMilliseconds = 600;
const resignPauseMilliseconds = 20;
/** Silence of an owner from which its keys are given to others, in milliseconds: several probes. */
const silentOwnerMilliseconds = 900;
/** Keys in a range before the load is known. */
const initialRangeKeys = 256;
/** Seconds of load that capacity is reckoned for at least: a new leader has seen none yet. */
const lowestLoadSeconds = 0.5;
/** Time in which upstreams register when a site starts, before keys are dealt for the first time, in milliseconds. */
const firstDealMilliseconds = 2500;
/** How much of a new measurement enters an upstream's speed. */
const speedSmoothing = 0.3;

interface KeyedService {
    keeper: assignment.Keeper;
    load: assignment.KeyLoad;
}

const toOwner = (upstream: routing.Upstream): assignment.Owner => ({
    identifier: upstream.identifier,
    startedAt: upstream.startedAt,
    host: upstream.host,
    port: upstream.port,
});

/**
 * Encodes routing for followers.
 *
 * @param service - whose keys
 * @param changes - ranges and owners
 * @returns the message
 */
export const encodeRouting = (
    service: string,
    changes: readonly assignment.RoutingChange[],
): protocol.RoutingMessage => {
    const places = new Map<string, number>();
    const owners: assignment.Owner[] = [];
    const placeOf = (owner: assignment.Owner | undefined): number => {
        if (owner === undefined) {
            return -1;
        }
        const name = assignment.ownerName(owner);
        const place = places.get(name) ?? owners.push(owner) - 1;
        places.set(name, place);
        return place;
    };
    return {
        kind: "routing",
        service,
        changes: changes.map(({ first, last, token, owner }) => ({ first, last, token, owner: placeOf(owner) })),
        owners,
    };
};

/**
 * Starts a leader's work.
 *
 * @param options - what it needs
 * @returns the work; the caller drives it by {@link LeaderSession.tick}
 */
export const createLeaderSession = (options: LeaderSessionOptions): LeaderSession => {
    const { directory, timers, log } = options;
    const authority = assignment.createAuthority(options.longestLeaseMilliseconds);
    const services = new Map<string, KeyedService>();
    const speeds = new Map<string, number>();
    const startedAt = timers.now();
    let provenAt = startedAt;
    let isCommitting = false;
    let isStopped = false;
    let nextCommitAt = startedAt;
    let fadedAt = startedAt;
    let uncertainPlans: assignment.ServiceAssignment[] = [];

    const onProof = (sentAt: number): void => {
        provenAt = sentAt;
        authority.onProof(sentAt);
    };
    const createService = (name: string): KeyedService => {
        const created = { keeper: assignment.createKeeper(), load: assignment.createKeyLoad() };
        services.set(name, created);
        return created;
    };
    const adoptSnapshot = (snapshot: ownershipStore.OwnershipSnapshot, unknownLeaseUntil: number): void => {
        for (const [name, stored] of snapshot.assignments) {
            const { keeper } = services.get(name) ?? createService(name);
            keeper.adopt(stored, unknownLeaseUntil);
        }
    };
    const setPlanned = (plans: readonly assignment.ServiceAssignment[]): void =>
        services.forEach(({ keeper }, name) => keeper.setPlanned(plans.find(plan => plan.service === name)));

    const sender = orderSender.createOrderSender({
        grants: options.grants,
        timers,
        log,
        onEnded: owner => {
            services.forEach(({ keeper }) => keeper.onEnded(owner));
            nextCommitAt = timers.now();
        },
        isStopped: () => isStopped,
    });
    const ownershipTopic = ownershipLog.createOwnershipLog({
        store: options.store,
        timers,
        log,
        record: options.record,
        end: options.snapshot.end,
        onProof,
        onSnapshot: snapshot => {
            adoptSnapshot(snapshot, -Infinity);
            setPlanned(uncertainPlans);
        },
        onDeposed: newTerm => {
            isStopped = true;
            log.write("leadership-lost", { term: options.record.term, newTerm });
            options.onDeposed();
        },
    });

    const candidatesOf = (service: string, { keeper, load }: KeyedService): assignment.Candidate[] => {
        const now = timers.now();
        const entries = directory.ofService(service).filter(({ upstream, leavingSince }) => {
            const silentSince = keeper.silentSince(toOwner(upstream), now);
            const isSilent = silentSince !== undefined && now - silentSince >= silentOwnerMilliseconds;
            return leavingSince === undefined && !isSilent && !sender.hasEnded(toOwner(upstream));
        });
        const known = entries.flatMap(({ upstream }) => speeds.get(upstream.identifier) ?? []);
        const usual = known.length === 0
            ? relay.assumedServiceMilliseconds
            : known.reduce((sum, speed) => sum + speed, 0) / known.length;
        const loadSeconds = Math.max(lowestLoadSeconds, load.seconds());
        return entries.map(({ upstream }) => {
            const requestsPerSecond = upstream.slots * 1000 / (speeds.get(upstream.identifier) ?? usual);
            return { owner: toOwner(upstream), capacity: requestsPerSecond * loadSeconds };
        });
    };

    /**
     * An earlier leader that does not know of this one may renew keys for a while. An upstream that has moved keys away
     * refuses that, unless it has started anew meanwhile and knows of nothing; so nothing is moved for as long.
     */
    const mayMove = (keeper: assignment.Keeper, range: assignment.KeyRange): boolean => {
        const now = timers.now();
        const isQuiet = now < options.quietUntil && range.owner !== undefined && !sender.hasEnded(range.owner);
        return !isQuiet && !keeper.isUndecided(range, now);
    };

    const planService = (name: string): assignment.ServiceAssignment | undefined => {
        const keyed = services.get(name) ?? createService(name);
        const { keeper, load } = keyed;
        const settled = keeper.settled();
        if (settled === undefined && timers.now() - startedAt < firstDealMilliseconds) {
            return undefined;
        }
        const current = settled ?? assignment.createEmptyAssignment(name, initialRangeKeys);
        return assignment.balance({
            assignment: current,
            candidates: candidatesOf(name, keyed),
            loadSums: load.prefixSums(),
            isMoving: keeper.isMoving,
            mayMove: range => mayMove(keeper, range),
            isFenced: keeper.isFenced,
        });
    };

    const commit = async (): Promise<void> => {
        if (ownershipTopic.needsRead()) {
            await ownershipTopic.resynchronize();
            return;
        }
        const isUncertain = ownershipTopic.isUncertain();
        const plans = isUncertain
            ? []
            : options.keyedServices().map(planService).filter(plan => plan !== undefined);
        const now = timers.now();
        services.forEach(({ load }) => load.fade(now - fadedAt));
        fadedAt = now;
        const isBeatDue = isUncertain || timers.now() - ownershipTopic.lastAppendAt() >= beatMilliseconds;
        if (plans.length === 0 && !isBeatDue) {
            return;
        }
        if (!isUncertain) {
            uncertainPlans = plans;
            setPlanned(plans);
        }
        if (await ownershipTopic.append(plans, false, 0)) {
            uncertainPlans = [];
            setPlanned([]);
            for (const plan of plans) {
                services.get(plan.service)?.keeper.adopt(plan, -Infinity);
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
        try {
            await commit();
            const isHurried = ownershipTopic.needsRead() || ownershipTopic.isUncertain();
            nextCommitAt = timers.now() + (isHurried ? 0 : planMilliseconds);
        }
        catch (error) {
            log.write("ownership-read-failed", { reason: (error as Error).message });
            nextCommitAt = timers.now() + retryMilliseconds;
        }
        isCommitting = false;
    };

    adoptSnapshot(options.snapshot, options.unknownLeaseUntil);
    onProof(startedAt);

    return {
        tick: () => {
            const now = timers.now();
            authority.observe(now, timers.wallClock());
            if (isStopped) {
                return;
            }
            directory.takeEnded().forEach(upstream =>
                sender.markEnded(toOwner(upstream), "another life has its place")
            );
            if (!isCommitting && now >= nextCommitAt) {
                void runCommit();
            }
            for (const [service, { keeper }] of services) {
                if (authority.mayOrder(now)) {
                    const lease = authority.leaseMilliseconds(now);
                    keeper.takeDueOrders(now, lease).forEach(order => sender.send(service, keeper, order));
                }
                const changes = keeper.takeChanges();
                if (changes.length > 0) {
                    options.broadcast(encodeRouting(service, changes));
                }
            }
        },
        onReport: report => {
            for (const { service, keys, weight } of report.samples) {
                const keyed = services.get(service);
                keys.forEach(key => keyed?.load.add(key, weight));
            }
            for (const [identifier, milliseconds] of report.speeds) {
                const known = speeds.get(identifier) ?? milliseconds;
                speeds.set(identifier, known + (milliseconds - known) * speedSmoothing);
            }
        },
        routing: () => [...services].map(([service, { keeper }]) => encodeRouting(service, keeper.routing())),
        resign: async () => {
            if (isStopped) {
                return;
            }
            for (
                let waited = 0;
                isCommitting && waited < longestResignMilliseconds;
                waited += resignPauseMilliseconds
            ) {
                await foundation.pause(timers, resignPauseMilliseconds);
            }
            isStopped = true;
            await ownershipTopic.append([], true, authority.longestLeaseMilliseconds(timers.now()));
            log.write("leadership-resigned", { term: options.record.term });
        },
        term: options.record.term,
        lastRecord: ownershipTopic.lastRecord,
        proofAge: () => timers.now() - provenAt,
    };
};
