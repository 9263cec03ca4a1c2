/** Stand-ins for the users' platform. */
export { startEmulatedStore, StoreMode } from "./store";
export type { EmulatedStore, StoreModeValue } from "./store";
export { startEmulatedUpstream } from "./upstream";
export type { EmulatedRun, EmulatedUpstream, EmulatedUpstreamOptions } from "./upstream";
