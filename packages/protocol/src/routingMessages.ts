/** Messages between the leader of key ownership and the other instances, and the check that a decoded frame is one. */
import * as tsResults from "ts-results";
import * as zod from "zod";

/** Version of these messages; instances refuse any other. */
export const routingProtocolVersion = 2;

/** Kinds of message. */
export const RoutingMessageKind = {
    join: "join",
    notLeader: "notLeader",
    beat: "beat",
    routing: "routing",
    news: "news",
    report: "report",
    resigned: "resigned",
} as const;

const changeSchema = zod.object({
    first: zod.int(),
    last: zod.int(),
    token: zod.int(),
    /** Place in the list of owners; -1 while nobody may serve the keys. */
    owner: zod.int(),
});

const ownerSchema = zod.object({
    identifier: zod.string(),
    startedAt: zod.number(),
    host: zod.string(),
    port: zod.int(),
});

const topicSchema = zod.object({ topic: zod.string(), end: zod.int(), age: zod.number() });

const messageSchema = zod.discriminatedUnion("kind", [
    /** First message of a follower. */
    zod.object({ kind: zod.literal(RoutingMessageKind.join), version: zod.int(), identifier: zod.string() }),
    /** Answer of an instance that does not lead. */
    zod.object({ kind: zod.literal(RoutingMessageKind.notLeader) }),
    /** Tells that the leader lives; sent several times a second. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.beat),
        term: zod.int(),
        /** Number of the leader's last record that the store has acknowledged. */
        record: zod.int(),
        /** Age of the last proof that the store gave of the leadership, in milliseconds. */
        proofAge: zod.number(),
        /** Instances that the leader hears, itself included. */
        instances: zod.int(),
        /** Topics of the store as far as the leader has read them, and the age of that reading in milliseconds. */
        topics: zod.array(topicSchema),
    }),
    /** Every record that changes something between the end that was told last of a topic and this one. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.news),
        topic: zod.string(),
        end: zod.int(),
        records: zod.array(zod.object({
            key: zod.string(),
            /** Missing when the key was dropped. */
            value: zod.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array).optional(),
            offset: zod.int(),
        })),
    }),
    /** Routing that changed; the first one on a connection covers every key. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.routing),
        service: zod.string(),
        owners: zod.array(ownerSchema),
        changes: zod.array(changeSchema),
    }),
    /** What a follower has seen since its last report. */
    zod.object({
        kind: zod.literal(RoutingMessageKind.report),
        /** Keys that were asked for, each as often as it was, and how many requests one stands for. */
        samples: zod.array(zod.object({ service: zod.string(), keys: zod.array(zod.int()), weight: zod.number() })),
        /** Time that one request takes at an upstream, in milliseconds; of those measured since the last report. */
        speeds: zod.array(zod.tuple([zod.string(), zod.number()])),
    }),
    zod.object({ kind: zod.literal(RoutingMessageKind.resigned) }),
]);

/** A message about the routing of keys. */
export type RoutingMessage = zod.infer<typeof messageSchema>;

/** How far an instance has read a topic of the store. */
export type TopicPosition = zod.infer<typeof topicSchema>;

/** What the leader has read from a topic of the store. */
export type RoutingNews = Extract<RoutingMessage, { kind: "news"; }>;

/** What a follower has seen. */
export type RoutingReport = Extract<RoutingMessage, { kind: "report"; }>;

/**
 * Checks that a decoded frame is a message.
 *
 * @param value - a decoded frame
 * @returns the message, or what is wrong with it
 */
export const parseRoutingMessage = (value: unknown): tsResults.Result<RoutingMessage, string> => {
    const parsed = messageSchema.safeParse(value);
    return parsed.success
        ? tsResults.Ok(parsed.data)
        : tsResults.Err(parsed.error.issues[0]?.message ?? "malformed message");
};
