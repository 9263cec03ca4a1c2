/** Lets retries be a fraction of fresh requests, so that a fault is not amplified. */

/** A budget of retries. */
export interface RetryBudget {
    /** A fresh request was taken. */
    onRequest: () => void;
    /** Takes one retry from the budget; false when there is none. */
    take: () => boolean;
}

const retriesPerRequest = 0.1;
const highestBalance = 20;

/**
 * Creates a budget.
 *
 * @returns a full budget, so that the first failures after a start can be retried
 */
export const createRetryBudget = (): RetryBudget => {
    let balance = highestBalance;
    return {
        onRequest: () => {
            balance = Math.min(highestBalance, balance + retriesPerRequest);
        },
        take: () => {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
    };
};
