/** Messages between instances and the check that a decoded frame is one. */
import * as tsResults from "ts-results";
import * as zod from "zod";

/** Version of the protocol; instances refuse any other. */
export const protocolVersion = 1;

/** Kinds of message. */
export const MessageKind = {
    hello: "hello",
    confirm: "confirm",
    confirmed: "confirmed",
    fetchState: "fetchState",
    state: "state",
    released: "released",
    refused: "refused",
} as const;

const knowledgeSchema = zod.object({ offset: zod.int(), lapses: zod.array(zod.string()).max(10_000) });

const answerSchema = zod.object({
    /** Name of the server. */
    server: zod.string(),
    /** The session whose registered process answered; short, and clear whatever else the receiver has folded. */
    session: zod.int().optional(),
    /** The run of the server's process, where the sender knows no session of it. */
    incarnation: zod.string().optional(),
    /** Time since the server's last answer to the reporter. */
    ageMilliseconds: zod.number(),
    /** Left out when it does not drain. */
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
    /** Servers that the reporter renews or probes. */
    answers: zod.array(answerSchema).max(10_000),
    /** Busiest slots as seen by the reporter. */
    loads: zod.array(loadSchema).max(10_000),
});

const releasedSchema = zod.object({ service: zod.string(), slot: zod.int(), token: zod.number() });

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
    zod.object({ kind: zod.literal(MessageKind.released), slots: zod.array(releasedSchema).max(100_000) }),
    zod.object({ kind: zod.literal(MessageKind.refused), reason: zod.string() }),
]);

/** A message between instances. */
export type Message = zod.infer<typeof messageSchema>;

/** The first message on a connection, in either direction. */
export type Hello = Extract<Message, { kind: "hello"; }>;

/** Asks a peer to adopt the sender's knowledge and to say what it knows. */
export type Confirm = Extract<Message, { kind: "confirm"; }>;

/** Says what a peer knows after adopting the asker's knowledge. */
export type Confirmed = Extract<Message, { kind: "confirmed"; }>;

/** What an instance says of itself in each confirmation; serves as its heartbeat. */
export type PeerReport = zod.infer<typeof reportSchema>;

/** When a server last answered the reporter. */
export type ServerAnswer = zod.infer<typeof answerSchema>;

/** A slot that its holder has given up under a token. */
export type ReleasedSlot = zod.infer<typeof releasedSchema>;

/**
 * Checks that a decoded frame is a message.
 *
 * @param value - a decoded frame
 * @returns the message, or what is wrong with it
 */
export const parseMessage = (value: unknown): tsResults.Result<Message, string> => {
    const parsed = messageSchema.safeParse(value);
    return parsed.success
        ? tsResults.Ok(parsed.data)
        : tsResults.Err(parsed.error.issues[0]?.message ?? "malformed message");
};
