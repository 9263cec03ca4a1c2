/**
 * Applies log records to the state. The functions are pure, without clock or randomness, so that applying the same
 * records yields the same state on every instance. A record that is based on an outdated version is refused and changes
 * only the offset and the writer's sequence number, which makes every append a compare-and-set.
 */
import * as records from "./records";
import * as states from "./state";

/** Outcomes of applying a record. A `repeated` record has a sequence number that its writer has already used. */
export const OutcomeKind = { accepted: "accepted", repeated: "repeated", refused: "refused" } as const;

/** Outcome of applying a record, with the reason for a refusal. */
export interface RecordOutcome {
    kind: typeof OutcomeKind[keyof typeof OutcomeKind];
    /** Human-readable reason; empty unless the record was refused. */
    reason: string;
}

/** State after a record and the outcome of applying it. */
export interface ApplyResult {
    state: states.LogState;
    outcome: RecordOutcome;
}

/** Changed properties of the state, or the reason for refusing the record. */
type StateChange = Partial<states.LogState> | string;
type BodyOf<K extends records.RecordBody["kind"]> = Extract<records.RecordBody, { kind: K; }>;

/** Number of most recent writers whose sequence numbers are kept for detecting repeated records. */
const maxTrackedWriters = 64;

const findEnvironment = (state: states.LogState, name: string): states.EnvironmentVersion | undefined =>
    state.environments.find(entry => entry.environment === name);

const describeCurrentVersion = (current: states.EnvironmentVersion | undefined, name: string): string =>
    current === undefined
        ? `environment "${name}" has no version yet`
        : `environment "${name}" is at version ${current.version}, written by ${current.writer}`;

const replaceEnvironment = (state: states.LogState, entry: states.EnvironmentVersion): StateChange => ({
    environments: [...state.environments.filter(other => other.environment !== entry.environment), entry],
});

const applyPublish = (state: states.LogState, body: BodyOf<"publish">, offset: number, writer: string): StateChange => {
    const current = findEnvironment(state, body.environment);
    if ((current?.version ?? -1) !== body.basedOn) {
        return describeCurrentVersion(current, body.environment);
    }
    return replaceEnvironment(state, {
        environment: body.environment,
        version: offset,
        document: body.document,
        writer,
    });
};

const applyPromote = (state: states.LogState, body: BodyOf<"promote">, offset: number, writer: string): StateChange => {
    const source = findEnvironment(state, body.from);
    const target = findEnvironment(state, body.to);
    if (source === undefined || source.version !== body.basedOnFrom) {
        return describeCurrentVersion(source, body.from);
    }
    if ((target?.version ?? -1) !== body.basedOnTo) {
        return describeCurrentVersion(target, body.to);
    }
    return replaceEnvironment(state, { environment: body.to, version: offset, document: source.document, writer });
};

const applyClaim = (state: states.LogState, body: BodyOf<"claim">, offset: number): StateChange => {
    if (body.term !== state.term + 1) {
        return `term ${state.term} is led by ${state.leader ?? "nobody"}`;
    }
    const leader = states.memberIdentifier(body.member);
    if (body.founds === true || state.members.length === 0) {
        return { term: body.term, leader, members: [body.member], membersVersion: offset };
    }
    if (!state.members.some(member => states.memberIdentifier(member) === leader)) {
        return `${leader} is not a member`;
    }
    return { term: body.term, leader };
};

const applyMembers = (state: states.LogState, body: BodyOf<"members">, offset: number): StateChange => {
    if (body.term !== state.term || body.basedOn !== state.membersVersion) {
        return `members are at version ${state.membersVersion} in term ${state.term}`;
    }
    if ((body.add === undefined) === (body.remove === undefined)) {
        return "only one member can be added or removed at a time";
    }
    if (body.add !== undefined) {
        const added = body.add;
        return state.members.some(member => member.name === added.name)
            ? `${added.name} is already a member`
            : { members: [...state.members, added], membersVersion: offset };
    }
    const members = state.members.filter(member => states.memberIdentifier(member) !== body.remove);
    return members.length === state.members.length || members.length === 0
        ? `${body.remove} cannot be removed`
        : { members, membersVersion: offset };
};

const applyServers = (state: states.LogState, body: BodyOf<"servers">, offset: number): StateChange => {
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

const createSlotEntry = (
    assignment: records.Assignment,
    previousEntry: states.SlotEntry | undefined,
    isSessionEnded: states.SessionPredicate,
    offset: number,
): states.SlotEntry => {
    const previousHolder = previousEntry === undefined
        ? undefined
        : states.findSlotHolder(previousEntry, isSessionEnded);
    const isSameHolder = previousHolder !== undefined && previousHolder.holder === assignment.owner;
    const isSameOwner = isSameHolder && previousEntry?.owner === assignment.owner;
    const isSameSuccessor = isSameOwner && previousEntry.heir === assignment.heir;
    const previousOwner = previousEntry === undefined
        ? undefined
        : { holder: previousEntry.owner, token: previousEntry.token };
    return {
        owner: assignment.owner,
        token: isSameHolder ? previousHolder.token : offset * 2,
        heir: assignment.heir,
        heirToken: isSameSuccessor ? previousEntry.heirToken : offset * 2 + 1,
        // A successor that becomes the owner replaces the lost owner, not the holder that the lost owner had replaced.
        previous: isSameOwner ? previousEntry.previous : isSameHolder ? previousOwner : previousHolder,
    };
};

const applyAssign = (state: states.LogState, body: BodyOf<"assign">, offset: number): StateChange => {
    const table = state.tables.find(entry => entry.service === body.service);
    if (body.term !== state.term || body.basedOn !== (table?.version ?? -1)) {
        return `the table of ${body.service} is at version ${table?.version ?? -1} in term ${state.term}`;
    }
    const isSameSize = table !== undefined && table.slots.length === body.slotCount;
    const slots: states.SlotEntry[] = isSameSize ? [...table.slots] : [];
    const isSessionEnded = states.createEndedSessionPredicate(state.servers);
    for (const assignment of body.assignments) {
        slots[assignment.slot] = createSlotEntry(assignment, slots[assignment.slot], isSessionEnded, offset);
    }
    for (let slot = 0; slot < body.slotCount; slot++) {
        if (slots[slot] === undefined) {
            return `slot ${slot} of ${body.service} has no owner`;
        }
    }
    const next: states.ServiceTable = { service: body.service, version: offset, slots };
    return { tables: [...state.tables.filter(entry => entry.service !== body.service), next] };
};

const applyBody = (state: states.LogState, record: records.LogRecord, offset: number): StateChange => {
    const body = record.body;
    switch (body.kind) {
        case records.RecordKind.publish:
            return applyPublish(state, body, offset, record.identifier.writer);
        case records.RecordKind.promote:
            return applyPromote(state, body, offset, record.identifier.writer);
        case records.RecordKind.claim:
            return applyClaim(state, body, offset);
        case records.RecordKind.members:
            return applyMembers(state, body, offset);
        case records.RecordKind.servers:
            return applyServers(state, body, offset);
        case records.RecordKind.assign:
            return applyAssign(state, body, offset);
        case records.RecordKind.checkpoint:
            return {};
    }
};

const updateWriters = (
    state: states.LogState,
    record: records.LogRecord,
    offset: number,
): readonly states.WriterProgress[] => {
    const { writer, sequence } = record.identifier;
    const others = state.writers.filter(entry => entry.writer !== writer);
    return [...others, { writer, sequence, offset }].slice(-maxTrackedWriters);
};

/**
 * Applies one record.
 *
 * @param state - state before the record
 * @param record - the record to apply
 * @param offset - offset of the record in the log
 * @returns the state after the record and the outcome
 */
export const applyRecord = (state: states.LogState, record: records.LogRecord, offset: number): ApplyResult => {
    const progress = state.writers.find(entry => entry.writer === record.identifier.writer);
    if (progress !== undefined && record.identifier.sequence <= progress.sequence) {
        return { state: { ...state, offset }, outcome: { kind: OutcomeKind.repeated, reason: "" } };
    }
    const change = applyBody(state, record, offset);
    const changesState = record.body.kind !== records.RecordKind.checkpoint;
    const writers = updateWriters(state, record, offset);
    if (typeof change === "string") {
        return { state: { ...state, offset, writers }, outcome: { kind: OutcomeKind.refused, reason: change } };
    }
    return {
        state: { ...state, ...change, offset, changedAt: changesState ? offset : state.changedAt, writers },
        outcome: { kind: OutcomeKind.accepted, reason: "" },
    };
};
