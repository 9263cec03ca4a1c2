/** A follower's connection to the leader. */
import * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import type * as platform from "@mulberryseam/platform";
import * as protocol from "@mulberryseam/protocol";
import * as net from "node:net";
import * as topicExchange from "./topicExchange";

/** Dependencies and handlers of a leader link. */
export interface LeaderLinkOptions {
    /** Identifies this process of the instance. */
    identifier: string;
    failureDomain: string;
    /** Where this instance accepts requests of the other instances of its failure domain. */
    delegate: protocol.Delegate;
    timers: foundation.TimerService;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    onRouting: (message: Extract<protocol.RoutingMessage, { kind: "routing"; }>) => void;
    topics: topicExchange.TopicExchange;
    /** Called with the instances of this failure domain that accept requests of each other. */
    onDelegates: (delegates: readonly protocol.Delegate[]) => void;
    /** Time without traffic after which the connection is closed, in milliseconds; that of the protocol by default. */
    idleTimeoutMilliseconds?: number;
    /** Called when the followed instance no longer leads, so the store must be read. */
    onLeaderLost: (hasResigned: boolean) => void;
}

/** A follower's connection to the leader, reopened as needed. */
export interface LeaderLink {
    /** Connects to a leader; called repeatedly, it reconnects after the connection has closed. */
    follow: (leader: assignment.LeaderRecord) => void;
    /** Whether the leader's heartbeats arrive and the store has recently confirmed its leadership. */
    isLeaderHealthy: () => boolean;
    /** Time at which the store last confirmed the leadership of any leader that was followed; -Infinity before the first time. */
    lastConfirmedAt: () => number;
    /** Time at which the store confirmed the leader record of the latest heartbeat; undefined for any other record. */
    confirmationTimeOf: (record: assignment.LeaderRecord) => number | undefined;
    /** The highest term of a leader that has sent heartbeats; 0 before any. */
    latestTerm: () => number;
    /** Identifier of the last leader whose address refused a connection or responded that it does not lead, until it sends a heartbeat. */
    unavailableLeader: () => string | undefined;
    /** Number of instances of the site, as reported by the leader. */
    instanceCount: () => number;
    /** Number of instances of the site, as reported by a leader; 0 before any has done so. */
    reportedInstanceCount: () => number;
    send: (message: protocol.RoutingMessage) => void;
    /** Tells the leader, and every later one, that this instance is about to stop. */
    announceStop: () => void;
    close: () => void;
}

const reconnectIntervalMilliseconds = 150;
/** Number of instances assumed until the leader reports it. */
const assumedInstanceCount = 8;
/**
 * Maximum age of a leadership confirmation, in milliseconds, before followers read the store: longer than the interval
 * between leader records.
 */
const maxConfirmationAgeMilliseconds = 1700;

interface OpenConnection {
    connection: protocol.RoutingConnection;
    identifier: string;
}

const toStoredRecord = ({ key, value, offset }: protocol.TopicRecord): platform.StoredRecord => ({
    key,
    value: value === undefined ? undefined : Buffer.from(value),
    offset,
});

/**
 * Creates a leader link.
 *
 * @param options - dependencies and handlers
 * @returns the link, without a connection
 */
export const createLeaderLink = (options: LeaderLinkOptions): LeaderLink => {
    const { timers, identifier } = options;
    let openConnection: OpenConnection | undefined;
    let lastConnectAt = -Infinity;
    let unavailableLeader: string | undefined;
    let lastHeartbeatAt = -Infinity;
    let lastConfirmedAt = -Infinity;
    let confirmedAt = -Infinity;
    let confirmedRecord: Pick<assignment.LeaderRecord, "identifier" | "term" | "era" | "beat"> | undefined;
    let latestTerm = 0;
    let instanceCount = assumedInstanceCount;
    let reportedInstanceCount = 0;
    let isStopping = false;

    /** `topicEnds` holds the end of each topic that the leader last reported on the connection. */
    const onTopicPosition = (
        topicEnds: Map<string, platform.Position>,
        { topic, age, ...message }: protocol.TopicPosition,
        records: platform.StoredRecord[],
    ): void => {
        const end = topicExchange.toPosition(message);
        // Records before the first position on a connection, and before the first of an era, are unknown.
        const known = topicEnds.get(topic);
        const from = known?.era === end.era ? known : end;
        topicEnds.set(topic, end);
        options.topics.onRelayed(topic, { from, end, age, records });
    };

    const onMessage = (
        message: protocol.RoutingMessage,
        connection: protocol.RoutingConnection,
        leader: assignment.LeaderRecord,
        topicEnds: Map<string, platform.Position>,
    ): void => {
        switch (message.kind) {
            case protocol.RoutingMessageKind.news:
                onTopicPosition(
                    topicEnds,
                    { topic: message.topic, era: message.era, end: message.end, age: 0 },
                    message.records.map(toStoredRecord),
                );
                return;
            case protocol.RoutingMessageKind.snapshot: {
                const records = protocol.decodeTopicContent(message.content);
                if (records.err) {
                    connection.close();
                    return;
                }
                const { topic, age, mayBeOutdated } = message;
                const end = topicExchange.toPosition(message);
                topicEnds.set(topic, end);
                options.topics.onSnapshot(topic, {
                    records: records.val.map(toStoredRecord),
                    end,
                    age,
                    mayBeOutdated,
                });
                return;
            }
            case protocol.RoutingMessageKind.beat:
                message.topics.forEach(position => onTopicPosition(topicEnds, position, []));
                lastHeartbeatAt = timers.now();
                unavailableLeader = unavailableLeader === leader.identifier ? undefined : unavailableLeader;
                confirmedAt = lastHeartbeatAt - message.proofAge;
                lastConfirmedAt = Math.max(lastConfirmedAt, confirmedAt);
                confirmedRecord = {
                    identifier: leader.identifier,
                    term: message.term,
                    era: message.era,
                    beat: message.record,
                };
                latestTerm = Math.max(latestTerm, message.term);
                instanceCount = Math.max(1, message.instances);
                reportedInstanceCount = instanceCount;
                return;
            case protocol.RoutingMessageKind.routing:
                options.onRouting(message);
                return;
            case protocol.RoutingMessageKind.delegates:
                options.onDelegates(message.members);
                return;
            case protocol.RoutingMessageKind.notLeader:
            case protocol.RoutingMessageKind.resigned: {
                const hasResigned = message.kind === protocol.RoutingMessageKind.resigned;
                lastHeartbeatAt = -Infinity;
                unavailableLeader = hasResigned ? unavailableLeader : leader.identifier;
                options.onLeaderLost(hasResigned);
                connection.close();
                return;
            }
        }
    };

    const connect = (leader: assignment.LeaderRecord): void => {
        lastConnectAt = timers.now();
        const { host, port } = leader;
        const socket = options.failures.run("leader record", () => net.connect({ host, port }), { host, port });
        if (socket === undefined) {
            return;
        }
        const topicEnds = new Map<string, platform.Position>();
        const connection = protocol.createRoutingConnection(socket, {
            idleTimeoutMilliseconds: options.idleTimeoutMilliseconds,
            failures: options.failures,
            log: options.log,
            onMessage: message => onMessage(message, connection, leader, topicEnds),
            onClose: code => {
                if (openConnection?.connection === connection) {
                    openConnection = undefined;
                }
                if (code === "ECONNREFUSED") {
                    unavailableLeader = leader.identifier;
                }
            },
        });
        openConnection = { connection, identifier: leader.identifier };
        const { failureDomain, delegate } = options;
        const version = protocol.routingProtocolVersion;
        const positions = options.topics.positions();
        connection.send({
            kind: protocol.RoutingMessageKind.join,
            version,
            identifier,
            failureDomain,
            delegate,
            knownTopics: positions.map(({ topic }) => topic),
            knownEras: Object.fromEntries(positions.map(({ topic, era }) => [topic, era])),
        });
        if (isStopping) {
            connection.send({ kind: protocol.RoutingMessageKind.stopping });
        }
    };

    const close = (): void => {
        openConnection?.connection.close();
        openConnection = undefined;
    };

    return {
        follow: leader => {
            if (openConnection !== undefined && openConnection.identifier !== leader.identifier) {
                close();
            }
            if (openConnection === undefined && timers.now() - lastConnectAt >= reconnectIntervalMilliseconds) {
                connect(leader);
            }
        },
        isLeaderHealthy: () => {
            const now = timers.now();
            // A leader that cannot reach the store must not prevent others from taking over.
            return now - lastHeartbeatAt < protocol.routingIdleTimeoutMilliseconds
                && now - confirmedAt < maxConfirmationAgeMilliseconds;
        },
        lastConfirmedAt: () => lastConfirmedAt,
        confirmationTimeOf: record => {
            const isConfirmed = confirmedRecord?.identifier === record.identifier
                && confirmedRecord.term === record.term && confirmedRecord.beat === record.beat
                && confirmedRecord.era === (record.era ?? confirmedRecord.era);
            return isConfirmed ? confirmedAt : undefined;
        },
        latestTerm: () => latestTerm,
        unavailableLeader: () => unavailableLeader,
        instanceCount: () => instanceCount,
        reportedInstanceCount: () => reportedInstanceCount,
        send: message => openConnection?.connection.send(message),
        announceStop: () => {
            isStopping = true;
            openConnection?.connection.send({ kind: protocol.RoutingMessageKind.stopping });
        },
        close,
    };
};
