/** Delegates requests to other instances of the failure domain. What cannot be delegated, the instance sends itself. */
import type * as assignment from "@mulberryseam/assignment";
import * as eligibilities from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as routing from "@mulberryseam/routing";
import type * as attempts from "./attempt";
import type * as attemptResult from "./attemptResult";
import * as currentAttempt from "./currentAttempt";
import * as delegatedRequest from "./delegatedRequest";
import type * as delegatePool from "./delegatePool";
import * as delegation from "./delegation";
import * as headers from "./headers";
import * as requestState from "./requestState";
import * as upstreamNotice from "./upstreamNotice";

/** Configures a delegator. */
export interface DelegatorOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    delegates: delegatePool.DelegatePool;
    traffic: foundation.TrafficAccount;
    failures: foundation.FailureBoundary;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
    /** Whether an upstream may get requests as far as this instance knows, which may know more of it than a delegate. */
    mayReceive: (incarnation: routing.Incarnation) => boolean;
    /** Region of this instance and of its delegates; undefined if it is unknown. */
    ownRegion: string | undefined;
    /** Finds an upstream of which this instance knows where it is. */
    findUpstream: (incarnation: routing.Incarnation) => routing.Upstream | undefined;
    eligibility: eligibilities.Eligibility;
    /** Whether only other instances may send requests to an upstream; by default, no upstream is left to others. */
    isLeftToOthers?: (incarnation: routing.Incarnation) => boolean;
    /** Called with what an upstream says of itself in a response that came through a delegate. */
    onNotice: upstreamNotice.NoticeHandler;
    /** Number of upstreams of a service. */
    upstreamCount: (service: string) => number;
}

/** What came of a delegated request. */
export type DelegationResult =
    /** The instance has to send the request itself: it has not run, or may be sent again. */
    | { kind: "notDelegated"; mayHaveRun: boolean; }
    | { kind: "answered"; response: attemptResult.UpstreamResponse; }
    /** The delegate has ended the request; `waitMilliseconds` is when the caller may retry. */
    | { kind: "failed"; reason: requestState.FailureReasonValue; mayHaveRun: boolean; waitMilliseconds: number; };

/** Delegates requests. */
export interface Delegator {
    /** Counts a request that a caller sent. */
    onRequest: (service: string) => void;
    /** Whether the requests of a keyed service are delegated. */
    isDelegating: (service: string) => boolean;
    delegate: (state: requestState.RequestState, body: attempts.AttemptOptions["body"]) => Promise<DelegationResult>;
}

/** Largest body that is delegated, in bytes: larger ones would take the link of a second instance. */
const maxBodyBytes = 32 * 1024;
/** Timeout for a connection within the failure domain, in milliseconds. */
const connectTimeoutMilliseconds = 200;
const silenceCheckMilliseconds = 100;
/** How much earlier a delegate responds than the request ends, in milliseconds. */
const responseMarginMilliseconds = 15;
const silenceReason = "the delegate is silent";
/** Status of a delegate's own response to a request that has not run. */
const notRunStatus = 503;

const notDelegated: DelegationResult = { kind: "notDelegated", mayHaveRun: false };
const failureReasons: readonly string[] = Object.values(requestState.FailureReason);
/** Reasons for which another instance may still serve the request. */
const localReasons: readonly string[] = [
    requestState.FailureReason.overloaded,
    requestState.FailureReason.noDocument,
    requestState.FailureReason.notAccepted,
];

const headerValue = (rawHeaders: readonly string[], name: string): string | undefined => {
    const index = rawHeaders.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === name);
    return index < 0 ? undefined : rawHeaders[index + 1];
};

/** Returns what a delegate's response says, which is either an upstream's or its own. */
const interpret = (response: attemptResult.UpstreamResponse): DelegationResult => {
    const failure = headerValue(response.rawHeaders, delegatedRequest.failureHeader);
    if (failure === undefined) {
        return { kind: "answered", response };
    }
    if (response.status === notRunStatus && localReasons.includes(failure)) {
        return notDelegated;
    }
    return {
        kind: "failed",
        reason: failureReasons.includes(failure)
            ? failure as requestState.FailureReasonValue
            : requestState.FailureReason.refused,
        mayHaveRun: response.status !== notRunStatus,
        waitMilliseconds: platform.parseRetryAfter(headerValue(response.rawHeaders, platform.HeaderName.retryAfter))
            ?? 0,
    };
};

/**
 * Creates a delegator.
 *
 * @param options - the delegates, the owners of keys, the clock and the log
 * @returns the delegator
 */
export const createDelegator = (options: DelegatorOptions): Delegator => {
    const { timers, log, delegates } = options;
    const silenceChecks = foundation.createSharedInterval(timers, silenceCheckMilliseconds);
    const rates = new Map<string, delegation.RequestRate>();
    const rateOf = (service: string): delegation.RequestRate => {
        const rate = rates.get(service) ?? delegation.createRequestRate();
        rates.set(service, rate);
        return rate;
    };
    const isDelegating = (service: string): boolean =>
        delegation.shouldDelegate({
            requestsPerSecond: rateOf(service).perSecond(timers.now()),
            upstreamCount: options.upstreamCount(service),
            delegateCount: delegates.count(),
        });

    /** Whether the owner of a request's key may get it, for all that this instance knows of the owner's place. */
    const isPlaceEligible = ({ route }: requestState.RequestState, owner: routing.Incarnation): boolean => {
        const upstream = options.findUpstream(owner);
        const ineligibility = upstream === undefined
            ? undefined
            : options.eligibility.findOwnerIneligibility(upstream, route.allowedRegions, timers.now(), false);
        // The delegate has its own share of the rate of a cold upstream.
        return ineligibility === undefined || ineligibility.reason === eligibilities.IneligibilityReason.warmup;
    };

    const chooseDelegate = (
        state: requestState.RequestState,
        body: attempts.AttemptOptions["body"],
    ): delegatePool.PooledDelegate | undefined => {
        const isSmall = body.kind === "whole" && body.bytes.length <= maxBodyBytes;
        if (
            !state.isKeyed || state.key === undefined || state.isDelegated || !isSmall
            || !eligibilities.isRegionAllowed(options.ownRegion, state.route.allowedRegions)
        ) {
            return undefined;
        }
        const route = options.findOwner(state.service, state.key);
        const isLeftToOthers = route !== undefined && options.isLeftToOthers?.(route.owner) === true;
        if (!isLeftToOthers && !isDelegating(state.service)) {
            return undefined;
        }
        return route === undefined || !options.mayReceive(route.owner) || !isPlaceEligible(state, route.owner)
            ? undefined
            : delegates.choose(route.owner.identifier);
    };

    /** Passes on the notice of an upstream, unless the response is the delegate's own. */
    const applyNotice = ({ status, rawHeaders }: attemptResult.UpstreamResponse): void => {
        const notice = upstreamNotice.parseNotice(status, name => headerValue(rawHeaders, name));
        const upstream = headerValue(rawHeaders, delegatedRequest.upstreamHeader);
        if (
            notice === undefined || upstream === undefined
            || headerValue(rawHeaders, delegatedRequest.failureHeader) !== undefined
        ) {
            return;
        }
        const parsed = delegatedRequest.parseUpstream(upstream);
        if (parsed.ok) {
            options.onNotice(parsed.val, notice);
        }
        else {
            log.write("delegation-failed", { reason: parsed.val });
        }
    };

    const toAttemptOptions = (
        state: requestState.RequestState,
        target: delegatePool.PooledDelegate,
        body: attempts.AttemptOptions["body"],
        onInterim: () => void,
    ): attempts.AttemptOptions => {
        const now = timers.now();
        return {
            timers,
            connections: target.connections,
            host: target.delegate.host,
            port: target.delegate.port,
            method: state.request.method ?? "GET",
            path: state.request.url ?? "/",
            headers: [
                ...headers.forwardedHeaders(state.request.rawHeaders, [
                    platform.HeaderName.remainingMilliseconds,
                    delegatedRequest.delegationHeader,
                ]),
                "Request-Deadline-Ms",
                String(Math.max(1, Math.floor(state.deadlineAt - now - responseMarginMilliseconds))),
                delegatedRequest.delegationHeader,
                delegatedRequest.encodeDelegation(state, now),
            ],
            requestIdentifier: state.requestIdentifier,
            reservation: state.reservation,
            failures: options.failures,
            body,
            connectTimeoutMilliseconds,
            onConnected: () => undefined,
            onTransferred: transfer =>
                options.traffic.add(
                    foundation.TrafficPurpose.delegatedRequest,
                    foundation.TrafficReach.failureDomain,
                    transfer,
                ),
            onInterim,
            onCloseDelimitedEnd: end =>
                log.write("answer-without-length", {
                    request: state.requestIdentifier,
                    delegate: target.delegate.identifier,
                    ...end,
                }),
        };
    };

    const send = async (
        state: requestState.RequestState,
        target: delegatePool.PooledDelegate,
        body: attempts.AttemptOptions["body"],
    ): Promise<attemptResult.AttemptResult> => {
        const { health } = target;
        const attemptOptions = toAttemptOptions(
            state,
            target,
            body,
            () => health.onSignOfLife(pending, timers.now()),
        );
        const pending = health.onSent(timers.now());
        let result: attemptResult.AttemptResult | undefined;
        try {
            result = await currentAttempt.runAttempt(state, attemptOptions, attempt =>
                silenceChecks.add(() => {
                    // A request that may run only once is waited for, as it may be running.
                    const canRepeat = state.route.kind === routing.RouteKind.idempotent || !attempt.mayHaveBeenSent();
                    if (canRepeat && health.isSilent(pending, timers.now())) {
                        attempt.cancel(silenceReason);
                    }
                }));
            return result;
        }
        finally {
            const isLost = result !== undefined && result.kind !== "answered" && !state.isFinished;
            health.onEnd(pending, isLost, timers.now());
        }
    };

    return {
        onRequest: service => rateOf(service).onRequest(timers.now()),
        isDelegating,
        delegate: async (state, body) => {
            const target = chooseDelegate(state, body);
            if (target === undefined) {
                return notDelegated;
            }
            state.delegate = target.delegate.identifier;
            const result = await send(state, target, body);
            if (result.kind === "answered") {
                applyNotice(result.response);
                return interpret(result.response);
            }
            if (!state.isFinished) {
                log.write("delegation-failed", {
                    request: state.requestIdentifier,
                    delegate: target.delegate.identifier,
                    result: result.kind,
                    reason: result.reason,
                });
            }
            if (result.kind === "notRun" || state.route.kind === routing.RouteKind.idempotent) {
                return { kind: "notDelegated", mayHaveRun: result.kind === "unknown" };
            }
            return {
                kind: "failed",
                reason: requestState.FailureReason.lost,
                mayHaveRun: true,
                waitMilliseconds: 0,
            };
        },
    };
};
