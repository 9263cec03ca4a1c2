/** Determines the outcome of a request and whether it may be retried. */

/** Outcome of a request as reported to the caller. */
export const Outcome = { answered: "answered", notRun: "not-run", unknown: "unknown" } as const;

/** A value of {@link Outcome}. */
export type OutcomeKind = typeof Outcome[keyof typeof Outcome];

/** Result of one attempt at an upstream. */
export const AttemptResult = {
    /** The response headers were received. */
    answered: "answered",
    /** No connection was established, so nothing was sent. */
    notSent: "notSent",
    /** The upstream reported that it refused the request without executing it. */
    refused: "refused",
    /** At least part of the request was sent, but no response was received. */
    lost: "lost",
} as const;

/** A value of {@link AttemptResult}. */
export type AttemptResultKind = typeof AttemptResult[keyof typeof AttemptResult];

/**
 * Returns the outcome of a request: `notRun` only if it is certain that no attempt ran.
 *
 * @param attempts - results of the attempts, in order
 * @returns `answered` if the last attempt was answered; otherwise `unknown` if an attempt may have run, else `notRun`
 */
export const outcomeOf = (attempts: readonly AttemptResultKind[]): OutcomeKind => {
    if (attempts[attempts.length - 1] === AttemptResult.answered) {
        return Outcome.answered;
    }
    return attempts.includes(AttemptResult.lost) ? Outcome.unknown : Outcome.notRun;
};

/** State of a request that determines whether it may be retried. */
export interface RetryContext {
    attempts: readonly AttemptResultKind[];
    isIdempotent: boolean;
    /** Whether the whole request body can be sent again. */
    isBodyReplayable: boolean;
    remainingMilliseconds: number;
}

const maxAttempts = 20;

/**
 * Whether a request may be attempted again. A request that is not idempotent is retried only while it certainly has not
 * run.
 *
 * @param context - previous attempts, idempotence, body and remaining time of the request
 * @returns true if another attempt is allowed; the retry budget is not considered
 */
export const canRetry = (context: RetryContext): boolean => {
    const mayHaveRun = context.attempts.includes(AttemptResult.lost);
    const isSafe = context.isIdempotent || !mayHaveRun;
    return isSafe && context.isBodyReplayable && context.remainingMilliseconds > 0
        && context.attempts.length < maxAttempts;
};
