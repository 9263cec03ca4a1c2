/**
 * Manages the leases of one service's upstreams: decides which grants, renewals and releases are due and applies their
 * outcomes. Time and outcomes are passed in.
 *
 * A previous owner's keys are free once it has acknowledged the release, or the last lease that any leader may have granted
 * to it has expired. Nothing else that can be observed proves that its process has ended. A release carries the next owner's
 * token, so that the upstream itself refuses a grant with an older token that is still in transit.
 */
import * as keyRange from "./keyRange";
import * as leaseCommands from "./leaseCommands";
import * as rangeLease from "./rangeLease";
import * as unresponsiveOwners from "./unresponsiveOwners";

/** Routing of a range; the owner is undefined while no upstream can serve it. */
export interface RoutingChange {
    first: number;
    last: number;
    owner: keyRange.Owner | undefined;
    token: number;
}

/** Manages the leases of one service's keys. */
export interface LeaseManager {
    /** Sets the committed assignment; untracked leases are assumed to last until `unknownLeaseUntil`. */
    setAssignment: (assignment: keyRange.ServiceAssignment, unknownLeaseUntil: number) => void;
    /** Returns the commands that are due and marks them as in flight. */
    startDueCommands: (now: number, leaseMilliseconds: number) => leaseCommands.LeaseCommand[];
    /** Applies the outcome of a command; `handover` is the state that a release returned. */
    onOutcome: (
        command: leaseCommands.LeaseCommand,
        outcome: leaseCommands.CommandOutcomeValue,
        handover: string | undefined,
        now: number,
    ) => void;
    /** Whether a range's previous owner may still hold it. */
    isMoving: (range: keyRange.KeyRange) => boolean;
    /** Whether both the previous and the current owner may hold a range, so that it cannot move to a third one. */
    isHolderUncertain: (range: keyRange.KeyRange, now: number) => boolean;
    /**
     * Sets or clears the assignment that is being committed. Ranges that it changes and that have no live lease are not
     * granted meanwhile: the pending assignment does not account for such a grant, so the range would not be released.
     */
    setPendingAssignment: (pending: keyRange.ServiceAssignment | undefined) => void;
    /** Takes into account that another leader may have renewed the leases of the owners, which then last until a time. */
    assumeRenewals: (leaseUntil: number) => void;
    /** Whether the owner has seen a higher token for a range. */
    isFenced: (range: keyRange.KeyRange) => boolean;
    /** Returns the routing changes since the last call. */
    drainChanges: () => RoutingChange[];
    /** Returns the routing of all ranges. */
    routing: () => RoutingChange[];
    /** Returns the time since which an owner has not responded to grants, or undefined while it responds. */
    unresponsiveSince: (owner: keyRange.Owner, now: number) => number | undefined;
    /** Returns the committed assignment, without previous owners that no longer hold their keys. */
    settledAssignment: () => keyRange.ServiceAssignment | undefined;
}

/** Time between renewals of a range, in milliseconds: the rest of a lease is enough for two more attempts if one is lost. */
export const renewalIntervalMilliseconds = 1500;
/** Pause after a release that was not acknowledged, in milliseconds. */
const releaseRetryMilliseconds = 250;
/** Pause after a grant that was not acknowledged, in milliseconds. */
const grantRetryMilliseconds = 150;
/** Maximum grants in flight to an unresponsive owner, so that its other leases expire meanwhile. */
const maxGrantsWhileUnresponsive = 1;
/** Maximum grants in flight to one owner; with the releases, the number of connections to it, so that no command waits to be sent. */
export const maxGrantsPerOwner = 8;
/** Maximum releases in flight to one owner, which responds to them only after its running requests. */
export const maxReleasesPerOwner = 8;

const routingOf = ({ range, isGranted }: rangeLease.RangeLease): RoutingChange => ({
    first: range.first,
    last: range.last,
    owner: isGranted ? range.owner : undefined,
    token: range.token,
});

/** Counts the releases in flight by the name of the owner that they are sent to. */
const countReleasesInFlight = (leases: readonly rangeLease.RangeLease[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { isInFlight, isReleased, range } of leases) {
        if (isInFlight && !isReleased && range.previousOwner !== undefined) {
            const name = keyRange.ownerName(range.previousOwner);
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
    }
    return counts;
};

/** Returns the releases that are due, and marks as released the ranges whose previous owner no longer holds them. */
const startDueReleases = (
    leases: readonly rangeLease.RangeLease[],
    now: number,
): leaseCommands.LeaseCommand[] => {
    const releases: leaseCommands.LeaseCommand[] = [];
    const inFlightByOwner = countReleasesInFlight(leases);
    const canSend = (owner: keyRange.Owner): boolean =>
        (inFlightByOwner.get(keyRange.ownerName(owner)) ?? 0) < maxReleasesPerOwner;
    for (const lease of leases.filter(({ isReleased }) => !isReleased)) {
        const release = rangeLease.startRelease(lease, now, canSend);
        if (release !== undefined) {
            releases.push(release);
            const name = keyRange.ownerName(release.owner);
            inFlightByOwner.set(name, (inFlightByOwner.get(name) ?? 0) + 1);
        }
    }
    return releases;
};

/**
 * Creates a lease manager.
 *
 * @returns a lease manager without an assignment
 */
export const createLeaseManager = (): LeaseManager => {
    let committed: keyRange.ServiceAssignment | undefined;
    let leases: rangeLease.RangeLease[] = [];
    let leaseByFirstKey = new Map<number, rangeLease.RangeLease>();
    let changes: RoutingChange[] = [];
    const pendingGrants = new WeakMap<leaseCommands.LeaseCommand, rangeLease.PendingGrant>();
    const ownerTracker = unresponsiveOwners.createUnresponsiveOwners();

    const findByBounds = (first: number, last: number): rangeLease.RangeLease | undefined => {
        const lease = leaseByFirstKey.get(first);
        return lease?.range.last === last ? lease : undefined;
    };

    const findByCommand = (command: leaseCommands.LeaseCommand): rangeLease.RangeLease | undefined => {
        const lease = findByBounds(command.first, command.last);
        return lease?.range.token === command.token ? lease : undefined;
    };

    const onGrantOutcome = (
        lease: rangeLease.RangeLease,
        command: leaseCommands.LeaseCommand,
        outcome: leaseCommands.CommandOutcomeValue,
        now: number,
    ): void => {
        if (
            outcome === leaseCommands.CommandOutcome.unanswered
            || outcome === leaseCommands.CommandOutcome.undelivered
        ) {
            ownerTracker.onUnanswered(command.owner, now);
            lease.dueAt = now + grantRetryMilliseconds;
            return;
        }
        if (outcome === leaseCommands.CommandOutcome.misdirected) {
            ownerTracker.onUnanswered(command.owner, now);
        }
        else {
            ownerTracker.onResponse(command.owner);
        }
        const isDone = outcome === leaseCommands.CommandOutcome.done;
        if (isDone) {
            lease.leaseUntil = Math.max(
                lease.leaseUntil,
                now + command.leaseMilliseconds * rangeLease.clockDriftFactor,
            );
        }
        lease.isFenced = outcome === leaseCommands.CommandOutcome.fenced;
        lease.dueAt = now + (isDone ? renewalIntervalMilliseconds : grantRetryMilliseconds);
        if (isDone !== lease.isGranted) {
            lease.isGranted = isDone;
            changes.push(routingOf(lease));
        }
    };

    return {
        setAssignment: (assignment, unknownLeaseUntil) => {
            const previousLeases = leases;
            let position = 0;
            leases = assignment.ranges.map(range => {
                while (position < previousLeases.length && previousLeases[position].range.last < range.first) {
                    position += 1;
                }
                const overlapping: rangeLease.RangeLease[] = [];
                for (
                    let index = position;
                    index < previousLeases.length && rangeLease.overlaps(previousLeases[index].range, range);
                    index += 1
                ) {
                    overlapping.push(previousLeases[index]);
                }
                const lease = rangeLease.createRangeLease(range, { leases: overlapping, unknownLeaseUntil });
                if (!lease.isGranted && overlapping.some(previous => previous.isGranted)) {
                    changes.push(routingOf(lease));
                }
                return lease;
            });
            leaseByFirstKey = new Map(leases.map(lease => [lease.range.first, lease]));
            committed = assignment;
        },
        startDueCommands: (now, leaseMilliseconds) => {
            const commands = startDueReleases(leases, now);
            const inFlightByOwner = new Map<string, number>();
            const countGrant = (name: string): void => {
                inFlightByOwner.set(name, (inFlightByOwner.get(name) ?? 0) + 1);
            };
            for (const { isInFlight, isReleased, range } of leases) {
                if (isInFlight && isReleased && range.owner !== undefined) {
                    countGrant(keyRange.ownerName(range.owner));
                }
            }
            const dueLeases = leases.filter(lease =>
                lease.isReleased && rangeLease.isGrantDue(lease, now, leaseMilliseconds)
            );
            // Ranges that no upstream serves come first, then those whose leases expire soonest.
            for (const lease of dueLeases.sort((left, right) => left.leaseUntil - right.leaseUntil)) {
                const { owner } = lease.range;
                if (owner === undefined) {
                    continue;
                }
                const name = keyRange.ownerName(owner);
                const maxGrants = ownerTracker.isUnresponsive(owner)
                    ? maxGrantsWhileUnresponsive
                    : maxGrantsPerOwner;
                if ((inFlightByOwner.get(name) ?? 0) >= maxGrants) {
                    continue;
                }
                const grant = rangeLease.startGrant(lease, now, leaseMilliseconds);
                if (grant !== undefined) {
                    pendingGrants.set(grant.command, grant.pending);
                    commands.push(grant.command);
                    countGrant(name);
                }
            }
            return commands;
        },
        onOutcome: (command, outcome, handover, now) => {
            const pending = pendingGrants.get(command);
            if (pending !== undefined) {
                rangeLease.resolvePendingGrant(pending, command, outcome, now);
            }
            const lease = findByCommand(command);
            if (lease === undefined) {
                return;
            }
            if (command.kind === leaseCommands.CommandKind.grant) {
                if (keyRange.isSameOwner(lease.range.owner, command.owner) && lease.isReleased) {
                    lease.isInFlight = false;
                    onGrantOutcome(lease, command, outcome, now);
                }
                return;
            }
            if (lease.isReleased) {
                return;
            }
            lease.isInFlight = false;
            if (outcome === leaseCommands.CommandOutcome.done) {
                lease.isReleased = true;
                lease.handover = handover;
                lease.dueAt = -Infinity;
                return;
            }
            if (
                outcome === leaseCommands.CommandOutcome.undelivered
                || outcome === leaseCommands.CommandOutcome.misdirected
            ) {
                ownerTracker.onUnanswered(command.owner, now);
            }
            lease.dueAt = now + releaseRetryMilliseconds;
        },
        isMoving: range => {
            const lease = findByBounds(range.first, range.last);
            return lease !== undefined && !lease.isReleased;
        },
        isHolderUncertain: (range, now) => {
            const lease = findByBounds(range.first, range.last);
            return lease !== undefined && !lease.isReleased && rangeLease.leaseExpiry(lease) > now;
        },
        setPendingAssignment: pending => {
            const ranges = pending?.ranges ?? [];
            let position = 0;
            for (const lease of leases) {
                const { first, last, token } = lease.range;
                while (position < ranges.length && ranges[position].last < first) {
                    position += 1;
                }
                lease.isBlocked = false;
                for (let index = position; index < ranges.length && ranges[index].first <= last; index += 1) {
                    lease.isBlocked ||= ranges[index].token !== token;
                }
            }
        },
        assumeRenewals: leaseUntil =>
            leases.forEach(lease => {
                lease.leaseUntil = Math.max(lease.leaseUntil, leaseUntil);
            }),
        isFenced: range => findByBounds(range.first, range.last)?.isFenced === true,
        drainChanges: () => {
            const drained = changes;
            changes = [];
            return drained;
        },
        routing: () => leases.map(routingOf),
        unresponsiveSince: ownerTracker.unresponsiveSince,
        settledAssignment: () =>
            committed === undefined ? undefined : {
                ...committed,
                ranges: leases.map(({ range, isReleased }) =>
                    isReleased ? { ...range, previousOwner: undefined } : range
                ),
            },
    };
};
