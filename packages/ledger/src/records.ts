/** Schemas and types of log records, and their validation. */
import * as tsResults from "ts-results";
import * as zod from "zod";

/** Kinds of log record. */
export const RecordKind = {
    publish: "publish",
    promote: "promote",
    claim: "claim",
    members: "members",
    servers: "servers",
    assign: "assign",
    checkpoint: "checkpoint",
} as const;

/** Status of a server as recorded in the log. */
export const ServerStatus = { serving: "serving", leaving: "leaving", lost: "lost" } as const;

const nonNegativeIntegerSchema = zod.int().min(0);
const offsetSchema = zod.int().min(-1);

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
    slot: nonNegativeIntegerSchema,
    owner: zod.string(),
    heir: zod.string().optional(),
});

const bodySchema = zod.discriminatedUnion("kind", [
    zod.object({
        kind: zod.literal(RecordKind.publish),
        environment: zod.string(),
        basedOn: offsetSchema,
        document: zod.string(),
    }),
    zod.object({
        kind: zod.literal(RecordKind.promote),
        from: zod.string(),
        to: zod.string(),
        basedOnFrom: offsetSchema,
        basedOnTo: offsetSchema,
    }),
    zod.object({
        kind: zod.literal(RecordKind.claim),
        term: nonNegativeIntegerSchema,
        member: memberSchema,
        /** Makes the claimant the only member, because every earlier member has terminated. */
        founds: zod.boolean().optional(),
    }),
    zod.object({
        kind: zod.literal(RecordKind.members),
        term: nonNegativeIntegerSchema,
        basedOn: offsetSchema,
        add: memberSchema.optional(),
        remove: zod.string().optional(),
    }),
    zod.object({
        kind: zod.literal(RecordKind.servers),
        term: nonNegativeIntegerSchema,
        basedOn: offsetSchema,
        changes: zod.array(serverChangeSchema),
    }),
    zod.object({
        kind: zod.literal(RecordKind.assign),
        term: nonNegativeIntegerSchema,
        service: zod.string(),
        basedOn: offsetSchema,
        /** Number of slots of the service. Changing it discards the existing table. */
        slotCount: nonNegativeIntegerSchema,
        assignments: zod.array(assignmentSchema),
    }),
    zod.object({
        kind: zod.literal(RecordKind.checkpoint),
        checkpoint: zod.string(),
        upTo: offsetSchema,
        index: nonNegativeIntegerSchema,
        count: nonNegativeIntegerSchema,
        digest: zod.string(),
        data: zod.string(),
    }),
]);

const recordSchema = zod.object({
    identifier: zod.object({ writer: zod.string(), sequence: nonNegativeIntegerSchema }),
    body: bodySchema,
});

/** A log record. */
export type LogRecord = zod.infer<typeof recordSchema>;

/** Content of a record, discriminated by its kind. */
export type RecordBody = LogRecord["body"];

/** Writer of a record and the record's sequence number among that writer's records. */
export type RecordIdentifier = LogRecord["identifier"];

/** Status change of one server. */
export type ServerChange = zod.infer<typeof serverChangeSchema>;

/** New owner and successor of a slot. */
export type Assignment = zod.infer<typeof assignmentSchema>;

/**
 * Validates a value read from the log.
 *
 * @param value - parsed JSON
 * @returns the record, or the first validation error
 */
export const parseRecord = (value: unknown): tsResults.Result<LogRecord, string> => {
    const parsed = recordSchema.safeParse(value);
    return parsed.success
        ? tsResults.Ok(parsed.data)
        : tsResults.Err(parsed.error.issues[0]?.message ?? "malformed record");
};
