/** Request path: from the caller's connection through admission to an upstream and back. */
export { createCallerServer } from "./callerServer";
export type { CallerServer, CallerServerOptions } from "./callerServer";
export { createGateway } from "./gateway";
export type { Gateway, GatewayOptions } from "./gateway";
export { HeaderName } from "./headers";
export type { FindRoute, OwnerRoute } from "./slotAcquisition";
export { slotOf } from "./slots";
export { createTraceExporter, createTracing } from "./tracing";
export type { Span, Tracing } from "./tracing";
