/** What an instance does while it leads: agrees assignments in the store, has them carried out, tells the others. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import * as routing from "@mulberryseam/routing";
import * as ownershipStore from "./ownershipStore";

/** What a leader needs. */
export interface LeaderSessionOptions {
    store: platform.StoreClient;
    grants: platform.GrantClient;
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    /** The instance's own record, as it was appended. */
    record: assignment.LeaderRecord;
    snapshot: ownershipStore.OwnershipSnapshot;
    /** Time at which every lease that an earlier leader may have granted has ended. */
    unknownLeaseUntil: number;
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
    onReport: (report: protocol.RoutingReport) => void;
    /** Routing of every key, for a follower that joins. */
    routing: () => protocol.RoutingMessage[];
    /** Gives the duty up, so that a successor need not wait. */
    resign: () => Promise<void>;
    term: number;
    /** Age of the last proof that the store gave of this leadership, in milliseconds. */
    proofAge: () => number;
}

/** Time between two looks at the balance, in milliseconds. */
const planMilliseconds = 500;
/** Longest time between two records of the leader, in milliseconds. */
const beatMilliseconds = 1000;
/** Pause after a call to the store that failed, in milliseconds. */
const retryMilliseconds = 200;
/** Silence of an owner from which its keys are given to others, in milliseconds: several probes. */
const silentOwnerMilliseconds = 900;
/** Time between refused connections from which an upstream has surely ended, in milliseconds. */
const refusalMilliseconds = 250;
/** Keys in a range before the load is known. */
const initialRangeKeys = 256;
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

const outcomes: Record<platform.OrderAnswer["result"], assignment.OrderOutcomeValue> = {
    done: assignment.OrderOutcome.done,
    fenced: assignment.OrderOutcome.fenced,
    refused: assignment.OrderOutcome.refused,
    replaced: assignment.OrderOutcome.refused,
    notListening: assignment.OrderOutcome.unanswered,
    unknown: assignment.OrderOutcome.unanswered,
};

/**
 * Starts a leader's work.
 *
 * @param options - what it needs
 * @returns the work; the caller drives it by {@link LeaderSession.tick}
 */
export const createLeaderSession = (options: LeaderSessionOptions): LeaderSession => {
    const { store, grants, directory, timers, log } = options;
    const authority = assignment.createAuthority(options.longestLeaseMilliseconds);
    const services = new Map<string, KeyedService>();
    const speeds = new Map<string, number>();
    const refusals = new Map<string, number>();
    const ended = new Set<string>();
    let record = options.record;
    let { end } = options.snapshot;
    let isCommitting = false;
    let isStopped = false;
    let needsRead = false;
    const startedAt = timers.now();
    let provenAt = startedAt;
    let nextCommitAt = timers.now();
    let lastBeatAt = timers.now();

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

    const markEnded = (owner: assignment.Owner, reason: string): void => {
        const name = assignment.ownerName(owner);
        if (!ended.has(name)) {
            ended.add(name);
            log.write("owner-ended", { owner: name, reason });
            services.forEach(({ keeper }) => keeper.onEnded(owner));
            nextCommitAt = timers.now();
        }
    };

    const onOrderAnswer = (
        service: string,
        keeper: assignment.Keeper,
        order: assignment.Order,
        answer: platform.OrderAnswer,
    ): void => {
        const now = timers.now();
        const name = assignment.ownerName(order.owner);
        if (answer.result === platform.OrderResult.notListening) {
            const since = refusals.get(name) ?? now;
            refusals.set(name, since);
            if (now - since >= refusalMilliseconds) {
                markEnded(order.owner, answer.reason);
            }
        }
        else if (answer.result === platform.OrderResult.done) {
            refusals.delete(name);
        }
        if (answer.result === platform.OrderResult.replaced) {
            markEnded(order.owner, answer.reason);
        }
        keeper.onAnswer(order, outcomes[answer.result], answer.handover, now);
        if (order.kind === assignment.OrderKind.release || answer.result !== platform.OrderResult.done) {
            log.write("order", {
                kind: order.kind,
                service,
                owner: name,
                first: order.first,
                last: order.last,
                token: order.token,
                result: answer.result,
                reason: answer.reason,
            });
        }
    };

    const send = (service: string, keeper: assignment.Keeper, order: assignment.Order): void => {
        const upstream: routing.Upstream = {
            ...order.owner,
            service,
            failureDomain: "",
            slots: 1,
            isDraining: false,
            warmupMilliseconds: 0,
        };
        const keys = { first: order.first, last: order.last, token: order.token };
        const answer = order.kind === assignment.OrderKind.grant
            ? grants.grant(upstream, keys, order.leaseMilliseconds, order.handover)
            : grants.release(upstream, keys);
        void answer.then(result => {
            if (!isStopped) {
                onOrderAnswer(service, keeper, order, result);
            }
        });
    };

    const candidatesOf = (service: string, keeper: assignment.Keeper): assignment.Candidate[] => {
        const now = timers.now();
        const entries = directory.ofService(service).filter(({ upstream, leavingSince }) => {
            const silentSince = keeper.silentSince(toOwner(upstream), now);
            const isSilent = silentSince !== undefined && now - silentSince >= silentOwnerMilliseconds;
            return leavingSince === undefined && !isSilent && !ended.has(assignment.ownerName(toOwner(upstream)));
        });
        const known = entries.map(({ upstream }) => speeds.get(upstream.identifier)).filter(speed =>
            speed !== undefined
        );
        const usual = known.length === 0 ? 1 : known.reduce((sum, speed) => sum + speed, 0) / known.length;
        return entries.map(({ upstream }) => ({
            owner: toOwner(upstream),
            capacity: upstream.slots * usual / (speeds.get(upstream.identifier) ?? usual),
        }));
    };

    const planService = (name: string): assignment.ServiceAssignment | undefined => {
        const { keeper, load } = services.get(name) ?? createService(name);
        const settled = keeper.settled();
        if (settled === undefined && timers.now() - startedAt < firstDealMilliseconds) {
            return undefined;
        }
        const current = settled ?? assignment.createEmptyAssignment(name, initialRangeKeys);
        return assignment.balance({
            assignment: current,
            candidates: candidatesOf(name, keeper),
            loadSums: load.prefixSums(),
            isMoving: keeper.isMoving,
            isUndecided: range => keeper.isUndecided(range, timers.now()),
            isFenced: keeper.isFenced,
        });
    };

    const resynchronize = async (): Promise<void> => {
        const sentAt = timers.now();
        const snapshot = await ownershipStore.readOwnership(store, log);
        const isLeading = snapshot.leader?.identifier === record.identifier && snapshot.leader.term === record.term;
        if (!isLeading) {
            isStopped = true;
            log.write("leadership-lost", { term: record.term, newTerm: snapshot.leader?.term });
            options.onDeposed();
            return;
        }
        onProof(sentAt);
        record = snapshot.leader ?? record;
        end = snapshot.end;
        services.forEach(({ keeper }) => keeper.setPlanned(undefined));
        adoptSnapshot(snapshot, -Infinity);
        needsRead = false;
    };

    const append = async (next: assignment.LeaderRecord, plans: assignment.ServiceAssignment[]): Promise<boolean> => {
        const sentAt = timers.now();
        const answer = await store.append(platform.Topic.ownership, end, [
            { key: assignment.leaderKey, value: assignment.encodeLeader(next) },
            ...plans.map(plan => ({
                key: assignment.assignmentKey(plan.service),
                value: assignment.encodeAssignment(plan),
            })),
        ]);
        if (answer.result !== platform.AppendResult.appended) {
            log.write("append-failed", { result: answer.result, reason: answer.reason, end });
            needsRead = true;
            return false;
        }
        onProof(sentAt);
        record = next;
        end = answer.end;
        lastBeatAt = timers.now();
        return true;
    };

    const commit = async (): Promise<void> => {
        if (needsRead) {
            await resynchronize();
            return;
        }
        const plans = options.keyedServices().map(planService).filter(plan => plan !== undefined);
        services.forEach(({ load }) => load.fade());
        if (plans.length === 0 && timers.now() - lastBeatAt < beatMilliseconds) {
            return;
        }
        plans.forEach(plan => services.get(plan.service)?.keeper.setPlanned(plan));
        if (await append({ ...record, beat: record.beat + 1 }, plans)) {
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
            nextCommitAt = timers.now() + (needsRead ? 0 : planMilliseconds);
        }
        catch (error) {
            log.write("ownership-read-failed", { reason: (error as Error).message });
            nextCommitAt = timers.now() + retryMilliseconds;
        }
        isCommitting = false;
    };

    adoptSnapshot(options.snapshot, options.unknownLeaseUntil);
    onProof(timers.now());

    return {
        tick: () => {
            const now = timers.now();
            authority.observe(now, timers.wallClock());
            if (isStopped) {
                return;
            }
            directory.takeEnded().forEach(upstream => markEnded(toOwner(upstream), "another life has its place"));
            if (!isCommitting && now >= nextCommitAt) {
                void runCommit();
            }
            for (const [service, { keeper }] of services) {
                if (authority.mayOrder(now)) {
                    const lease = authority.leaseMilliseconds(now);
                    keeper.takeDueOrders(now, lease).forEach(order => send(service, keeper, order));
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
            isStopped = true;
            const longest = authority.longestLeaseMilliseconds(timers.now());
            await append({ ...record, beat: record.beat + 1, isResigned: true, longestLeaseMilliseconds: longest }, []);
            log.write("leadership-resigned", { term: record.term });
        },
        term: record.term,
        proofAge: () => timers.now() - provenAt,
    };
};
