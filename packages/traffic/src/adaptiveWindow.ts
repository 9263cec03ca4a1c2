/**
 * How many requests this instance may have outstanding at something shared with other instances. Starts from a fair
 * share and follows answers: reports of load lag or mislead, refusals do not.
 */

/** A limit on outstanding requests. */
export interface AdaptiveWindow {
    /** Whole number of requests that may be outstanding. */
    limit: () => number;
    /** An answer came while `outstanding` requests were out. */
    onAnswered: (outstanding: number) => void;
    /** A request was refused for want of capacity. */
    onShed: (now: number) => void;
    /** Sets the fair share, when instances come or go. */
    setShare: (share: number) => void;
}

/** Bounds of a window. */
export interface AdaptiveWindowOptions {
    /** Fair share to start from, in requests. */
    share: number;
    /** The whole capacity, which the window never exceeds. */
    maximum: number;
}

const decreaseFactor = 0.7;
const decreasePauseMilliseconds = 100;

/**
 * Creates a window.
 *
 * @param options - its bounds
 * @returns a window at its fair share
 */
export const createAdaptiveWindow = (options: AdaptiveWindowOptions): AdaptiveWindow => {
    let share = Math.min(options.share, options.maximum);
    let size = Math.max(share, 1);
    let decreasedAt = -Infinity;
    return {
        limit: () => Math.max(1, Math.floor(size)),
        onAnswered: outstanding => {
            const isFull = outstanding >= Math.floor(size);
            if (isFull) {
                size = Math.min(options.maximum, size + 1 / size);
            }
        },
        onShed: now => {
            // Refusals that belong to one burst count once.
            if (now - decreasedAt >= decreasePauseMilliseconds) {
                size = Math.max(1, share / 2, size * decreaseFactor);
                decreasedAt = now;
            }
        },
        setShare: next => {
            share = Math.min(next, options.maximum);
            size = Math.max(1, Math.min(size, options.maximum));
        },
    };
};
