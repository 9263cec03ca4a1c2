/** Messages between instances and their validation. */
import * as tsResults from "ts-results";
import * as zod from "zod";

/** Protocol version; instances refuse peers with any other version. */
export const protocolVersion = 1;

/** Kinds of messages. */
export const MessageKind = {
    hello: "hello",
    confirm: "confirm",
    confirmed: "confirmed",
    fetchState: "fetchState",
    state: "state",
    released: "released",
    refused: "refused",
} as const;

/** The log position that an instance has reached, and the expired sessions that it knows of (`lapses`). */
const knowledgeSchema = zod.object({ offset: zod.int(), lapses: zod.array(zod.string()).max(10_000) });

const serverLivenessSchema = zod.object({
    /** Name of the server, an upstream that owns keys. */
    server: zod.string(),
    /** Session of the process that responded. Short, and unambiguous whichever log records the receiver has applied. */
    session: zod.int().optional(),
    /** Incarnation of the server, sent only if the reporter knows no session of that process. */
    incarnation: zod.string().optional(),
    /** Time since the last response of the server to the reporter. */
    ageMilliseconds: zod.number(),
    /** Omitted if the server is not draining. */
    isDraining: zod.boolean().optional(),
});

const loadSchema = zod.object({ service: zod.string(), slot: zod.int(), requestsPerSecond: zod.number() });

const reportSchema = zod.object({
    name: zod.string(),
    incarnation: zod.string(),
    address: zod.string(),
    region: zod.string(),
    failureDomain: zod.string(),
    isLeaving: zod.boolean(),
    /** Servers that the reporter renews or probes, with their last responses. */
    answers: zod.array(serverLivenessSchema).max(10_000),
    /** Busiest slots by the reporter's own traffic. */
    loads: zod.array(loadSchema).max(10_000),
});

const releasedSlotSchema = zod.object({ service: zod.string(), slot: zod.int(), token: zod.number() });

const messageSchema = zod.discriminatedUnion("kind", [
    zod.object({
        kind: zod.literal(MessageKind.hello),
        version: zod.int(),
        environment: zod.string(),
        name: zod.string(),
        incarnation: zod.string(),
    }),
    zod.object({
        kind: zod.literal(MessageKind.confirm),
        round: zod.int(),
        knowledge: knowledgeSchema,
        report: reportSchema,
    }),
    zod.object({
        kind: zod.literal(MessageKind.confirmed),
        round: zod.int(),
        knowledge: knowledgeSchema,
    }),
    zod.object({ kind: zod.literal(MessageKind.fetchState) }),
    zod.object({ kind: zod.literal(MessageKind.state), state: zod.string() }),
    zod.object({ kind: zod.literal(MessageKind.released), slots: zod.array(releasedSlotSchema).max(100_000) }),
    zod.object({ kind: zod.literal(MessageKind.refused), reason: zod.string() }),
]);

/** A message between instances. */
export type Message = zod.infer<typeof messageSchema>;

/** First message in each direction of a connection. */
export type Hello = Extract<Message, { kind: "hello"; }>;

/** Request of a quorum round: the peer adopts the sender's knowledge and responds with its own. */
export type Confirm = Extract<Message, { kind: "confirm"; }>;

/** Response to a {@link Confirm}: the knowledge of the peer after it has adopted the sender's. */
export type Confirmed = Extract<Message, { kind: "confirmed"; }>;

/** Report of an instance about itself, sent in every {@link Confirm}; serves as its heartbeat. */
export type PeerReport = zod.infer<typeof reportSchema>;

/** Last response of a server to the reporter. */
export type ServerLiveness = zod.infer<typeof serverLivenessSchema>;

/** A slot that its holder has released, with the token under which it held the slot. */
export type ReleasedSlot = zod.infer<typeof releasedSlotSchema>;

/**
 * Validates a decoded frame as a message.
 *
 * @param value - the decoded frame
 * @returns the message, or the validation error
 */
export const parseMessage = (value: unknown): tsResults.Result<Message, string> => {
    const parsed = messageSchema.safeParse(value);
    return parsed.success
        ? tsResults.Ok(parsed.data)
        : tsResults.Err(parsed.error.issues[0]?.message ?? "malformed message");
};
