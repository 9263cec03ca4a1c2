/** Resource ownership: each resource registers its cleanup with an owner, which runs it on disposal. */

/** Releases one resource, synchronously or asynchronously. */
export type Cleanup = () => void | Promise<void>;

/** A disposal scope: collects cleanups and runs each once, in reverse order of registration. */
export interface Owner {
    /** Registers a cleanup, or runs it immediately if the owner is already disposed. */
    onCleanup: (cleanup: Cleanup) => void;
    /** Runs all cleanups, the last registered first. Further calls return the promise of the first call. */
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
        for (const cleanup of cleanups.reverse()) {
            await cleanup();
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
