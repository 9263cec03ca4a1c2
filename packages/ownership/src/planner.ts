/** Chooses the next record that a leader appends. Pure: what it sees goes in, at most one record comes out. */
import type { Environment, Service } from "@mulberryseam/configuration";
import {
    createSessionTest,
    type LogState,
    type Member,
    memberIdentifier,
    type RecordBody,
    RecordKind,
    type ServerChange,
    type ServerIdentifier,
    serverIdentifier,
    ServerStatus,
} from "@mulberryseam/ledger";
import { type PlacementServer, planBalance, planRepair, type SlotLoad } from "./placement";

/** What is seen of one server now. */
export interface ServerSighting {
    name: string;
    incarnation: string;
    isDraining: boolean;
}

/** All that a leader decides on. */
export interface PlannerView {
    state: LogState;
    environment: Environment;
    /** Instances that answer and are not leaving, the own one included. */
    liveInstances: readonly Member[];
    /** Members that are certainly or very probably gone, the own one excluded. */
    goneMembers: readonly string[];
    /** Servers that answer. */
    sightings: readonly ServerSighting[];
    /** Sessions declared ended ahead of the log. */
    lapses: readonly ServerIdentifier[];
    loadsOf: (service: string) => readonly SlotLoad[];
    /** Whether moves for balance are wanted now. */
    mayBalance: boolean;
    /** Whether the last change of members is confirmed by a majority. */
    areMembersConfirmed: boolean;
}

const leavingMovesAtATime = 32;

const planMembers = (view: PlannerView): RecordBody | undefined => {
    const { state } = view;
    if (!view.areMembersConfirmed) {
        return undefined;
    }
    const body = { kind: RecordKind.members, term: state.term, basedOn: state.membersVersion };
    const gone = state.members.map(memberIdentifier).find(member => view.goneMembers.includes(member));
    if (gone !== undefined) {
        return { ...body, remove: gone };
    }
    const names = state.members.map(member => member.name);
    const joining = view.liveInstances.find(instance => !names.includes(instance.name));
    return joining === undefined ? undefined : { ...body, add: joining };
};

const keyedServers = (environment: Environment): Service["upstreams"] =>
    environment.services.filter(service => service.kind === "keyed").flatMap(service => service.upstreams);

const changeOf = (view: PlannerView, name: string): ServerChange | undefined => {
    const registration = view.state.servers.find(server => server.name === name);
    const sighting = view.sightings.find(entry => entry.name === name);
    const isListed = keyedServers(view.environment).some(upstream => upstream.name === name);
    if (registration === undefined || registration.status === ServerStatus.lost) {
        const mayJoin = isListed && sighting !== undefined && !sighting.isDraining;
        return mayJoin ? { name, incarnation: sighting.incarnation, status: ServerStatus.serving } : undefined;
    }
    const hasLapsed = view.lapses.includes(serverIdentifier(registration));
    const isReplaced = sighting !== undefined && sighting.incarnation !== registration.incarnation;
    if (hasLapsed || isReplaced) {
        return { name, incarnation: registration.incarnation, status: ServerStatus.lost };
    }
    const mustLeave = !isListed || sighting?.isDraining === true;
    if (mustLeave && registration.status === ServerStatus.serving) {
        return { name, incarnation: registration.incarnation, status: ServerStatus.leaving };
    }
    if (!mustLeave && sighting !== undefined && registration.status === ServerStatus.leaving) {
        return { name, incarnation: registration.incarnation, status: ServerStatus.serving };
    }
    return undefined;
};

const planServers = (view: PlannerView): RecordBody | undefined => {
    const names = new Set([
        ...view.state.servers.map(server => server.name),
        ...keyedServers(view.environment).map(upstream => upstream.name),
    ]);
    const changes = [...names].map(name => changeOf(view, name)).filter(change => change !== undefined);
    if (changes.length === 0) {
        return undefined;
    }
    return { kind: RecordKind.servers, term: view.state.term, basedOn: view.state.serversVersion, changes };
};

const placementServers = (view: PlannerView, service: Service): PlacementServer[] => {
    const servers: PlacementServer[] = [];
    for (const registration of view.state.servers) {
        const upstream = service.upstreams.find(entry => entry.name === registration.name);
        const identifier = serverIdentifier(registration);
        const isUsable = registration.status !== ServerStatus.lost && !view.lapses.includes(identifier);
        if (!isUsable) {
            continue;
        }
        const isLeaving = upstream === undefined || registration.status === ServerStatus.leaving;
        servers.push({ identifier, failureDomain: upstream?.failureDomain ?? "", isLeaving });
    }
    return servers;
};

const planTable = (view: PlannerView, service: Service): RecordBody | undefined => {
    const { state } = view;
    const recorded = state.tables.find(entry => entry.service === service.name);
    const table = recorded?.slots.length === service.keySlots ? recorded : undefined;
    const servers = placementServers(view, service);
    const isRecordedEnded = createSessionTest(state.servers);
    const isEnded = (identifier: ServerIdentifier): boolean =>
        view.lapses.includes(identifier) || isRecordedEnded(identifier);
    const loads = view.loadsOf(service.name);
    let assignments = planRepair(
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
        assignments = planBalance(table, servers, loads, imbalanceLimit, movesAtATime);
    }
    if (assignments.length === 0) {
        return undefined;
    }
    return {
        kind: RecordKind.assign,
        term: state.term,
        service: service.name,
        basedOn: recorded?.version ?? -1,
        slotCount: service.keySlots,
        assignments,
    };
};

const planTables = (view: PlannerView): RecordBody | undefined => {
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
export const planNext = (view: PlannerView): RecordBody | undefined =>
    planServers(view) ?? planTables(view) ?? planMembers(view);
