/** Learns from their announcements which upstreams are leaving, before the registry says so. */
import type * as foundation from "@mulberryseam/foundation";
import type * as routing from "@mulberryseam/routing";

/** How an instance learns that an upstream is leaving. */
export const LeavingSource = {
    /** From a response to a request. */
    answer: "answer",
} as const;

/** One of {@link LeavingSource}. */
export type LeavingSourceValue = typeof LeavingSource[keyof typeof LeavingSource];

/** Dependencies of {@link createLeavingUpstreams}. */
export interface LeavingUpstreamsOptions {
    directory: routing.UpstreamDirectory;
    timers: foundation.TimerService;
    log: foundation.EventLog;
}

/** The upstreams that have announced that they are leaving. */
export interface LeavingUpstreams {
    learn: (incarnation: routing.Incarnation, source: LeavingSourceValue) => void;
}

/**
 * Creates a record of leaving upstreams in the directory.
 *
 * @param options - the directory, the clock and the log
 * @returns the record
 */
export const createLeavingUpstreams = ({ directory, timers, log }: LeavingUpstreamsOptions): LeavingUpstreams => ({
    learn: (incarnation, source) => {
        if (directory.onLeavingAnnounced(incarnation, timers.now())) {
            log.write("upstream-leaving", { upstream: incarnation.identifier, source });
        }
    },
});
