/** Protocol between instances: framed CBOR messages over TCP, with mutual TLS if configured. */
export type { PeerCredentials } from "./credentials";
export { createFrameDecoder, encodeFrame, FrameErrorKind, maxFrameBytes } from "./frames";
export type { FrameDecoder, FrameError } from "./frames";
export { MessageKind, parseMessage, protocolVersion } from "./messages";
export type { Confirm, Confirmed, Hello, Message, PeerReport, ReleasedSlot, ServerLiveness } from "./messages";
export { createPeerClient } from "./peerClient";
export type { PeerClient, PeerClientOptions } from "./peerClient";
export { createPeerServer } from "./peerServer";
export type { PeerServerOptions } from "./peerServer";
export { createRoutingConnection, maxFollowerFrameBytes, routingIdleTimeoutMilliseconds } from "./routingConnection";
export type { RoutingConnection, RoutingConnectionHandlers } from "./routingConnection";
export { parseRoutingMessage, RoutingMessageKind, routingProtocolVersion } from "./routingMessages";
export type {
    Delegate,
    FollowerReport,
    RoutingMessage,
    TopicPosition,
    TopicRecord,
    TopicUpdate,
} from "./routingMessages";
export { decodeTopicContent, encodeTopicContent } from "./topicContent";
