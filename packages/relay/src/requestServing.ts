/**
 * Serves a request whose body is known, by another instance or by attempts of its own. An upstream is selected for each attempt
 * just before it is sent. The response is 503, which means that the request has not run, only if every attempt ended with `notRun`.
 */
import type * as assignment from "@mulberryseam/assignment";
import type * as eligibilities from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as scheduling from "@mulberryseam/scheduling";
import type * as attempts from "./attempt";
import type * as attemptResult from "./attemptResult";
import * as attemptSender from "./attemptSender";
import type * as delegator from "./delegator";
import type * as requestExceptions from "./requestExceptions";
import * as requestState from "./requestState";
import type * as responders from "./responder";
import * as retryBudget from "./retryBudget";
import * as selection from "./selection";
import type * as upstreamNotice from "./upstreamNotice";
import type * as upstreamPool from "./upstreamPool";
import * as waitingServing from "./waitingServing";

/** Configures how requests are served. */
export interface RequestServingOptions {
    timers: foundation.TimerService;
    random: foundation.Random;
    log: foundation.EventLog;
    pool: upstreamPool.UpstreamPool;
    /** Decides which upstreams may get a request. */
    eligibility: eligibilities.Eligibility;
    traffic: foundation.TrafficAccount;
    failures: foundation.FailureBoundary;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
    /** Without it, the instance sends every request itself. */
    delegator?: delegator.Delegator;
    retryBudget: retryBudget.RetryBudgetOptions;
    /** Called with what an upstream says of itself in a response to this instance. */
    onNotice: upstreamNotice.NoticeHandler;
    responder: responders.Responder;
    exceptions: requestExceptions.RequestExceptions;
}

/** Serves requests. */
export interface RequestServing {
    /** Serves a request: resolves once it has ended. */
    serve: (state: requestState.RequestState, body: attempts.AttemptOptions["body"]) => Promise<void>;
    /** Number of requests of each service that wait for room at its upstreams. */
    waitingCounts: () => ReadonlyMap<string, number>;
}

/** Interval between lookups of a key's owner, in milliseconds. */
const ownerPollMilliseconds = 25;
/** Delay before a request is retried at the owner of its key, in milliseconds. */
const sameOwnerRetryMilliseconds = 30;
/** Attempts of one request, including those without a connection: enough to get past a failed failure domain. */
const maxAttempts = 5;
/** Longest wait for a key to get an owner, as a ratio of the route's target. */
const maxOwnerWaitRatio = 0.6;

/** Returns until when a request waits for its key to get an owner. */
const ownerWaitUntil = (state: requestState.RequestState): number =>
    Math.min(
        state.deadlineAt,
        state.arrivedAt + state.route.targetMilliseconds * maxOwnerWaitRatio + ownerPollMilliseconds,
    );

/** Waits until a request has ended, or no overdue attempt is left that may still be answered. */
const waitForOverdueAttempts = async (state: requestState.RequestState): Promise<void> => {
    while (state.overdueAttempts.size > 0 && !state.isFinished) {
        await Promise.all(state.overdueAttempts.values());
    }
};

/**
 * Creates a function that serves requests.
 *
 * @param options - upstreams, owners of keys, other instances and the retry budget
 * @returns the function
 */
export const createRequestServing = (options: RequestServingOptions): RequestServing => {
    const { timers, responder } = options;
    const select = selection.createSelector(options);
    const retryBudgets = new Map<string, retryBudget.RetryBudget>();

    const retryBudgetOf = (service: string): retryBudget.RetryBudget => {
        const budget = retryBudgets.get(service) ?? retryBudget.createRetryBudget(options.retryBudget);
        retryBudgets.set(service, budget);
        return budget;
    };

    /** Selects an upstream; while there is none for a transient reason, polls up to the maximum wait. */
    const waitForSelection = async (state: requestState.RequestState): Promise<selection.Selection> => {
        const waitUntil = ownerWaitUntil(state);
        for (;;) {
            const selected = select(state);
            if (selected.kind !== "none" || !selected.isTransient || state.isFinished || timers.now() >= waitUntil) {
                return selected;
            }
            await foundation.pause(timers, ownerPollMilliseconds);
        }
    };

    const canRetry = (
        state: requestState.RequestState,
        result: attemptResult.AttemptResult,
        isWhole: boolean,
    ): boolean => {
        const isRetrySafe = result.kind === "notRun" || state.route.kind === routing.RouteKind.idempotent;
        const hasReachedUpstream = result.kind === "unknown" || (result.kind === "notRun" && result.isRefused);
        const isExhausted = result.kind === "unknown" && state.triedUpstreams.size >= state.route.maxAttempts;
        // An owner with a queue would refuse the next attempt too, and no other upstream can serve the key.
        const isOwnerQueueing = state.isKeyed && result.kind === "notRun" && (result.report?.waiting ?? 0) > 0;
        return !isOwnerQueueing && state.attemptCount < maxAttempts && isRetrySafe && isWhole && !isExhausted
            && !state.isFinished && (!hasReachedUpstream || retryBudgetOf(state.service).tryAcquire(timers.now()));
    };

    const toAdmissionInput = (
        state: requestState.RequestState,
        { candidate, expectedMilliseconds, waitMilliseconds }: scheduling.Choice,
    ): scheduling.QueueLimitInput => ({
        isMeasured: candidate.isMeasured,
        expectedMilliseconds,
        waitMilliseconds,
        remainingMilliseconds: state.deadlineAt - timers.now(),
        targetMilliseconds: state.arrivedAt + state.route.targetMilliseconds - timers.now(),
        slots: candidate.slots,
        serviceMilliseconds: candidate.serviceMilliseconds,
    });

    /** Returns how many requests of all instances an upstream serves in time, and holds. */
    const queueLimitOf = (
        target: upstreamPool.PooledUpstream,
        input: scheduling.QueueLimitInput,
    ): scheduling.QueueLimit =>
        scheduling.limitToCapacity(scheduling.queueLimit(input), options.pool.capacityOf(target));

    /** Whether an upstream should get a request now. One that may have run is refused only if no response can come in time. */
    const isAccepted = (
        state: requestState.RequestState,
        target: upstreamPool.PooledUpstream,
        input: scheduling.QueueLimitInput,
    ): boolean => {
        if (!options.pool.hasCapacity(target) || !options.pool.hasMemory(target, state.bodyBytes)) {
            return false;
        }
        if (state.mayHaveRun) {
            return input.expectedMilliseconds <= input.remainingMilliseconds;
        }
        const limit = queueLimitOf(target, input);
        const { health, window } = target;
        const outstandingCount = health.outstandingCount() + health.occupyingCount(timers.now());
        return window.hasRoom(outstandingCount, limit, timers.now())
            && scheduling.isAdmissible(input);
    };

    /** Returns what would be selected now, without recording it. */
    const preselect = (state: requestState.RequestState): selection.Selection => {
        const { decision } = state;
        const selected = select(state);
        state.decision = decision;
        return selected;
    };

    const canSendAgain = (state: requestState.RequestState): boolean => {
        const selected = preselect(state);
        return selected.kind === "chosen" && state.attemptCount < maxAttempts
            && state.triedUpstreams.size < state.route.maxAttempts
            && retryBudgetOf(state.service).canAcquire(timers.now())
            && isAccepted(state, selected.target, toAdmissionInput(state, selected.choice));
    };

    /** Refuses a request until its upstream takes requests again; callers return one after another. */
    const refuseHeldOff = (
        state: requestState.RequestState,
        { target, choice, holdOffMilliseconds }: Extract<selection.Selection, { kind: "heldOff"; }>,
    ): void => {
        const limit = queueLimitOf(target, toAdmissionInput(state, choice));
        const retryMilliseconds = holdOffMilliseconds + target.window.bookRetry(limit, timers.now());
        responder.fail(state, requestState.FailureReason.heldOff, retryMilliseconds);
    };

    const onLateAnswer: attemptSender.AttemptSenderOptions["onLateAnswer"] = (state, response) => {
        if (state.isFinished) {
            response.rest?.destroy();
            return;
        }
        try {
            responder.forward(state, response);
        }
        catch (error) {
            options.exceptions.end(state, error);
        }
        requestState.cancelAttempts(state, requestState.FailureReason.answeredElsewhere);
    };

    const sendAttempt = attemptSender.createAttemptSender({ ...options, canSendAgain, onLateAnswer });
    const waiting = waitingServing.createWaitingServing({ ...options, select, toInput: toAdmissionInput, sendAttempt });

    /** Sends a request at once, or returns the function that refuses it. */
    const sendAtOnce = async (
        state: requestState.RequestState,
        { target, choice }: Extract<selection.Selection, { kind: "chosen"; }>,
        body: attempts.AttemptOptions["body"],
    ): Promise<waitingServing.SentAttempt | (() => void)> => {
        const input = toAdmissionInput(state, choice);
        const limit = queueLimitOf(target, input);
        if (!isAccepted(state, target, input)) {
            const retryMilliseconds = Math.max(
                input.waitMilliseconds,
                target.window.bookRetry(limit, timers.now()),
            );
            return () => responder.fail(state, requestState.FailureReason.deadlineUnreachable, retryMilliseconds);
        }
        return { result: await sendAttempt(state, target, limit, body), waitMilliseconds: input.waitMilliseconds };
    };

    /** Serves a request by attempts. Without a response, returns the function that ends the request. */
    const tryAttempts = async (
        state: requestState.RequestState,
        body: attempts.AttemptOptions["body"],
    ): Promise<(() => void) | undefined> => {
        const isWhole = body.kind === "whole";
        while (!state.isFinished) {
            const selected = await waitForSelection(state);
            if (state.isFinished) {
                return undefined;
            }
            const set = waiting.findSet(state, selected);
            if (selected.kind === "none" && set === undefined) {
                return () => responder.fail(state, selected.reason, selected.waitMilliseconds);
            }
            if (selected.kind === "heldOff") {
                return () => refuseHeldOff(state, selected);
            }
            const sent = set === undefined && selected.kind === "chosen"
                ? await sendAtOnce(state, selected, body)
                : await waiting.send(state, set as string, body);
            if (typeof sent === "function") {
                return sent;
            }
            if (sent === undefined || state.isFinished) {
                continue;
            }
            const { result } = sent;
            if (result.kind === "answered") {
                responder.forward(state, result.response);
                return undefined;
            }
            const next = preselect(state);
            if (next.kind === "heldOff") {
                return () => refuseHeldOff(state, next);
            }
            if (!canRetry(state, result, isWhole)) {
                return () =>
                    responder.fail(
                        state,
                        result.kind === "notRun" ? requestState.FailureReason.refused : requestState.FailureReason.lost,
                        sent.waitMilliseconds,
                    );
            }
            if (state.isKeyed) {
                await foundation.pause(timers, sameOwnerRetryMilliseconds);
            }
        }
        return undefined;
    };

    /** Serves a request by attempts. Without a response, it ends once no overdue attempt is left that may still be answered. */
    const serveByAttempts = async (
        state: requestState.RequestState,
        body: attempts.AttemptOptions["body"],
    ): Promise<void> => {
        const end = await tryAttempts(state, body);
        await waitForOverdueAttempts(state);
        if (!state.isFinished) {
            end?.();
        }
    };

    /**
     * Waits until the owner of a delegated request's key is known. Otherwise the requests that wait for a hot key would reach its new
     * owner at once, from every instance.
     */
    const waitForOwner = async (state: requestState.RequestState): Promise<void> => {
        const waitUntil = ownerWaitUntil(state);
        const hasOwner = (): boolean =>
            state.key === undefined || options.findOwner(state.service, state.key) !== undefined;
        while (!state.isFinished && !hasOwner() && timers.now() < waitUntil) {
            await foundation.pause(timers, ownerPollMilliseconds);
        }
    };

    /** Delegates a request if that is worthwhile; returns false if this instance has to send it itself. */
    const serveByDelegate = async (
        state: requestState.RequestState,
        body: attempts.AttemptOptions["body"],
    ): Promise<boolean> => {
        if (state.isKeyed && !state.isDelegated && options.delegator?.isDelegating(state.service) === true) {
            await waitForOwner(state);
        }
        if (state.isFinished) {
            return true;
        }
        const result = await options.delegator?.delegate(state, body);
        if (result === undefined || state.isFinished) {
            return state.isFinished;
        }
        switch (result.kind) {
            case "answered":
                responder.forward(state, result.response);
                return true;
            case "failed":
                state.mayHaveRun ||= result.mayHaveRun;
                responder.fail(state, result.reason, result.waitMilliseconds);
                return true;
            case "notDelegated":
                state.mayHaveRun ||= result.mayHaveRun;
                if (result.mayHaveRun && !retryBudgetOf(state.service).tryAcquire(timers.now())) {
                    responder.fail(state, requestState.FailureReason.lost, selection.defaultRetryAfterMilliseconds);
                    return true;
                }
                return false;
        }
    };

    return {
        waitingCounts: waiting.counts,
        serve: async (state, body) => {
            waiting.onRequest(state);
            if (await serveByDelegate(state, body)) {
                return;
            }
            retryBudgetOf(state.service).onRequest(timers.now());
            await serveByAttempts(state, body);
        },
    };
};
