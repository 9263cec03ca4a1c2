/** State derived from the log: plain data that is equal on every instance that has applied the same records. */
import * as records from "./records";

/** One incarnation of an instance: a single run of its process. */
export interface Member {
    /** Instance name from the settings. */
    name: string;
    /** Random identifier of this process run. */
    incarnation: string;
    /** Address for peer connections, `IP:PORT`. */
    address: string;
    region: string;
    failureDomain: string;
}

/** Name and session of a server, `NAME@SESSION`. A server that returns after being lost gets a new session. */
export type ServerIdentifier = string;

/** A server registered in the log. */
export interface ServerRegistration {
    name: string;
    /** Offset of the record that started the session. */
    session: number;
    /** Identifier of the server's process run. */
    incarnation: string;
    status: typeof records.ServerStatus[keyof typeof records.ServerStatus];
    /** Offset of the record that set the status. */
    statusAt: number;
}

/** Holder of a slot and its fencing token. */
export interface SlotHolder {
    holder: ServerIdentifier;
    token: number;
}

/** Owner of a slot, and the successor that takes over when the owner is lost. */
export interface SlotEntry {
    owner: ServerIdentifier;
    token: number;
    /** Successor of the owner. */
    heir: ServerIdentifier | undefined;
    /** Fencing token reserved for the successor: above the owner's token and below that of any later assignment. */
    heirToken: number;
    /** The holder that this owner replaced. */
    previous: SlotHolder | undefined;
}

/** Slot assignments of one keyed service. */
export interface ServiceTable {
    service: string;
    /** Offset of the last record that changed the table. */
    version: number;
    slots: readonly SlotEntry[];
}

/** Current version of an environment document. */
export interface EnvironmentVersion {
    environment: string;
    /** Offset of the record that published or promoted the document. */
    version: number;
    document: string;
    writer: string;
}

/** Sequence number and offset of a writer's last accepted or refused record. */
export interface WriterProgress {
    writer: string;
    sequence: number;
    offset: number;
}

/** State after applying the log up to an offset. */
export interface LogState {
    /** Offset of the last record read, including refused and malformed ones; -1 before the first. */
    offset: number;
    /** Offset of the last record that changed the state, -1 before the first. */
    changedAt: number;
    writers: readonly WriterProgress[];
    environments: readonly EnvironmentVersion[];
    term: number;
    leader: string | undefined;
    /** Offset of the last record that changed the members. */
    membersVersion: number;
    members: readonly Member[];
    servers: readonly ServerRegistration[];
    /** Offset of the last record that changed the servers. */
    serversVersion: number;
    tables: readonly ServiceTable[];
}

/**
 * Creates the state of an empty log.
 *
 * @returns the state before the first record
 */
export const createEmptyState = (): LogState => ({
    offset: -1,
    changedAt: -1,
    writers: [],
    environments: [],
    term: 0,
    leader: undefined,
    membersVersion: -1,
    members: [],
    servers: [],
    serversVersion: -1,
    tables: [],
});

/**
 * Returns the identifier of a member, unique across processes that reuse its name.
 *
 * @param member - the member
 * @returns `NAME#INCARNATION`
 */
export const memberIdentifier = (member: Pick<Member, "name" | "incarnation">): string =>
    `${member.name}#${member.incarnation}`;

/**
 * Returns the identifier of a server session.
 *
 * @param server - name and session of the server
 * @returns `NAME@SESSION`
 */
export const serverIdentifier = (server: Pick<ServerRegistration, "name" | "session">): ServerIdentifier =>
    `${server.name}@${server.session}`;

/** Whether a server session has ended permanently, because the server was lost or has a newer session. */
export type SessionPredicate = (identifier: ServerIdentifier) => boolean;

/**
 * Creates a predicate for ended sessions. Each check is one set lookup.
 *
 * @param servers - server registrations of the log state
 * @returns the predicate
 */
export const createEndedSessionPredicate = (servers: readonly ServerRegistration[]): SessionPredicate => {
    const activeSessions = new Set(
        servers.filter(server => server.status !== records.ServerStatus.lost).map(serverIdentifier),
    );
    return identifier => !activeSessions.has(identifier);
};

/**
 * Returns the holder of a slot: its owner, or its successor if the owner's session has ended.
 *
 * @param entry - entry of the slot in the service table
 * @param isSessionEnded - whether a session has ended
 * @returns the holder, or undefined if the sessions of both owner and successor have ended
 */
export const findSlotHolder = (
    entry: SlotEntry,
    isSessionEnded: SessionPredicate,
): SlotHolder | undefined => {
    if (!isSessionEnded(entry.owner)) {
        return { holder: entry.owner, token: entry.token };
    }
    const isSuccessorActive = entry.heir !== undefined && !isSessionEnded(entry.heir);
    return isSuccessorActive ? { holder: entry.heir as ServerIdentifier, token: entry.heirToken } : undefined;
};
