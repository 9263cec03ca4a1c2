/** Chooses the next record that a leader appends. Pure: what it sees goes in, at most one record comes out. */
import type * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import * as placement from "./placement";

/** What is seen of one server now. */
export interface ServerSighting {
    name: string;
    incarnation: string;
    isDraining: boolean;
}

/** All that a leader decides on. */
export interface PlannerView {
    state: ledger.LogState;
    environment: configuration.Environment;
    /** Instances that answer and are not leaving, the own one included. */
    liveInstances: readonly ledger.Member[];
    /** Members that are certainly or very probably gone, the own one excluded. */
    goneMembers: readonly string[];
    /** Servers that answer. */
    sightings: readonly ServerSighting[];
    /** Sessions declared ended ahead of the log. */
    lapses: readonly ledger.ServerIdentifier[];
    loadsOf: (service: string) => readonly placement.SlotLoad[];
    /** Whether moves for balance are wanted now. */
    mayBalance: boolean;
    /** Whether the last change of members is confirmed by a majority. */
    areMembersConfirmed: boolean;
}

const leavingMovesAtATime = 32;

const planMembers = (view: PlannerView): ledger.RecordBody | undefined => {
    const { state } = view;
    if (!view.areMembersConfirmed) {
        return undefined;
    }
    const body = { kind: ledger.RecordKind.members, term: state.term, basedOn: state.membersVersion };
    const gone = state.members.map(ledger.memberIdentifier).find(member => view.goneMembers.includes(member));
    if (gone !== undefined) {
        return { ...body, remove: gone };
    }
    const names = state.members.map(member => member.name);
    const joining = view.liveInstances.find(instance => !names.includes(instance.name));
    return joining === undefined ? undefined : { ...body, add: joining };
};

const keyedServers = (environment: configuration.Environment): configuration.Service["upstreams"] =>
    environment.services.filter(service => service.kind === "keyed").flatMap(service => service.upstreams);

const changeOf = (view: PlannerView, name: string): ledger.ServerChange | undefined => {
    const registration = view.state.servers.find(server => server.name === name);
    const sighting = view.sightings.find(entry => entry.name === name);
    const isListed = keyedServers(view.environment).some(upstream => upstream.name === name);
    if (registration === undefined || registration.status === ledger.ServerStatus.lost) {
        const mayJoin = isListed && sighting !== undefined && !sighting.isDraining;
        return mayJoin ? { name, incarnation: sighting.incarnation, status: ledger.ServerStatus.serving } : undefined;
    }
    const hasLapsed = view.lapses.includes(ledger.serverIdentifier(registration));
    const isReplaced = sighting !== undefined && sighting.incarnation !== registration.incarnation;
    if (hasLapsed || isReplaced) {
        return { name, incarnation: registration.incarnation, status: ledger.ServerStatus.lost };
    }
    const mustLeave = !isListed || sighting?.isDraining === true;
    if (mustLeave && registration.status === ledger.ServerStatus.serving) {
        return { name, incarnation: registration.incarnation, status: ledger.ServerStatus.leaving };
    }
    if (!mustLeave && sighting !== undefined && registration.status === ledger.ServerStatus.leaving) {
        return { name, incarnation: registration.incarnation, status: ledger.ServerStatus.serving };
    }
    return undefined;
};

const planServers = (view: PlannerView): ledger.RecordBody | undefined => {
    const names = new Set([
        ...view.state.servers.map(server => server.name),
        ...keyedServers(view.environment).map(upstream => upstream.name),
    ]);
    const changes = [...names].map(name => changeOf(view, name)).filter(change => change !== undefined);
    if (changes.length === 0) {
        return undefined;
    }
    return { kind: ledger.RecordKind.servers, term: view.state.term, basedOn: view.state.serversVersion, changes };
};

const placementServers = (view: PlannerView, service: configuration.Service): placement.PlacementServer[] => {
    const servers: placement.PlacementServer[] = [];
    for (const registration of view.state.servers) {
        const upstream = service.upstreams.find(entry => entry.name === registration.name);
        const identifier = ledger.serverIdentifier(registration);
        const isUsable = registration.status !== ledger.ServerStatus.lost && !view.lapses.includes(identifier);
        if (!isUsable) {
            continue;
        }
        const isLeaving = upstream === undefined || registration.status === ledger.ServerStatus.leaving;
        servers.push({ identifier, failureDomain: upstream?.failureDomain ?? "", isLeaving });
    }
    return servers;
};

const planTable = (view: PlannerView, service: configuration.Service): ledger.RecordBody | undefined => {
    const { state } = view;
    const recorded = state.tables.find(entry => entry.service === service.name);
    const table = recorded?.slots.length === service.keySlots ? recorded : undefined;
    const servers = placementServers(view, service);
    const isRecordedEnded = ledger.createEndedSessionPredicate(state.servers);
    const isEnded = (identifier: ledger.ServerIdentifier): boolean =>
        view.lapses.includes(identifier) || isRecordedEnded(identifier);
    const loads = view.loadsOf(service.name);
    let assignments = placement.planRepair(
        service.name,
        service.keySlots,
        table,
        servers,
        loads,
        isEnded,
        leavingMovesAtATime,
    );
    if (assignments.length === 0 && table !== undefined && view.mayBalance) {
        const { imbalanceLimit, movesAtATime } = view.environment.placement;
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

const planTables = (view: PlannerView): ledger.RecordBody | undefined => {
    for (const service of view.environment.services) {
        const body = service.kind === "keyed" ? planTable(view, service) : undefined;
        if (body !== undefined) {
            return body;
        }
    }
    return undefined;
};

/**
 * Plans the next record: servers first, since keys may be waiting, then owners, then members.
 *
 * @param view - all that is seen
 * @returns the record to append, or undefined when all is in order
 */
export const planNext = (view: PlannerView): ledger.RecordBody | undefined =>
    planServers(view) ?? planTables(view) ?? planMembers(view);
