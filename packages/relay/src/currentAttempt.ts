/** Runs the attempts of a request, of which there is one at a time. */
import type * as foundation from "@mulberryseam/foundation";
import * as attempts from "./attempt";
import type * as attemptResult from "./attemptResult";
import * as requestState from "./requestState";

/**
 * Starts an attempt as the current one of a request and waits for its result. After an exception, the attempt ends as well.
 *
 * @param state - the request
 * @param options - the attempt
 * @param watch - called with the attempt; its subscription is cancelled at the end
 * @returns the result
 */
export const runAttempt = async (
    state: requestState.RequestState,
    options: attempts.AttemptOptions,
    watch: (attempt: attemptResult.Attempt) => foundation.Subscription,
): Promise<attemptResult.AttemptResult> => {
    const attempt = attempts.startAttempt(options);
    state.currentAttempt = attempt;
    let watching: foundation.Subscription | undefined;
    try {
        watching = watch(attempt);
        return await attempt.result;
    }
    finally {
        state.currentAttempt = undefined;
        watching?.cancel();
        // Without a result, nothing else would end the attempt.
        attempt.cancel(requestState.FailureReason.internalError);
    }
};
