/** Runs the attempts of a request, of which there is one at a time beside those that are overdue. */
import type * as foundation from "@mulberryseam/foundation";
import * as attempts from "./attempt";
import type * as attemptResult from "./attemptResult";
import * as requestState from "./requestState";

/**
 * Starts an attempt as the current one of a request and waits for its result, or until it is set aside and goes on as an overdue one.
 * After an exception, the attempt ends as well.
 *
 * @param state - the request
 * @param options - the attempt
 * @param watch - called with the attempt and a function that sets it aside for a reason; its subscription is cancelled at the end
 * @returns the result
 */
export const runAttempt = async (
    state: requestState.RequestState,
    options: attempts.AttemptOptions,
    watch: (attempt: attemptResult.Attempt, setAside: (reason: string) => void) => foundation.Subscription,
): Promise<attemptResult.AttemptResult> => {
    const attempt = attempts.startAttempt(options);
    state.currentAttempt = attempt;
    let watching: foundation.Subscription | undefined;
    let isSetAside = false;
    let setAside: (reason: string) => void = () => undefined;
    const setAsideResult = new Promise<attemptResult.AttemptResult>(resolve => {
        setAside = reason => {
            isSetAside = true;
            resolve({ kind: "unknown", reason, isNewConnection: undefined });
        };
    });
    try {
        watching = watch(attempt, setAside);
        return await Promise.race([attempt.result, setAsideResult]);
    }
    finally {
        state.currentAttempt = undefined;
        watching?.cancel();
        if (!isSetAside) {
            // Without a result, nothing else would end the attempt.
            attempt.cancel(requestState.FailureReason.internalError);
        }
    }
};
