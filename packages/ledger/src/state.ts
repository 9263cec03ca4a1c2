/** The state that the log folds into: plain data, equal on every instance that has folded the same records. */
import * as records from "./records";

/** One instance of the system, in one run of its process. */
export interface Member {
    /** Name from the settings. */
    name: string;
    /** Random identifier of this run of the process. */
    incarnation: string;
    /** Address for peers, `IP:PORT`. */
    address: string;
    region: string;
    failureDomain: string;
}

/** Name and session of a server, `NAME@SESSION`; a server that was lost returns under a new session. */
export type ServerIdentifier = string;

/** A server that the log knows. */
export interface ServerRegistration {
    name: string;
    /** Offset of the record that let the server in. */
    session: number;
    /** Identifier of the run of the server's process. */
    incarnation: string;
    status: typeof records.ServerStatus[keyof typeof records.ServerStatus];
    /** Offset of the record that gave the status. */
    statusAt: number;
}

/** Who holds a slot, and under which fencing token. */
export interface Holding {
    holder: ServerIdentifier;
    token: number;
}

/** Owner of one slot, and the heir that takes over when the owner is lost. */
export interface SlotEntry {
    owner: ServerIdentifier;
    token: number;
    heir: ServerIdentifier | undefined;
    /** Token reserved for the heir: above the owner's, below that of any later assignment. */
    heirToken: number;
    /** The holding that this owner replaced. */
    previous: Holding | undefined;
}

/** Owners of one keyed service. */
export interface ServiceTable {
    service: string;
    /** Offset of the last record that changed the table. */
    version: number;
    slots: readonly SlotEntry[];
}

/** A version of an environment document. */
export interface EnvironmentVersion {
    environment: string;
    /** Offset of the record that published or promoted the document. */
    version: number;
    document: string;
    writer: string;
}

/** Last sequence folded from a writer. */
export interface WriterProgress {
    writer: string;
    sequence: number;
    offset: number;
}

/** The folded log. */
export interface LogState {
    /** Offset of the last record folded, -1 before the first. */
    offset: number;
    /** Offset of the last record that changed the state, -1 before the first. */
    changedAt: number;
    writers: readonly WriterProgress[];
    environments: readonly EnvironmentVersion[];
    term: number;
    leader: string | undefined;
    /** Offset of the last change of members. */
    membersVersion: number;
    members: readonly Member[];
    servers: readonly ServerRegistration[];
    /** Offset of the last change of servers. */
    serversVersion: number;
    tables: readonly ServiceTable[];
}

/**
 * Gives the state of an empty log.
 *
 * @returns the state before the first record
 */
export const emptyState = (): LogState => ({
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
 * Identifies a member across processes that reuse its name.
 *
 * @param member - the member
 * @returns `NAME#INCARNATION`
 */
export const memberIdentifier = (member: Pick<Member, "name" | "incarnation">): string =>
    `${member.name}#${member.incarnation}`;

/**
 * Identifies a server across its sessions.
 *
 * @param server - name and session
 * @returns `NAME@SESSION`
 */
export const serverIdentifier = (server: Pick<ServerRegistration, "name" | "session">): ServerIdentifier =>
    `${server.name}@${server.session}`;

/** Tells whether a session of a server has ended for good: was lost, or replaced. */
export type SessionTest = (identifier: ServerIdentifier) => boolean;

/**
 * Creates a test of sessions.
 *
 * @param servers - registrations of the folded log
 * @returns the test, fast for many questions
 */
export const createSessionTest = (servers: readonly ServerRegistration[]): SessionTest => {
    const current = new Set(
        servers.filter(server => server.status !== records.ServerStatus.lost).map(serverIdentifier),
    );
    return identifier => !current.has(identifier);
};

/**
 * Gives the holder of a slot: its owner, or its heir when the owner's session has ended.
 *
 * @param entry - the assignment of the slot
 * @param isEnded - tells whether a session has ended
 * @returns the holding, or undefined when owner and heir are both gone
 */
export const holdingOf = (
    entry: SlotEntry,
    isEnded: SessionTest,
): Holding | undefined => {
    if (!isEnded(entry.owner)) {
        return { holder: entry.owner, token: entry.token };
    }
    const canInherit = entry.heir !== undefined && !isEnded(entry.heir);
    return canInherit ? { holder: entry.heir as ServerIdentifier, token: entry.heirToken } : undefined;
};
