/** Records of the log and the check that a record is well formed. */
import * as tsResults from "ts-results";
import * as zod from "zod";

/** Kinds of record. */
export const RecordKind = {
    publish: "publish",
    promote: "promote",
    claim: "claim",
    members: "members",
    servers: "servers",
    assign: "assign",
    checkpoint: "checkpoint",
} as const;

/** Status of a server in the log. */
export const ServerStatus = { serving: "serving", leaving: "leaving", lost: "lost" } as const;

const count = zod.int().min(0);
const offset = zod.int().min(-1);

const memberSchema = zod.object({
    name: zod.string(),
    incarnation: zod.string(),
    address: zod.string(),
    region: zod.string(),
    failureDomain: zod.string(),
});

const serverChangeSchema = zod.object({
    name: zod.string(),
    incarnation: zod.string(),
    status: zod.enum([ServerStatus.serving, ServerStatus.leaving, ServerStatus.lost]),
});

const assignmentSchema = zod.object({
    slot: count,
    owner: zod.string(),
    heir: zod.string().optional(),
});

const bodySchema = zod.discriminatedUnion("kind", [
    zod.object({
        kind: zod.literal(RecordKind.publish),
        environment: zod.string(),
        basedOn: offset,
        document: zod.string(),
    }),
    zod.object({
        kind: zod.literal(RecordKind.promote),
        from: zod.string(),
        to: zod.string(),
        basedOnFrom: offset,
        basedOnTo: offset,
    }),
    zod.object({
        kind: zod.literal(RecordKind.claim),
        term: count,
        member: memberSchema,
        /** The claimant becomes the only member, since every member before has ended. */
        founds: zod.boolean().optional(),
    }),
    zod.object({
        kind: zod.literal(RecordKind.members),
        term: count,
        basedOn: offset,
        add: memberSchema.optional(),
        remove: zod.string().optional(),
    }),
    zod.object({
        kind: zod.literal(RecordKind.servers),
        term: count,
        basedOn: offset,
        changes: zod.array(serverChangeSchema),
    }),
    zod.object({
        kind: zod.literal(RecordKind.assign),
        term: count,
        service: zod.string(),
        basedOn: offset,
        /** Number of slots of the service; a change of it starts the table anew. */
        slotCount: count,
        assignments: zod.array(assignmentSchema),
    }),
    zod.object({
        kind: zod.literal(RecordKind.checkpoint),
        checkpoint: zod.string(),
        upTo: offset,
        index: count,
        count,
        digest: zod.string(),
        data: zod.string(),
    }),
]);

const recordSchema = zod.object({
    identifier: zod.object({ writer: zod.string(), sequence: count }),
    body: bodySchema,
});

/** A record of the log. */
export type LogRecord = zod.infer<typeof recordSchema>;

/** What a record says. */
export type RecordBody = LogRecord["body"];

/** Who wrote a record, and its number among that writer's records. */
export type RecordIdentifier = LogRecord["identifier"];

/** A change of one server's status. */
export type ServerChange = zod.infer<typeof serverChangeSchema>;

/** A new owner and heir. */
export type Assignment = zod.infer<typeof assignmentSchema>;

/**
 * Checks that a value read from the log is a record.
 *
 * @param value - parsed JSON
 * @returns the record, or what is wrong with it
 */
export const parseRecord = (value: unknown): tsResults.Result<LogRecord, string> => {
    const parsed = recordSchema.safeParse(value);
    return parsed.success
        ? tsResults.Ok(parsed.data)
        : tsResults.Err(parsed.error.issues[0]?.message ?? "malformed record");
};
