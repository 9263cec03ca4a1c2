/**
 * Folds a record into the state. Pure: no clock, no randomness, so equal records give equal states everywhere.
 * A record whose basis is not current changes nothing, which makes every append a compare-and-set.
 */
import * as records from "./records";
import * as states from "./state";

/** What a record came to. */
export const OutcomeKind = { accepted: "accepted", repeated: "repeated", refused: "refused" } as const;

/** What a record came to, and why it was refused. */
export interface FoldOutcome {
    kind: typeof OutcomeKind[keyof typeof OutcomeKind];
    /** A sentence for people; empty unless refused. */
    reason: string;
}

/** The next state and what the record came to. */
export interface FoldResult {
    state: states.LogState;
    outcome: FoldOutcome;
}

type StateChange = Partial<states.LogState> | string;
type BodyOf<K extends records.RecordBody["kind"]> = Extract<records.RecordBody, { kind: K; }>;

const rememberedWriters = 64;

const environmentOf = (state: states.LogState, name: string): states.EnvironmentVersion | undefined =>
    state.environments.find(entry => entry.environment === name);

const lostTo = (current: states.EnvironmentVersion | undefined, name: string): string =>
    current === undefined
        ? `environment "${name}" has no version yet`
        : `environment "${name}" is at version ${current.version}, written by ${current.writer}`;

const withEnvironment = (state: states.LogState, entry: states.EnvironmentVersion): StateChange => ({
    environments: [...state.environments.filter(other => other.environment !== entry.environment), entry],
});

const foldPublish = (state: states.LogState, body: BodyOf<"publish">, offset: number, writer: string): StateChange => {
    const current = environmentOf(state, body.environment);
    if ((current?.version ?? -1) !== body.basedOn) {
        return lostTo(current, body.environment);
    }
    return withEnvironment(state, { environment: body.environment, version: offset, document: body.document, writer });
};

const foldPromote = (state: states.LogState, body: BodyOf<"promote">, offset: number, writer: string): StateChange => {
    const source = environmentOf(state, body.from);
    const target = environmentOf(state, body.to);
    if (source === undefined || source.version !== body.basedOnFrom) {
        return lostTo(source, body.from);
    }
    if ((target?.version ?? -1) !== body.basedOnTo) {
        return lostTo(target, body.to);
    }
    return withEnvironment(state, { environment: body.to, version: offset, document: source.document, writer });
};

const foldClaim = (state: states.LogState, body: BodyOf<"claim">, offset: number): StateChange => {
    if (body.term !== state.term + 1) {
        return `term ${state.term} is led by ${state.leader ?? "nobody"}`;
    }
    const leader = states.memberIdentifier(body.member);
    if (body.founds === true || state.members.length === 0) {
        return { term: body.term, leader, members: [body.member], membersVersion: offset };
    }
    if (!state.members.some(member => states.memberIdentifier(member) === leader)) {
        return `${leader} is no member`;
    }
    return { term: body.term, leader };
};

const foldMembers = (state: states.LogState, body: BodyOf<"members">, offset: number): StateChange => {
    if (body.term !== state.term || body.basedOn !== state.membersVersion) {
        return `members are at version ${state.membersVersion} in term ${state.term}`;
    }
    if ((body.add === undefined) === (body.remove === undefined)) {
        return "members change by one at a time";
    }
    if (body.add !== undefined) {
        const added = body.add;
        return state.members.some(member => member.name === added.name)
            ? `${added.name} is a member already`
            : { members: [...state.members, added], membersVersion: offset };
    }
    const members = state.members.filter(member => states.memberIdentifier(member) !== body.remove);
    return members.length === state.members.length || members.length === 0
        ? `${body.remove} cannot be removed`
        : { members, membersVersion: offset };
};

const foldServers = (state: states.LogState, body: BodyOf<"servers">, offset: number): StateChange => {
    if (body.term !== state.term || body.basedOn !== state.serversVersion) {
        return `servers are at version ${state.serversVersion} in term ${state.term}`;
    }
    let servers = [...state.servers];
    for (const change of body.changes) {
        const current = servers.find(server => server.name === change.name);
        const isNewSession = change.status === records.ServerStatus.serving
            && current?.status !== records.ServerStatus.leaving;
        if (current === undefined && !isNewSession) {
            continue;
        }
        const next: states.ServerRegistration = {
            name: change.name,
            incarnation: change.incarnation,
            session: isNewSession || current === undefined ? offset : current.session,
            status: change.status,
            statusAt: offset,
        };
        servers = [...servers.filter(server => server.name !== change.name), next];
    }
    return { servers, serversVersion: offset };
};

const createEntry = (
    assignment: records.Assignment,
    before: states.SlotEntry | undefined,
    isEnded: states.SessionTest,
    offset: number,
): states.SlotEntry => {
    const replaced = before === undefined ? undefined : states.holdingOf(before, isEnded);
    const isSameHolder = replaced !== undefined && replaced.holder === assignment.owner;
    const isSameOwner = isSameHolder && before?.owner === assignment.owner;
    const keepsHeir = isSameOwner && before.heir === assignment.heir;
    const lostOwner = before === undefined ? undefined : { holder: before.owner, token: before.token };
    return {
        owner: assignment.owner,
        token: isSameHolder ? replaced.token : offset * 2,
        heir: assignment.heir,
        heirToken: keepsHeir ? before.heirToken : offset * 2 + 1,
        // An heir that becomes the owner replaced the lost owner, not whom that one had replaced.
        previous: isSameOwner ? before.previous : isSameHolder ? lostOwner : replaced,
    };
};

const foldAssign = (state: states.LogState, body: BodyOf<"assign">, offset: number): StateChange => {
    const table = state.tables.find(entry => entry.service === body.service);
    if (body.term !== state.term || body.basedOn !== (table?.version ?? -1)) {
        return `the table of ${body.service} is at version ${table?.version ?? -1} in term ${state.term}`;
    }
    const isSameSize = table !== undefined && table.slots.length === body.slotCount;
    const slots: states.SlotEntry[] = isSameSize ? [...table.slots] : [];
    const isEnded = states.createSessionTest(state.servers);
    for (const assignment of body.assignments) {
        slots[assignment.slot] = createEntry(assignment, slots[assignment.slot], isEnded, offset);
    }
    for (let slot = 0; slot < body.slotCount; slot++) {
        if (slots[slot] === undefined) {
            return `slot ${slot} of ${body.service} has no owner`;
        }
    }
    const next: states.ServiceTable = { service: body.service, version: offset, slots };
    return { tables: [...state.tables.filter(entry => entry.service !== body.service), next] };
};

const foldBody = (state: states.LogState, record: records.LogRecord, offset: number): StateChange => {
    const body = record.body;
    switch (body.kind) {
        case records.RecordKind.publish:
            return foldPublish(state, body, offset, record.identifier.writer);
        case records.RecordKind.promote:
            return foldPromote(state, body, offset, record.identifier.writer);
        case records.RecordKind.claim:
            return foldClaim(state, body, offset);
        case records.RecordKind.members:
            return foldMembers(state, body, offset);
        case records.RecordKind.servers:
            return foldServers(state, body, offset);
        case records.RecordKind.assign:
            return foldAssign(state, body, offset);
        case records.RecordKind.checkpoint:
            return {};
    }
};

const rememberWriter = (
    state: states.LogState,
    record: records.LogRecord,
    offset: number,
): readonly states.WriterProgress[] => {
    const { writer, sequence } = record.identifier;
    const others = state.writers.filter(entry => entry.writer !== writer);
    return [...others, { writer, sequence, offset }].slice(-rememberedWriters);
};

/**
 * Folds one record.
 *
 * @param state - the state before the record
 * @param record - the record
 * @param offset - the record's offset in the log
 * @returns the state after the record and what the record came to
 */
export const fold = (state: states.LogState, record: records.LogRecord, offset: number): FoldResult => {
    const progress = state.writers.find(entry => entry.writer === record.identifier.writer);
    if (progress !== undefined && record.identifier.sequence <= progress.sequence) {
        return { state: { ...state, offset }, outcome: { kind: OutcomeKind.repeated, reason: "" } };
    }
    const change = foldBody(state, record, offset);
    const changesState = record.body.kind !== records.RecordKind.checkpoint;
    const writers = rememberWriter(state, record, offset);
    if (typeof change === "string") {
        return { state: { ...state, offset, writers }, outcome: { kind: OutcomeKind.refused, reason: change } };
    }
    return {
        state: { ...state, ...change, offset, changedAt: changesState ? offset : state.changedAt, writers },
        outcome: { kind: OutcomeKind.accepted, reason: "" },
    };
};
