/** Learns from their announcements which upstreams are leaving, before the registry says so. */
import type * as foundation from "@mulberryseam/foundation";
import type * as protocol from "@mulberryseam/protocol";
import type * as routing from "@mulberryseam/routing";

/** How an instance learns that an upstream is leaving. */
export const LeavingSource = {
    /** From a response to a request. */
    answer: "answer",
    /** From the response to a lease command. */
    command: "command",
    /** From another instance. */
    report: "report",
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
    /** Records an announcement that this instance has got. */
    learn: (incarnation: routing.Incarnation, source: Exclude<LeavingSourceValue, "report">) => void;
    /** Records the announcements that another instance has got. */
    learnReported: (report: protocol.FollowerReport) => void;
    /** Returns the registered upstreams of services that are leaving, as reported to the leader. */
    collectReport: (services: readonly string[]) => NonNullable<protocol.FollowerReport["leaving"]>;
    /** Sets the function called when another upstream is known to be leaving. */
    onLearned: (callback: () => void) => void;
}

/**
 * Creates a record of leaving upstreams in the directory.
 *
 * @param options - the directory, the clock and the log
 * @returns the record
 */
export const createLeavingUpstreams = ({ directory, timers, log }: LeavingUpstreamsOptions): LeavingUpstreams => {
    let onLearned: () => void = () => undefined;
    const learn = (incarnation: routing.Incarnation, source: LeavingSourceValue, since: number): void => {
        if (directory.onLeavingAnnounced(incarnation, since)) {
            log.write("upstream-leaving", { upstream: incarnation.identifier, source });
            onLearned();
        }
    };
    return {
        learn: (incarnation, source) => learn(incarnation, source, timers.now()),
        learnReported: ({ leaving = [] }) =>
            leaving.forEach(({ identifier, startedAt, age }) =>
                learn({ identifier, startedAt }, LeavingSource.report, timers.now() - age)
            ),
        collectReport: services =>
            directory.announcedLeaving()
                .filter(({ identifier }) => services.includes(directory.find(identifier)?.upstream.service ?? ""))
                .map(({ identifier, startedAt, since }) => ({ identifier, startedAt, age: timers.now() - since })),
        onLearned: callback => {
            onLearned = callback;
        },
    };
};
