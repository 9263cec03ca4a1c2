/** Serves requests that may wait: recognises returning callers, and sends each request once it is its turn. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import * as scheduling from "@mulberryseam/scheduling";
import type * as attempts from "./attempt";
import type * as attemptResult from "./attemptResult";
import type * as attemptSender from "./attemptSender";
import * as requestState from "./requestState";
import type * as responders from "./responder";
import type * as selection from "./selection";
import * as waitingAssessment from "./waitingAssessment";
import * as waitingRequests from "./waitingRequests";

/** Configures how requests are served that may wait. */
export interface WaitingServingOptions extends waitingAssessment.WaitingAssessmentOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    failures: foundation.FailureBoundary;
    responder: responders.Responder;
    sendAttempt: attemptSender.AttemptSender;
}

/** Result of an attempt, and the wait at its upstream that was expected. */
export interface SentAttempt {
    result: attemptResult.AttemptResult;
    waitMilliseconds: number;
}

/** Serves requests that may wait. */
export interface WaitingServing {
    /** Records the arrival of a request. */
    onRequest: (state: requestState.RequestState) => void;
    /** Returns the upstreams among which a request is ordered; undefined if it is sent or refused at once. */
    findSet: (state: requestState.RequestState, selected: selection.Selection) => string | undefined;
    /** Sends a request once it is its turn, or refuses it. Returns undefined if it has ended or has to be selected for again. */
    send: (
        state: requestState.RequestState,
        set: string,
        body: attempts.AttemptOptions["body"],
    ) => Promise<SentAttempt | undefined>;
    /** Number of waiting requests of each service. */
    counts: () => ReadonlyMap<string, number>;
}

/** Pause before an upstream is selected again for a request whose upstream has changed while it waited, in milliseconds. */
const reselectPauseMilliseconds = 5;

/**
 * Creates the service of requests that may wait.
 *
 * @param options - the upstreams, their selection and how an attempt is sent
 * @returns the service
 */
export const createWaitingServing = (options: WaitingServingOptions): WaitingServing => {
    const { timers, responder, sendAttempt } = options;
    const waiting = waitingRequests.createWaitingRequests(options);
    const assessment = waitingAssessment.createWaitingAssessment(options);
    const returningCallers = scheduling.createReturningCallers();
    return {
        onRequest: state => {
            // The time that a delegated request states is that of the instance which has delegated it.
            if (state.mayWait && !state.isDelegated) {
                const stated = Number(state.request.headers[platform.HeaderName.remainingMilliseconds]);
                state.underWayMilliseconds = returningCallers.onRequest(state.route.name, stated);
            }
        },
        // A request that may have run is not refused for a lack of room, so it does not wait for it either.
        findSet: (state, selected) =>
            state.mayWait && !state.mayHaveRun ? assessment.findSet(state, selected) : undefined,
        send: async (state, set, body) => {
            const waited = await waiting.enter({
                state,
                set,
                bytes: body.kind === "whole" ? body.bytes.length : body.start.length,
                assess: () => assessment.assess(state, set),
                send: ({ target, limit }) => sendAttempt(state, target, limit, body),
            });
            if (waited.kind === "refused") {
                state.refusalCause = waited.cause;
                responder.fail(state, requestState.FailureReason.deadlineUnreachable, waited.retryMilliseconds);
            }
            if (waited.kind === "reselect") {
                // Whatever two selections in a row say, they do not occupy the process.
                await foundation.pause(timers, reselectPauseMilliseconds);
            }
            return waited.kind === "sent"
                ? { result: waited.result, waitMilliseconds: waited.chosen.input.waitMilliseconds }
                : undefined;
        },
        counts: waiting.counts,
    };
};
