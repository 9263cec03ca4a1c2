/** What may be said of a request, and when it may be attempted again. */

/** What callers are told. */
export const Outcome = { answered: "answered", notRun: "not-run", unknown: "unknown" } as const;

/** One of {@link Outcome}. */
export type OutcomeKind = typeof Outcome[keyof typeof Outcome];

/** How an attempt at an upstream ended. */
export const AttemptResult = {
    /** The head of an answer came. */
    answered: "answered",
    /** No connection was made, so nothing was sent. */
    notSent: "notSent",
    /** The upstream said that it refused before it began. */
    refused: "refused",
    /** Something was sent and no answer came. */
    lost: "lost",
} as const;

/** One of {@link AttemptResult}. */
export type AttemptResultKind = typeof AttemptResult[keyof typeof AttemptResult];

/**
 * Gives what is certain after a request's attempts.
 *
 * @param attempts - how each attempt ended, in order
 * @returns what the caller may be told
 */
export const outcomeOf = (attempts: readonly AttemptResultKind[]): OutcomeKind => {
    if (attempts[attempts.length - 1] === AttemptResult.answered) {
        return Outcome.answered;
    }
    return attempts.includes(AttemptResult.lost) ? Outcome.unknown : Outcome.notRun;
};

/** What another attempt depends on. */
export interface AttemptAgain {
    attempts: readonly AttemptResultKind[];
    isIdempotent: boolean;
    /** Whether the whole body can be sent once more. */
    isBodyIntact: boolean;
    remainingMilliseconds: number;
}

const highestAttempts = 20;

/**
 * Tells whether another attempt is allowed. Work that is not idempotent is attempted again only while it certainly
 * has not run.
 *
 * @param again - what the decision depends on
 * @returns whether to attempt again, budget permitting
 */
export const mayAttemptAgain = (again: AttemptAgain): boolean => {
    const mayHaveRun = again.attempts.includes(AttemptResult.lost);
    const isSafe = again.isIdempotent || !mayHaveRun;
    return isSafe && again.isBodyIntact && again.remainingMilliseconds > 0 && again.attempts.length < highestAttempts;
};
