/** In-process emulation of the platform: its log store and its upstreams. */
export { startEndlessUpstream } from "./endlessUpstream";
export type { EndlessUpstream, EndlessUpstreamOptions } from "./endlessUpstream";
export type { EmulatedQueue } from "./executionQueue";
export { startEmulatedStore, StoreMode } from "./store";
export type { EmulatedStore, StoreModeValue } from "./store";
export { startEmulatedUpstream, UpstreamMode } from "./upstream";
export type {
    EmulatedArrival,
    EmulatedExecution,
    EmulatedUpstream,
    EmulatedUpstreamOptions,
    UpstreamModeValue,
} from "./upstream";
