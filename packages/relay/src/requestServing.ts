/**
 * Serves a request whose body is known, by another instance or by attempts of its own. An upstream is selected for each attempt
 * just before it is sent. The response is 503, which means that the request has not run, only if every attempt ended with `notRun`.
 */
import type * as assignment from "@mulberryseam/assignment";
import type * as eligibilities from "@mulberryseam/eligibility";
import * as foundation from "@mulberryseam/foundation";
import * as routing from "@mulberryseam/routing";
import * as admissions from "./admission";
import type * as attempts from "./attempt";
import type * as attemptResult from "./attemptResult";
import * as attemptSender from "./attemptSender";
import * as delegateServing from "./delegateServing";
import type * as delegator from "./delegator";
import * as ownerWait from "./ownerWait";
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

/** Delay before a request is retried at the owner of its key, in milliseconds. */
const sameOwnerRetryMilliseconds = 30;
/** Attempts of one request, including those without a connection: enough to get past a failed failure domain. */
const maxAttempts = 5;

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
    const admission = admissions.createAdmission(options);
    const retryBudgets = new Map<string, retryBudget.RetryBudget>();

    const retryBudgetOf = (service: string): retryBudget.RetryBudget => {
        const budget = retryBudgets.get(service) ?? retryBudget.createRetryBudget(options.retryBudget);
        retryBudgets.set(service, budget);
        return budget;
    };

    const serveByDelegate = delegateServing.createDelegateServing({ ...options, retryBudgetOf });

    /** Selects an upstream; while there is none for a transient reason, polls up to the maximum wait. */
    const waitForSelection = async (state: requestState.RequestState): Promise<selection.Selection> => {
        const waitUntil = ownerWait.ownerWaitUntil(state);
        for (;;) {
            const selected = select(state);
            if (selected.kind !== "none" || !selected.isTransient || state.isFinished || timers.now() >= waitUntil) {
                return selected;
            }
            await foundation.pause(timers, ownerWait.ownerPollMilliseconds);
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
            && admission.isAccepted(state, selected.target, admission.toInput(state, selected.choice));
    };

    /** Refuses a request until its upstream takes requests again; callers return one after another. */
    const refuseHeldOff = (
        state: requestState.RequestState,
        { target, choice, holdOffMilliseconds }: Extract<selection.Selection, { kind: "heldOff"; }>,
    ): void => {
        const limit = admission.limitOf(target, admission.toInput(state, choice));
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
    const waiting = waitingServing.createWaitingServing({
        ...options,
        select,
        toInput: admission.toInput,
        sendAttempt,
    });

    /** Sends a request at once, or returns the function that refuses it. */
    const sendAtOnce = async (
        state: requestState.RequestState,
        { target, choice }: Extract<selection.Selection, { kind: "chosen"; }>,
        body: attempts.AttemptOptions["body"],
    ): Promise<waitingServing.SentAttempt | (() => void)> => {
        const input = admission.toInput(state, choice);
        const limit = admission.limitOf(target, input);
        if (!admission.isAccepted(state, target, input)) {
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
