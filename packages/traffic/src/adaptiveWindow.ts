/**
 * Limits this instance's outstanding requests to capacity that is shared with other instances. The limit starts at the
 * fair share and adapts to responses and refusals rather than to load reports, which can be stale or wrong.
 */

/** An adaptive limit on outstanding requests. */
export interface AdaptiveWindow {
    /** Returns the maximum number of outstanding requests, a whole number of at least 1. */
    limit: () => number;
    /** Records a response that was received while `outstanding` requests were in flight. */
    onResponse: (outstanding: number) => void;
    /** Records a refusal due to lack of capacity. */
    onShed: (now: number) => void;
    /** Sets the fair share, in requests, when the number of instances changes. */
    setFairShare: (fairShare: number) => void;
}

/** Configures the bounds of a window. */
export interface AdaptiveWindowOptions {
    /** Initial limit in requests: the capacity divided by the number of instances. */
    fairShare: number;
    /** Total capacity in requests, which the limit never exceeds. */
    maxLimit: number;
}

const decreaseFactor = 0.7;
const decreaseCooldownMilliseconds = 100;

/**
 * Creates an adaptive window.
 *
 * @param options - the bounds of the window
 * @returns a window whose limit is the fair share, or 1 if that is less
 */
export const createAdaptiveWindow = (options: AdaptiveWindowOptions): AdaptiveWindow => {
    let fairShare = Math.min(options.fairShare, options.maxLimit);
    let size = Math.max(fairShare, 1);
    let decreasedAt = -Infinity;
    return {
        limit: () => Math.max(1, Math.floor(size)),
        onResponse: outstanding => {
            const isFull = outstanding >= Math.floor(size);
            if (isFull) {
                size = Math.min(options.maxLimit, size + 1 / size);
            }
        },
        onShed: now => {
            // Refusals of the same burst reduce the window only once.
            if (now - decreasedAt >= decreaseCooldownMilliseconds) {
                size = Math.max(1, fairShare / 2, size * decreaseFactor);
                decreasedAt = now;
            }
        },
        setFairShare: newFairShare => {
            fairShare = Math.min(newFairShare, options.maxLimit);
            size = Math.max(1, Math.min(size, options.maxLimit));
        },
    };
};
