/** Limits retries to a fraction of new requests, so that retries do not amplify a fault. */

/** A retry budget. */
export interface RetryBudget {
    /** Records a new request. */
    onRequest: () => void;
    /** Consumes one retry from the budget. Returns false if the budget is exhausted. */
    tryConsume: () => boolean;
}

const retriesPerRequest = 0.1;
const maxBalance = 20;

/**
 * Creates a retry budget.
 *
 * @returns a full budget, so that failures right after startup can be retried
 */
export const createRetryBudget = (): RetryBudget => {
    let balance = maxBalance;
    return {
        onRequest: () => {
            balance = Math.min(maxBalance, balance + retriesPerRequest);
        },
        tryConsume: () => {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
    };
};
