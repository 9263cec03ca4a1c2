/** Plans the next record that a leader appends, as a pure function of its input. */
import type * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import * as placement from "./placement";

/** Latest response of a server. */
export interface ObservedServer {
    name: string;
    incarnation: string;
    isDraining: boolean;
}

/** Input of the planner. */
export interface PlannerInput {
    state: ledger.LogState;
    environment: configuration.Environment;
    /** Responsive instances that are not leaving, including this one unless it is leaving. */
    liveInstances: readonly ledger.Member[];
    /** Identifiers of members that have terminated, are leaving or are unresponsive, excluding this instance. */
    unavailableMembers: readonly string[];
    /** Responsive servers. */
    observedServers: readonly ObservedServer[];
    /** Expired sessions whose loss the log has not recorded yet. */
    expiredSessions: readonly ledger.ServerIdentifier[];
    /** Returns the loads of the slots of a service. */
    loadsOf: (service: string) => readonly placement.SlotLoad[];
    /** Whether slots may be moved now to balance the load. */
    isBalancingAllowed: boolean;
    /** Whether the last membership change is confirmed by a majority, or by all members that have not terminated. */
    areMembersConfirmed: boolean;
}

const maxMovesFromLeavingServers = 32;

const planMembers = (input: PlannerInput): ledger.RecordBody | undefined => {
    const { state } = input;
    if (!input.areMembersConfirmed) {
        return undefined;
    }
    const body = { kind: ledger.RecordKind.members, term: state.term, basedOn: state.membersVersion };
    const unavailable = state.members.map(ledger.memberIdentifier).find(member =>
        input.unavailableMembers.includes(member)
    );
    if (unavailable !== undefined) {
        return { ...body, remove: unavailable };
    }
    const names = state.members.map(member => member.name);
    const joiningInstance = input.liveInstances.find(instance => !names.includes(instance.name));
    return joiningInstance === undefined ? undefined : { ...body, add: joiningInstance };
};

const keyedUpstreams = (environment: configuration.Environment): configuration.Service["upstreams"] =>
    environment.services.filter(service => service.kind === "keyed").flatMap(service => service.upstreams);

const planServerChange = (input: PlannerInput, name: string): ledger.ServerChange | undefined => {
    const registration = input.state.servers.find(server => server.name === name);
    const observed = input.observedServers.find(entry => entry.name === name);
    const isListed = keyedUpstreams(input.environment).some(upstream => upstream.name === name);
    if (registration === undefined || registration.status === ledger.ServerStatus.lost) {
        const canJoin = isListed && observed !== undefined && !observed.isDraining;
        return canJoin ? { name, incarnation: observed.incarnation, status: ledger.ServerStatus.serving } : undefined;
    }
    const isExpired = input.expiredSessions.includes(ledger.serverIdentifier(registration));
    const isRestarted = observed !== undefined && observed.incarnation !== registration.incarnation;
    if (isExpired || isRestarted) {
        return { name, incarnation: registration.incarnation, status: ledger.ServerStatus.lost };
    }
    const mustLeave = !isListed || observed?.isDraining === true;
    if (mustLeave && registration.status === ledger.ServerStatus.serving) {
        return { name, incarnation: registration.incarnation, status: ledger.ServerStatus.leaving };
    }
    if (!mustLeave && observed !== undefined && registration.status === ledger.ServerStatus.leaving) {
        return { name, incarnation: registration.incarnation, status: ledger.ServerStatus.serving };
    }
    return undefined;
};

const planServers = (input: PlannerInput): ledger.RecordBody | undefined => {
    const names = new Set([
        ...input.state.servers.map(server => server.name),
        ...keyedUpstreams(input.environment).map(upstream => upstream.name),
    ]);
    const changes = [...names].map(name => planServerChange(input, name)).filter(change => change !== undefined);
    if (changes.length === 0) {
        return undefined;
    }
    return { kind: ledger.RecordKind.servers, term: input.state.term, basedOn: input.state.serversVersion, changes };
};

const placementServers = (input: PlannerInput, service: configuration.Service): placement.PlacementServer[] => {
    const servers: placement.PlacementServer[] = [];
    for (const registration of input.state.servers) {
        const upstream = service.upstreams.find(entry => entry.name === registration.name);
        const identifier = ledger.serverIdentifier(registration);
        const isUsable = registration.status !== ledger.ServerStatus.lost
            && !input.expiredSessions.includes(identifier);
        if (!isUsable) {
            continue;
        }
        const isLeaving = upstream === undefined || registration.status === ledger.ServerStatus.leaving;
        servers.push({ identifier, failureDomain: upstream?.failureDomain ?? "", isLeaving });
    }
    return servers;
};

const planTable = (input: PlannerInput, service: configuration.Service): ledger.RecordBody | undefined => {
    const { state } = input;
    const recorded = state.tables.find(entry => entry.service === service.name);
    const table = recorded?.slots.length === service.keySlots ? recorded : undefined;
    const servers = placementServers(input, service);
    const isEndedInLog = ledger.createEndedSessionPredicate(state.servers);
    const isEnded = (identifier: ledger.ServerIdentifier): boolean =>
        input.expiredSessions.includes(identifier) || isEndedInLog(identifier);
    const loads = input.loadsOf(service.name);
    let assignments = placement.planRepair(
        service.name,
        service.keySlots,
        table,
        servers,
        loads,
        isEnded,
        maxMovesFromLeavingServers,
    );
    if (assignments.length === 0 && table !== undefined && input.isBalancingAllowed) {
        const { imbalanceLimit, movesAtATime } = input.environment.placement;
        assignments = placement.planBalance(table, servers, loads, imbalanceLimit, movesAtATime);
    }
    if (assignments.length === 0) {
        return undefined;
    }
    return {
        kind: ledger.RecordKind.assign,
        term: state.term,
        service: service.name,
        basedOn: recorded?.version ?? -1,
        slotCount: service.keySlots,
        assignments,
    };
};

const planTables = (input: PlannerInput): ledger.RecordBody | undefined => {
    for (const service of input.environment.services) {
        const body = service.kind === "keyed" ? planTable(input, service) : undefined;
        if (body !== undefined) {
            return body;
        }
    }
    return undefined;
};

/**
 * Plans the next record: servers first, since requests may be waiting for an owner, then slot assignments, then
 * members.
 *
 * @param input - the state that the plan depends on
 * @returns the record to append, or undefined if no change is needed
 */
export const planNext = (input: PlannerInput): ledger.RecordBody | undefined =>
    planServers(input) ?? planTables(input) ?? planMembers(input);
