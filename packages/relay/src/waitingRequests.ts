/**
 * The requests that wait in the instance until their upstreams have room. A queue at an upstream cannot be reordered, so a request waits here,
 * where `waitingOrder.ts` decides which one goes next and which ones are refused, and is sent only when an upstream can start with it soon.
 */
import type * as foundation from "@mulberryseam/foundation";
import * as scheduling from "@mulberryseam/scheduling";
import type * as attemptResult from "./attemptResult";
import * as capacityPressure from "./capacityPressure";
import type * as requestState from "./requestState";
import * as routeWork from "./routeWork";
import type * as upstreamPool from "./upstreamPool";
import * as waitingSets from "./waitingSets";

/** An upstream that was selected for a request, with the estimates for it. */
export interface ChosenUpstream {
    target: upstreamPool.PooledUpstream;
    input: scheduling.QueueLimitInput;
    limit: scheduling.QueueLimit;
    /** Requests of this instance without a response at the upstreams that the request could be sent to. */
    outstandingCount: () => number;
}

/** Whether a request can be sent now. */
export type Assessment =
    | { kind: "room"; chosen: ChosenUpstream; }
    | { kind: "full"; chosen: ChosenUpstream; }
    /** The request cannot be sent to any upstream of its set, for a reason other than a lack of room. */
    | { kind: "unavailable"; };

/** Why a request that found no room was refused, for the log. */
export const RefusalCause = {
    arrival: "it cannot be served in time",
    displaced: "others go first",
    slower: "there was less room than expected",
    limit: "too many requests wait",
} as const;

/** One of {@link RefusalCause}. */
export type RefusalCauseValue = typeof RefusalCause[keyof typeof RefusalCause];

/** How a wait ended. */
export type WaitResult =
    | { kind: "sent"; chosen: ChosenUpstream; result: attemptResult.AttemptResult; }
    | { kind: "refused"; cause: RefusalCauseValue; retryMilliseconds: number; }
    /** The upstreams of the set are no longer those of the request, which selects again. */
    | { kind: "reselect"; }
    /** The request has ended for another reason, as when its caller disconnected. */
    | { kind: "finished"; };

/** A request that may wait. */
export interface WaitingCandidate {
    state: requestState.RequestState;
    /** Upstreams among which the request is ordered: a service, or the owner of its key. */
    set: string;
    /** Bytes that the request holds while it waits. */
    bytes: number;
    /** Selects an upstream again and compares the request with its room. */
    assess: () => Assessment;
    /** Sends the request. Its attempt counts as outstanding when the call returns. */
    send: (chosen: ChosenUpstream) => Promise<attemptResult.AttemptResult>;
}

/** Configures the waiting requests of an instance. */
export interface WaitingRequestsOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
}

/** The waiting requests of an instance. */
export interface WaitingRequests {
    /** Sends a request, lets it wait or refuses it, and returns once it has been sent and has a result, or will not be sent. */
    enter: (candidate: WaitingCandidate) => Promise<WaitResult>;
    /** Number of waiting requests of each service. */
    counts: () => ReadonlyMap<string, number>;
}

/** Interval at which a set with waiting requests is decided about if no attempt ends: shares recover and upstreams leave with time. */
const decisionIntervalMilliseconds = 25;
/** Interval at which each waiting request of a set is compared with its upstream, which may have changed, in milliseconds. */
const assessmentIntervalMilliseconds = 100;

/**
 * Creates the waiting requests of an instance, of which there are none.
 *
 * @param options - clock and log
 * @returns the waiting requests
 */
export const createWaitingRequests = (options: WaitingRequestsOptions): WaitingRequests => {
    const { timers, log, failures } = options;
    const sets = waitingSets.createWaitingSets(timers);
    const work = routeWork.createRouteWork();
    const pressure = capacityPressure.createCapacityPressure({ timers, log, waitingCounts: sets.counts });

    const toEntry = (
        candidate: WaitingCandidate,
        chosen: ChosenUpstream,
        settle: Pick<waitingSets.Entry, "resolve" | "reject">,
    ): waitingSets.Entry => {
        const { state } = candidate;
        return {
            kind: state.route.name,
            rank: state.route.rank,
            targetAt: state.arrivedAt + state.route.targetMilliseconds - state.underWayMilliseconds,
            deadlineAt: state.deadlineAt,
            workMilliseconds: Math.max(1, work.expectedMilliseconds(state, chosen.input)),
            // A request that an upstream has refused is no new one either.
            hasReturned: state.underWayMilliseconds > 0 || state.attemptCount > 0,
            arrivedAt: timers.now(),
            isNew: true,
            candidate,
            ...settle,
        };
    };

    const end = (set: waitingSets.UpstreamSet, entry: waitingSets.Entry, result: WaitResult): void => {
        sets.remove(set, entry);
        entry.resolve(result);
    };

    const refuse = (
        set: waitingSets.UpstreamSet,
        entry: waitingSets.Entry,
        cause: RefusalCauseValue,
        retryMilliseconds: number,
    ): void => {
        pressure.onRefusal(set.service);
        end(set, entry, { kind: "refused", cause, retryMilliseconds });
    };

    const send = (set: waitingSets.UpstreamSet, entry: waitingSets.Entry, chosen: ChosenUpstream): void => {
        const now = timers.now();
        waitingSets.recordInterval(set, entry, now);
        set.order.onSent(entry, now);
        sets.remove(set, entry);
        const onEnd = (settle: () => void): void => {
            settle();
            decideSafely(set);
        };
        entry.candidate.send(chosen).then(
            result => {
                work.record(entry.candidate.state, result, timers.now() - now);
                onEnd(() => entry.resolve({ kind: "sent", chosen, result }));
            },
            error => onEnd(() => entry.reject(error)),
        );
    };

    /** Compares a waiting request with its upstream, and ends its wait if it has none in this set any more. */
    const assessEntry = (
        set: waitingSets.UpstreamSet,
        entry: waitingSets.Entry,
    ): Exclude<Assessment, { kind: "unavailable"; }> | undefined => {
        const { candidate } = entry;
        if (candidate.state.isFinished) {
            end(set, entry, { kind: "finished" });
            return undefined;
        }
        try {
            const assessment = candidate.assess();
            if (assessment.kind !== "unavailable") {
                return assessment;
            }
            end(set, entry, { kind: "reselect" });
        }
        catch (error) {
            sets.remove(set, entry);
            entry.reject(error);
        }
        return undefined;
    };

    /** Ends the waits of requests that have ended, and at intervals of those whose upstream has changed. */
    const removeEnded = (set: waitingSets.UpstreamSet): void => {
        const now = timers.now();
        const isAssessed = now - set.assessedAt >= assessmentIntervalMilliseconds;
        set.assessedAt = isAssessed ? now : set.assessedAt;
        for (const entry of [...set.waiting]) {
            entry.deadlineAt = entry.candidate.state.deadlineAt;
            if (isAssessed || entry.candidate.state.isFinished) {
                assessEntry(set, entry);
            }
        }
    };

    const causeOf = (entry: waitingSets.Entry, hasNewEntries: boolean): RefusalCauseValue => {
        if (entry.isNew) {
            return RefusalCause.arrival;
        }
        return hasNewEntries ? RefusalCause.displaced : RefusalCause.slower;
    };

    /** Decides once, and returns whether the set has to be decided about again, as a request was sent or had to select again. */
    const decideOnce = (set: waitingSets.UpstreamSet): boolean => {
        removeEnded(set);
        // The requests of a set find the same room, so one of them is compared with it.
        const [first] = set.waiting;
        const assessment = first === undefined ? undefined : assessEntry(set, first);
        if (assessment === undefined) {
            return first !== undefined;
        }
        const arriving = set.waiting.filter(({ isNew }) => isNew);
        const { next, refused } = set.order.decide({
            waiting: set.waiting.filter(({ isNew }) => !isNew),
            arriving,
            room: waitingSets.roomOf(set, assessment.chosen, assessment.kind === "room" ? 1 : 0, timers.now()),
            now: timers.now(),
        });
        refused.forEach(({ request, returnMilliseconds }) =>
            refuse(set, request, causeOf(request, arriving.length > 0), returnMilliseconds)
        );
        arriving.forEach(entry => {
            entry.isNew = false;
        });
        if (next === undefined) {
            return false;
        }
        const own = next === first ? assessment : assessEntry(set, next);
        if (own?.kind === "room") {
            send(set, next, own.chosen);
        }
        return own?.kind !== "full";
    };

    const updateTimer = (set: waitingSets.UpstreamSet): void => {
        if (set.waiting.length === 0) {
            set.timer?.cancel();
            set.timer = undefined;
            return;
        }
        set.timer ??= timers.onDelay(decisionIntervalMilliseconds, () => {
            set.timer = undefined;
            decideSafely(set);
        });
    };

    /** Decides about a set until nothing more can be sent. */
    const decide = (set: waitingSets.UpstreamSet): void => {
        try {
            for (let isPending = true; isPending;) {
                isPending = set.waiting.length > 0 && decideOnce(set);
            }
        }
        finally {
            updateTimer(set);
        }
    };
    const decideSafely = (set: waitingSets.UpstreamSet): void =>
        failures.run("waiting requests", () => decide(set), { service: set.service });

    return {
        enter: candidate =>
            new Promise((resolve, reject) => {
                const set = sets.findOrCreate(candidate.set, candidate.state.service);
                const assessment = candidate.assess();
                if (assessment.kind === "unavailable") {
                    resolve({ kind: "reselect" });
                    return;
                }
                const entry = toEntry(candidate, assessment.chosen, { resolve, reject });
                if (sets.isFull(set, candidate.bytes)) {
                    const { intervalMilliseconds } = waitingSets.roomOf(set, assessment.chosen, 0, timers.now());
                    pressure.onRefusal(set.service);
                    const retryMilliseconds = intervalMilliseconds * (set.waiting.length + 1);
                    resolve({ kind: "refused", cause: RefusalCause.limit, retryMilliseconds });
                    return;
                }
                sets.add(set, entry);
                try {
                    decide(set);
                }
                catch (error) {
                    sets.remove(set, entry);
                    reject(error);
                }
            }),
        counts: sets.counts,
    };
};
