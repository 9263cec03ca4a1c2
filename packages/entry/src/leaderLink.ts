/** A follower's connection to the leader. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import * as net from "node:net";
import type * as topicTask from "./topicTask";

/** What the link needs. */
export interface LeaderLinkOptions {
    /** Names the process of this instance. */
    identifier: string;
    timers: foundation.TimerService;
    onRouting: (message: Extract<protocol.RoutingMessage, { kind: "routing"; }>) => void;
    /** The leader tells what it has read from a topic of the store. */
    onRelayed: (topic: string, relayed: topicTask.RelayedRecords) => void;
    /** The instance that is followed does not lead any more, so the store has to be read. */
    onLeaderGone: (hasResigned: boolean) => void;
}

/** A follower's link. */
export interface LeaderLink {
    /** Follows a leader; connects anew whenever the connection has ended. */
    follow: (leader: assignment.LeaderRecord) => void;
    /** Whether the leader's messages arrive and the store answers it. */
    isHearing: () => boolean;
    /** Time of the store's last proof for a record that the leader told of; undefined for any other record. */
    proofOf: (record: assignment.LeaderRecord) => number | undefined;
    /** Identifier of a leader at whose address no such process is any more. */
    endedLeader: () => string | undefined;
    /** Instances of the site, as the leader counts them. */
    instances: () => number;
    send: (message: protocol.RoutingMessage) => void;
    close: () => void;
}

const reconnectMilliseconds = 150;
/** Instances that are assumed before the leader has told how many there are. */
const assumedInstances = 8;
/** Age of a leader's proof from which others look into the store, in milliseconds: more than a beat takes. */
const staleProofMilliseconds = 1700;

interface OpenLink {
    connection: protocol.RoutingConnection;
    identifier: string;
}

/**
 * Creates the link.
 *
 * @param options - what it needs
 * @returns without a connection
 */
export const createLeaderLink = (options: LeaderLinkOptions): LeaderLink => {
    const { timers, identifier } = options;
    let link: OpenLink | undefined;
    let lastConnectAt = -Infinity;
    let endedLeader: string | undefined;
    let lastBeatAt = -Infinity;
    let provenAt = -Infinity;
    let provenRecord: { identifier: string; beat: number; } | undefined;
    let instances = assumedInstances;

    /** `topicEnds` holds the end of each topic as the leader told it last on the connection. */
    const onTopicRead = (
        topicEnds: Map<string, number>,
        { topic, end, age }: protocol.TopicPosition,
        records: platform.StoredRecord[],
    ): void => {
        // Nothing is known of what came before the first position on a connection.
        const from = topicEnds.get(topic) ?? end;
        topicEnds.set(topic, end);
        options.onRelayed(topic, { from, end, age, records });
    };

    const onMessage = (
        message: protocol.RoutingMessage,
        leader: assignment.LeaderRecord,
        topicEnds: Map<string, number>,
    ): void => {
        switch (message.kind) {
            case protocol.RoutingMessageKind.news: {
                const records = message.records.map(({ key, value, offset }) => ({
                    key,
                    value: value === undefined ? undefined : Buffer.from(value),
                    offset,
                }));
                onTopicRead(topicEnds, { topic: message.topic, end: message.end, age: 0 }, records);
                return;
            }
            case protocol.RoutingMessageKind.beat:
                message.topics.forEach(position => onTopicRead(topicEnds, position, []));
                lastBeatAt = timers.now();
                provenAt = lastBeatAt - message.proofAge;
                provenRecord = { identifier: leader.identifier, beat: message.record };
                instances = Math.max(1, message.instances);
                return;
            case protocol.RoutingMessageKind.routing:
                options.onRouting(message);
                return;
            case protocol.RoutingMessageKind.notLeader:
            case protocol.RoutingMessageKind.resigned: {
                const hasResigned = message.kind === protocol.RoutingMessageKind.resigned;
                lastBeatAt = -Infinity;
                endedLeader = hasResigned ? endedLeader : leader.identifier;
                options.onLeaderGone(hasResigned);
                link?.connection.close();
                return;
            }
        }
    };

    const connect = (leader: assignment.LeaderRecord): void => {
        lastConnectAt = timers.now();
        const socket = net.connect({ host: leader.host, port: leader.port });
        const topicEnds = new Map<string, number>();
        const connection = protocol.createRoutingConnection(socket, {
            onMessage: message => onMessage(message, leader, topicEnds),
            onClose: code => {
                if (link?.connection === connection) {
                    link = undefined;
                }
                if (code === "ECONNREFUSED") {
                    endedLeader = leader.identifier;
                }
            },
        });
        link = { connection, identifier: leader.identifier };
        connection.send({ kind: "join", version: protocol.routingProtocolVersion, identifier });
    };

    const close = (): void => {
        link?.connection.close();
        link = undefined;
    };

    return {
        follow: leader => {
            if (link !== undefined && link.identifier !== leader.identifier) {
                close();
            }
            if (link === undefined && timers.now() - lastConnectAt >= reconnectMilliseconds) {
                connect(leader);
            }
        },
        isHearing: () => {
            const now = timers.now();
            // A leader that the store does not answer must not keep others from taking over.
            return now - lastBeatAt < protocol.routingIdleTimeoutMilliseconds
                && now - provenAt < staleProofMilliseconds;
        },
        proofOf: record => {
            const isKnown = provenRecord?.identifier === record.identifier && provenRecord.beat === record.beat;
            return isKnown ? provenAt : undefined;
        },
        endedLeader: () => endedLeader,
        instances: () => instances,
        send: message => link?.connection.send(message),
        close,
    };
};
