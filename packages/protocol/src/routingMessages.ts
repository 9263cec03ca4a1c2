/** Messages between the leader of key ownership and its followers, the other instances, and their validation. */
import * as tsResults from "ts-results";
import * as zod from "zod";

/** Version of the routing protocol; instances refuse any other version. */
export const routingProtocolVersion = 3;

/** Kinds of messages. */
export const RoutingMessageKind = {
    join: "join",
    notLeader: "notLeader",
    beat: "beat",
    routing: "routing",
    news: "news",
    report: "report",
    resigned: "resigned",
    snapshot: "snapshot",
    delegates: "delegates",
    stopping: "stopping",
} as const;

const keySchema = zod.int().min(0).max(65_535);
const portSchema = zod.int().min(1).max(65_535);
/** Limit of times, weights and counts, far above those of any instance. */
const maxNumber = 1e12;
const numberSchema = zod.number().min(0).max(maxNumber);

const changeSchema = zod.object({
    first: keySchema,
    last: keySchema,
    token: zod.int(),
    /** Index in the list of owners; -1 while no upstream may serve the keys. */
    owner: zod.int(),
});

const ownerSchema = zod.object({
    identifier: zod.string(),
    startedAt: zod.number(),
    host: zod.string(),
    port: zod.int(),
});

const leavingUpstreamSchema = zod.object({ identifier: zod.string(), startedAt: zod.number(), age: numberSchema });

/** Era of the store; releases that do not know eras leave it out. */
const eraSchema = zod.int().min(0).default(0);

/** A position in a topic of the store; an offset names a record only within its era. */
const positionFields = { era: eraSchema, end: zod.int() };

const topicPositionSchema = zod.object({ topic: zod.string(), ...positionFields, age: zod.number() });

const delegateSchema = zod.object({ identifier: zod.string(), host: zod.ipv4(), port: portSchema });

/** Schema of a record of a topic of the store. */
export const topicRecordSchema = zod.object({
    key: zod.string(),
    /** Omitted if the record deletes the key. */
    value: zod.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array).optional(),
    offset: zod.int(),
});

const messageSchema = zod.discriminatedUnion("kind", [
    /** First message of a follower on a connection. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.join),
        version: zod.int(),
        identifier: zod.string(),
        failureDomain: zod.string(),
        /** Where the follower accepts requests of the other instances of its failure domain. */
        delegate: delegateSchema,
        /** Topics whose content the follower knows already. */
        knownTopics: zod.array(zod.string()),
        /** Era of the store in which it knows each of them; releases that do not know eras leave it out. */
        knownEras: zod.record(zod.string(), zod.int().min(0)).default({}),
    }),
    /** Response of an instance that is not the leader. */
    zod.object({ kind: zod.literal(RoutingMessageKind.notLeader) }),
    /** Heartbeat of the leader; sent several times per second. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.beat),
        term: zod.int(),
        /** Era in which the leader leads. */
        era: eraSchema,
        /** Sequence number of the leader's last record that the store has acknowledged. */
        record: zod.int(),
        /** Time since the store last confirmed the leadership, in milliseconds. */
        proofAge: zod.number(),
        /** Number of instances connected to the leader, including the leader itself. */
        instances: zod.int().min(0).max(maxNumber),
        /** End of the leader's last read of each topic of the store, and the age of that read in milliseconds. */
        topics: zod.array(topicPositionSchema),
    }),
    /** Topic update: every record with a change between the end offset last sent for the topic and this one. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.news),
        topic: zod.string(),
        ...positionFields,
        records: zod.array(topicRecordSchema),
    }),
    /** The newest record of every key of a topic; sent once to each follower, before the first update of the topic. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.snapshot),
        topic: zod.string(),
        ...positionFields,
        age: zod.number(),
        /** Whether records may be missing that other instances know of. */
        mayBeOutdated: zod.boolean().default(false),
        /** The records; see `encodeTopicContent`. */
        content: zod.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array),
    }),
    /** Changed ownership of keys; the first message on a connection covers every key. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.routing),
        service: zod.string(),
        owners: zod.array(ownerSchema),
        changes: zod.array(changeSchema),
    }),
    /** Observations of a follower since its last report. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.report),
        /** Keys of sampled requests, with repetitions, and the number of requests that each sample represents. */
        samples: zod.array(zod.object({ service: zod.string(), keys: zod.array(keySchema), weight: numberSchema })),
        /** Service time of each upstream measured since the last report, in milliseconds. */
        speeds: zod.array(zod.tuple([zod.string(), numberSchema.min(1)])),
        /** Registered upstreams that have announced that they are leaving, and how long ago this became known, in milliseconds. */
        leaving: zod.array(leavingUpstreamSchema).optional(),
    }),
    zod.object({ kind: zod.literal(RoutingMessageKind.resigned) }),
    /** The instances of the follower's failure domain that accept requests of each other; sent after each change. */
    zod.object({ kind: zod.literal(RoutingMessageKind.delegates), members: zod.array(delegateSchema) }),
    /** A follower is about to stop and should get no more requests of other instances. */
    zod.object({ kind: zod.literal(RoutingMessageKind.stopping) }),
]);

/** A message about the routing of keys. */
export type RoutingMessage = zod.infer<typeof messageSchema>;

/** An instance that accepts requests of the other instances of its failure domain. */
export type Delegate = zod.infer<typeof delegateSchema>;

/** Era and offset up to which an instance has read a topic of the store, and the age of that read in milliseconds. */
export type TopicPosition = zod.infer<typeof topicPositionSchema>;

/** Records of a topic of the store, forwarded by the leader. */
export type TopicUpdate = Extract<RoutingMessage, { kind: "news"; }>;

/** Record of a topic of the store. */
export type TopicRecord = zod.infer<typeof topicRecordSchema>;

/** Observations of a follower, sent to the leader. */
export type FollowerReport = Extract<RoutingMessage, { kind: "report"; }>;

/**
 * Validates a decoded frame as a routing message.
 *
 * @param value - the decoded frame
 * @returns the message, or the validation error
 */
export const parseRoutingMessage = (value: unknown): tsResults.Result<RoutingMessage, string> => {
    const parsed = messageSchema.safeParse(value);
    return parsed.success
        ? tsResults.Ok(parsed.data)
        : tsResults.Err(parsed.error.issues[0]?.message ?? "malformed message");
};
