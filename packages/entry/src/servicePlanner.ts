/** Plans the assignments of the keyed services for the leader. */
import * as assignment from "@mulberryseam/assignment";
import type * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as relay from "@mulberryseam/relay";
import type * as routing from "@mulberryseam/routing";
import type * as ownershipReader from "./ownershipReader";

/** Leases and load of a keyed service. */
export interface KeyedService {
    leaseManager: assignment.LeaseManager;
    load: assignment.KeyLoad;
}

/** What the plans are based on. */
export interface ServicePlannerOptions {
    services: Map<string, KeyedService>;
    /** Average service time of each upstream, in milliseconds. */
    serviceTimes: ReadonlyMap<string, number>;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    /** The ownership topic at the start of the term. */
    snapshot: ownershipReader.OwnershipSnapshot;
    previousLeaders: () => assignment.PreviousLeaderTimes;
    startedAt: number;
    /** Position at which the next plan is appended. */
    appendPosition: () => platform.Position;
    /** Whether an upstream of a service may own keys, as far as its place decides that. */
    mayOwnKeys: (service: string, upstream: routing.Upstream) => boolean;
    /** Returns the requests a second that an upstream tolerates while it is cold; undefined if nothing limits them. */
    toleratedPerSecond?: (upstream: routing.Upstream) => number | undefined;
}

/** Plans assignments. */
export interface ServicePlanner {
    /** Returns the next assignment of a service, or undefined if nothing is to change now. */
    plan: (service: string) => assignment.ServiceAssignment | undefined;
    /**
     * Returns every assignment as it is in force, to be stored again after the store has returned from a copy that may lack it. Later changes
     * use tokens that are higher than all that are lost.
     */
    storedAgain: () => assignment.ServiceAssignment[];
}

/** Time without a response after which an owner's keys are reassigned, in milliseconds: several probes. */
const unresponsiveMilliseconds = 900;
/** Minimum period for which capacity is computed, in seconds: a new leader has not observed any load yet. */
const minLoadSeconds = 0.5;
/** Delay of the first assignment of keys, in milliseconds, so that upstreams can register when a site starts. */
const initialAssignmentDelayMilliseconds = assignment.undisputedMilliseconds;

const toOwner = (upstream: routing.Upstream): assignment.Owner => ({
    identifier: upstream.identifier,
    startedAt: upstream.startedAt,
    host: upstream.host,
    port: upstream.port,
});

/**
 * Returns a service's leases and load, which are created on first use.
 *
 * @param services - the services by name
 * @param name - name of the service
 * @returns the leases and the load
 */
export const findOrCreate = (services: Map<string, KeyedService>, name: string): KeyedService => {
    const existing = services.get(name);
    if (existing !== undefined) {
        return existing;
    }
    const created = { leaseManager: assignment.createLeaseManager(), load: assignment.createKeyLoad() };
    services.set(name, created);
    return created;
};

/**
 * Creates a planner.
 *
 * @param options - what the plans are based on
 * @returns the planner
 */
export const createServicePlanner = (options: ServicePlannerOptions): ServicePlanner => {
    const { services, serviceTimes, directory, timers, snapshot, previousLeaders, startedAt, appendPosition } = options;

    const listCandidates = (service: string, { leaseManager, load }: KeyedService): assignment.Candidate[] => {
        const now = timers.now();
        const entries = directory.findByService(service).filter(({ upstream, leavingSince }) => {
            const since = leaseManager.unresponsiveSince(toOwner(upstream), now);
            const isUnresponsive = since !== undefined && now - since >= unresponsiveMilliseconds;
            return leavingSince === undefined && !isUnresponsive && options.mayOwnKeys(service, upstream);
        });
        const upstreams = entries.map(({ upstream }) => ({
            owner: toOwner(upstream),
            slots: upstream.slots,
            serviceMilliseconds: serviceTimes.get(upstream.identifier),
            maxRequestsPerSecond: options.toleratedPerSecond?.(upstream),
        }));
        const loadSeconds = Math.max(minLoadSeconds, load.windowSeconds());
        return assignment.estimateCapacities(upstreams, loadSeconds, relay.assumedServiceMilliseconds);
    };

    /**
     * Whether a range can move to another owner. A previous leader that has not yet seen this one may still renew
     * leases. An upstream refuses to renew keys that it has released, but one that restarted in between has lost that
     * state and accepts. So an owner that may still run keeps its ranges until the previous leader can no longer send
     * commands.
     */
    const canMove = (leaseManager: assignment.LeaseManager, range: assignment.KeyRange): boolean => {
        const now = timers.now();
        const canPreviousLeaderRenew = now < previousLeaders().previousCommandsUntil && range.owner !== undefined;
        return !canPreviousLeaderRenew && !leaseManager.isHolderUncertain(range, now);
    };

    /** An assignment that cannot be read has holders and tokens that are not known. */
    const isUnreadable = (service: string): boolean => snapshot.unreadableKeys.has(assignment.assignmentKey(service));

    /** Time until which owners that are not known may hold keys of a service without an assignment. */
    const unknownOwnersUntil = (service: string): number => {
        const { unknownLeasesUntil, previousLeasesUntil } = previousLeaders();
        return isUnreadable(service) ? Math.max(unknownLeasesUntil, previousLeasesUntil) : unknownLeasesUntil;
    };

    const createFirstAssignment = (service: string, keysPerRange: number): assignment.ServiceAssignment => {
        const empty = assignment.createEmptyAssignment(service, keysPerRange);
        return { ...empty, nextToken: assignment.firstTokenAt(appendPosition()) };
    };

    const planService = (name: string): assignment.ServiceAssignment | undefined => {
        const keyedService = findOrCreate(services, name);
        const { leaseManager, load } = keyedService;
        const settledAssignment = leaseManager.settledAssignment();
        if (settledAssignment === undefined && timers.now() - startedAt < initialAssignmentDelayMilliseconds) {
            return undefined;
        }
        const candidates = listCandidates(name, keyedService);
        if (settledAssignment === undefined && timers.now() < unknownOwnersUntil(name)) {
            return undefined;
        }
        const initialRangeKeys = Math.ceil(assignment.keyCount / assignment.initialRangeCount(candidates.length));
        const outdated = snapshot.outdatedAssignments.get(name);
        const renewed = settledAssignment === undefined && outdated !== undefined
            ? assignment.renewTokens(outdated, assignment.firstTokenAt(appendPosition()))
            : undefined;
        const plan = assignment.balance({
            assignment: settledAssignment ?? renewed ?? createFirstAssignment(name, initialRangeKeys),
            candidates,
            loadSums: load.prefixSums(),
            isMoving: leaseManager.isMoving,
            canMove: range => canMove(leaseManager, range),
            isFenced: leaseManager.isFenced,
        });
        return plan ?? renewed;
    };

    return {
        plan: planService,
        storedAgain: () =>
            [...services.values()].flatMap(({ leaseManager }) => {
                const inForce = leaseManager.settledAssignment();
                const nextToken = Math.max(inForce?.nextToken ?? 0, assignment.firstTokenAt(appendPosition()));
                return inForce === undefined ? [] : [{ ...inForce, nextToken }];
            }),
    };
};
