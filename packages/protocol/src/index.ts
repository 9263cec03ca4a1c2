/** The protocol between instances: framed CBOR messages over TCP, with mutual TLS where configured. */
export type { PeerCredentials } from "./credentials";
export { createFrameDecoder, encodeFrame, FrameErrorKind, maximumFrameBytes } from "./frames";
export type { FrameDecoder, FrameError } from "./frames";
export { MessageKind, parseMessage, protocolVersion } from "./messages";
export type { Confirm, Confirmed, Hello, Message, PeerReport, ReleasedSlot, ServerAnswer } from "./messages";
export { createPeerClient } from "./peerClient";
export type { PeerClient, PeerClientOptions } from "./peerClient";
export { createPeerServer } from "./peerServer";
export type { PeerServerOptions } from "./peerServer";
export { createRoutingConnection, routingSilenceMilliseconds } from "./routingConnection";
export type { RoutingConnection, RoutingConnectionHandlers } from "./routingConnection";
export { parseRoutingMessage, RoutingMessageKind, routingProtocolVersion } from "./routingMessages";
export type { RoutingMessage, RoutingNews, RoutingReport, TopicPosition } from "./routingMessages";
