/**
 * Limits the requests that this instance sends to cold upstreams, so that the sum over all instances stays within what an upstream
 * tolerates. Each of the instances that share the rate of an upstream keeps an interval between its requests; a request that was not
 * sent is not made up for.
 */
import type * as foundation from "@mulberryseam/foundation";
import type * as routing from "@mulberryseam/routing";
import type * as eligibility from "./eligibility";
import type * as rateSharers from "./rateSharers";

/** Why an upstream counts as cold. */
export const ColdCause = {
    /** Its registry entry says so. */
    registry: "registry",
    /** It is an incarnation that was first seen after this instance had started. */
    newIncarnation: "newIncarnation",
    /** The evacuation of its failure domain has ended. */
    evacuationEnd: "evacuationEnd",
    /** A response of it says so. */
    response: "response",
} as const;

/** One of {@link ColdCause}. */
export type ColdCauseValue = typeof ColdCause[keyof typeof ColdCause];

/** An incarnation of an upstream. */
type Incarnation = Pick<routing.Upstream, "identifier" | "startedAt">;

/** Configures {@link createWarmupRates}. */
export interface WarmupRatesOptions {
    /** Returns how cold upstreams of a service are treated; undefined if their rate is not limited. */
    warmupOf: (service: string) => routing.Warmup | undefined;
    findSharers: rateSharers.RateSharerFinder;
    /** Whether the registry is so old that an upstream may have turned cold without this instance knowing. */
    isRegistryStale: () => boolean;
    /** Returns when the last evacuation of a failure domain ended, on the clock of the instance; undefined if there was none. */
    endedAt: (failureDomain: string) => number | undefined;
    /** The requests that a cold upstream may get in a second: its rate times this factor, plus the slack. */
    overshoot: () => number;
    slack: () => number;
    random: foundation.Random;
    /** Called when an upstream starts to count as cold. */
    onCold?: (upstream: routing.Upstream, cause: ColdCauseValue, milliseconds: number) => void;
    /** Called when an upstream no longer counts as cold. */
    onWarm?: (upstream: Incarnation) => void;
}

/** The rates of an instance, with what it learns of cold upstreams. */
export interface LearningWarmupRates extends eligibility.WarmupRates {
    /**
     * Records a registry entry.
     *
     * @param upstream - the upstream as registered
     * @param isInitial - whether it belongs to the registry as first read by this instance
     * @param now - when it was received
     */
    onEntry: (upstream: routing.Upstream, isInitial: boolean, now: number) => void;
    /** Records that an upstream has said in a response for how much longer it is cold. */
    onReported: (upstream: routing.Upstream, milliseconds: number, now: number) => void;
    /** Whether an upstream of a service that limits the rate counts as cold. */
    isCold: (upstream: routing.Upstream, now: number) => boolean;
    /** Whether requests to an upstream are limited, and by other instances than this one. */
    isLeftToOthers: (upstream: routing.Upstream, now: number) => boolean;
    /** Returns the requests a second that an upstream tolerates now; undefined without a limit. */
    toleratedPerSecond: (upstream: routing.Upstream, now: number) => number | undefined;
    /** Updates the state of the given upstreams, which are all that there are, and returns how many are cold. */
    update: (upstreams: Iterable<routing.Upstream>, now: number) => number;
}

/** What an instance knows of an upstream. */
interface UpstreamWarmup {
    startedAt: number;
    /** Until when the upstream is cold, by the reason to think so. */
    coldUntil: Map<ColdCauseValue, number>;
    /** Whether the upstream was cold at the last look. */
    isCold: boolean;
    /** Whether this instance had a share of the rate at the last look. */
    hasShare: boolean;
    /** Earliest time of the next request while the rate is limited. */
    nextSendAt: number;
}

/** What applies to an upstream whose rate is limited. */
interface Limit {
    state: UpstreamWarmup;
    hasShare: boolean;
    /** Interval between the requests of this instance, in milliseconds. */
    intervalMilliseconds: number;
}

/**
 * Factor on the intervals between requests. Requests take different times to reach the upstream; without a margin, two of them
 * sent a second apart arrive within the same second.
 */
const intervalMargin = 1.05;
/** Time after which a request may return to an instance without a share while its registry is stale, in milliseconds. */
const noShareWaitMilliseconds = 1000;

/**
 * Creates the rates of an instance.
 *
 * @param options - the document, the other instances, the age of the registry, evacuations, and randomness
 * @returns the rates; no upstream is known
 */
export const createWarmupRates = (options: WarmupRatesOptions): LearningWarmupRates => {
    const states = new Map<string, UpstreamWarmup>();

    const stateOf = ({ identifier, startedAt }: Incarnation): UpstreamWarmup => {
        const known = states.get(identifier);
        if (known !== undefined && known.startedAt >= startedAt) {
            return known;
        }
        const created = {
            startedAt,
            coldUntil: new Map(),
            isCold: known?.isCold ?? false,
            hasShare: false,
            // A new incarnation at the place of a cold one must not get the requests of both.
            nextSendAt: known?.nextSendAt ?? -Infinity,
        };
        states.set(identifier, created);
        return created;
    };

    const extend = ({ coldUntil }: UpstreamWarmup, cause: ColdCauseValue, until: number): void => {
        coldUntil.set(cause, Math.max(coldUntil.get(cause) ?? -Infinity, until));
    };
    const remainingMilliseconds = ({ coldUntil }: UpstreamWarmup, now: number): number =>
        [...coldUntil.values()].reduce((longest, until) => Math.max(longest, until - now), 0);

    /** Returns the reason for which an upstream is cold longest. */
    const latestCause = ({ coldUntil }: UpstreamWarmup): ColdCauseValue => {
        const [[cause]] = [...coldUntil].sort(([, left], [, right]) => right - left);
        return cause;
    };

    /** Updates whether an upstream is cold. */
    const refresh = (upstream: routing.Upstream, warmup: routing.Warmup, now: number): UpstreamWarmup => {
        const state = stateOf(upstream);
        const endedAt = options.endedAt(upstream.failureDomain);
        if (endedAt !== undefined) {
            extend(state, ColdCause.evacuationEnd, endedAt + warmup.milliseconds);
        }
        const milliseconds = remainingMilliseconds(state, now);
        const isCold = milliseconds > 0;
        if (isCold !== state.isCold) {
            state.isCold = isCold;
            if (isCold) {
                state.hasShare = false;
                options.onCold?.(upstream, latestCause(state), milliseconds);
            }
            else {
                options.onWarm?.(upstream);
            }
        }
        return state;
    };

    /** Returns what limits the requests to an upstream; undefined if nothing does. */
    const findLimit = (upstream: routing.Upstream, now: number): Limit | undefined => {
        const warmup = options.warmupOf(upstream.service);
        if (warmup === undefined) {
            return undefined;
        }
        const state = refresh(upstream, warmup, now);
        if (!state.isCold && !options.isRegistryStale()) {
            state.hasShare = false;
            return undefined;
        }
        const bound = warmup.requestsPerSecond * options.overshoot() + options.slack();
        // Twice as many senders as there should be must not exceed the bound, as instances may know of different instances.
        const maxSharers = Math.max(1, Math.floor(state.isCold ? bound / 2 : bound));
        const { count, isIncluded } = options.findSharers(upstream.identifier, maxSharers);
        const hasShare = count > 0 && isIncluded;
        // Whole requests in any second, so that no alignment of the sharers' intervals exceeds the bound.
        const maxPerSecond = Math.floor(maxSharers / count);
        const perSecond = state.isCold ? warmup.requestsPerSecond : bound;
        const evenIntervalMilliseconds = count / perSecond * 1000;
        const intervalMilliseconds = intervalMargin * (maxPerSecond >= 1
            ? Math.max(state.isCold ? evenIntervalMilliseconds : 0, 1000 / maxPerSecond)
            : evenIntervalMilliseconds);
        if (hasShare && !state.hasShare) {
            // Instances that learn of a cold upstream at the same moment must not all send at once.
            state.nextSendAt = Math.max(state.nextSendAt, now + options.random.fraction() * intervalMilliseconds);
        }
        state.hasShare = hasShare;
        return { state, hasShare, intervalMilliseconds };
    };

    return {
        waitMilliseconds: (upstream, now) => {
            const limit = findLimit(upstream, now);
            if (limit === undefined) {
                return 0;
            }
            const { state, hasShare } = limit;
            if (!hasShare) {
                return state.isCold ? remainingMilliseconds(state, now) : noShareWaitMilliseconds;
            }
            return Math.max(0, state.nextSendAt - now);
        },
        onSent: (upstream, now) => {
            const limit = findLimit(upstream, now);
            if (limit !== undefined) {
                limit.state.nextSendAt = Math.max(limit.state.nextSendAt, now) + limit.intervalMilliseconds;
            }
        },
        onEntry: (upstream, isInitial, now) => {
            const isNew = !isInitial && (states.get(upstream.identifier)?.startedAt ?? -Infinity) < upstream.startedAt;
            const state = stateOf(upstream);
            if (state.startedAt !== upstream.startedAt) {
                return;
            }
            const warmup = options.warmupOf(upstream.service);
            // Each entry replaces the one before, whose time may have been wrong.
            state.coldUntil.set(ColdCause.registry, now + upstream.warmupMilliseconds);
            if (isNew && warmup !== undefined) {
                extend(state, ColdCause.newIncarnation, now + warmup.milliseconds);
            }
            findLimit(upstream, now);
        },
        onReported: (upstream, milliseconds, now) => {
            const state = stateOf(upstream);
            if (state.startedAt === upstream.startedAt) {
                extend(state, ColdCause.response, now + milliseconds);
                findLimit(upstream, now);
            }
        },
        isCold: (upstream, now) => {
            const warmup = options.warmupOf(upstream.service);
            return warmup !== undefined && refresh(upstream, warmup, now).isCold;
        },
        isLeftToOthers: (upstream, now) => findLimit(upstream, now)?.hasShare === false,
        toleratedPerSecond: (upstream, now) => {
            const warmup = options.warmupOf(upstream.service);
            return warmup !== undefined && refresh(upstream, warmup, now).isCold
                ? warmup.requestsPerSecond
                : undefined;
        },
        update: (upstreams, now) => {
            const present = new Set<string>();
            let coldCount = 0;
            for (const upstream of upstreams) {
                present.add(upstream.identifier);
                findLimit(upstream, now);
                coldCount += states.get(upstream.identifier)?.isCold === true ? 1 : 0;
            }
            for (const identifier of [...states.keys()].filter(known => !present.has(known))) {
                states.delete(identifier);
            }
            return coldCount;
        },
    };
};
