/** The way of a request: from the caller's connection through admission to an upstream and back. */
export type { OwnerRoute, RouteOf } from "./acquisition";
export { createDoor } from "./door";
export type { Door, DoorOptions } from "./door";
export { createGateway } from "./gateway";
export type { Gateway, GatewayOptions } from "./gateway";
export { HeaderName } from "./headers";
export { slotOf } from "./slots";
export { createTraceExporter, createTracing } from "./tracing";
export type { Hop, Tracing } from "./tracing";
