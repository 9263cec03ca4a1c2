/** Serves requests by other instances, to which they are delegated. */
import type * as assignment from "@mulberryseam/assignment";
import * as foundation from "@mulberryseam/foundation";
import type * as attempts from "./attempt";
import type * as delegator from "./delegator";
import * as ownerWait from "./ownerWait";
import * as requestState from "./requestState";
import type * as responders from "./responder";
import type * as retryBudget from "./retryBudget";
import * as selection from "./selection";

/** Configures how requests are served by other instances. */
export interface DelegateServingOptions {
    timers: foundation.TimerService;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
    /** Without it, the instance sends every request itself. */
    delegator?: delegator.Delegator;
    retryBudgetOf: (service: string) => retryBudget.RetryBudget;
    responder: responders.Responder;
}

/** Delegates a request if that is worthwhile; returns false if this instance has to send it itself. */
export type DelegateServing = (
    state: requestState.RequestState,
    body: attempts.AttemptOptions["body"],
) => Promise<boolean>;

/**
 * Creates a function that serves requests by other instances.
 *
 * @param options - owners of keys, other instances and the retry budgets
 * @returns the function
 */
export const createDelegateServing = (options: DelegateServingOptions): DelegateServing => {
    const { timers, responder, retryBudgetOf } = options;

    /**
     * Waits until the owner of a delegated request's key is known. Otherwise the requests that wait for a hot key would reach its new
     * owner at once, from every instance.
     */
    const waitForOwner = async (state: requestState.RequestState): Promise<void> => {
        const waitUntil = ownerWait.ownerWaitUntil(state);
        const hasOwner = (): boolean =>
            state.key === undefined || options.findOwner(state.service, state.key) !== undefined;
        while (!state.isFinished && !hasOwner() && timers.now() < waitUntil) {
            await foundation.pause(timers, ownerWait.ownerPollMilliseconds);
        }
    };

    return async (state, body) => {
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
};
