/** Resource ownership: each resource registers its cleanup with an owner, which runs it on disposal. */

/** Releases one resource, synchronously or asynchronously. */
export type Cleanup = () => void | Promise<void>;

/** A disposal scope: collects cleanups and runs each once, in reverse order of registration. */
export interface Owner {
    /** Registers a cleanup, or runs it immediately if the owner is already disposed. */
    onCleanup: (cleanup: Cleanup) => void;
    /**
     * Runs all cleanups, the last registered first. Rejects with the first error of a cleanup once all have run. Further calls
     * return the promise of the first call.
     */
    dispose: () => Promise<void>;
    /** Whether {@link dispose} has been called. */
    isDisposed: () => boolean;
}

/**
 * Creates an owner.
 *
 * @returns an owner with no cleanups
 */
export const createOwner = (): Owner => {
    const cleanups: Cleanup[] = [];
    let disposal: Promise<void> | undefined;
    let isDisposed = false;

    const runCleanups = async (): Promise<void> => {
        isDisposed = true;
        const errors: unknown[] = [];
        for (const cleanup of cleanups.reverse()) {
            try {
                await cleanup();
            }
            catch (error) {
                errors.push(error);
            }
        }
        if (errors.length > 0) {
            throw errors[0];
        }
    };

    return {
        onCleanup: cleanup => {
            if (isDisposed) {
                void cleanup();
                return;
            }
            cleanups.push(cleanup);
        },
        dispose: () => {
            disposal ??= runCleanups();
            return disposal;
        },
        isDisposed: () => isDisposed,
    };
};
