/** Ownership of resources: every resource is registered with an owner that disposes of it. */

/** Releases one resource; may finish asynchronously. */
export type Cleanup = () => void | Promise<void>;

/** Collects cleanups and runs them once, in reverse order of registration. */
export interface Owner {
    /** Registers a cleanup; it runs at once when the owner has already been disposed of. */
    onCleanup: (cleanup: Cleanup) => void;
    /** Runs every cleanup, the latest first; a later call waits for the first. */
    dispose: () => Promise<void>;
    /** Tells whether {@link dispose} has been called. */
    isDisposed: () => boolean;
}

/**
 * Creates an owner of resources.
 *
 * @returns an owner without cleanups
 */
export const createOwner = (): Owner => {
    const cleanups: Cleanup[] = [];
    let disposal: Promise<void> | undefined;
    let isDisposed = false;

    const runAll = async (): Promise<void> => {
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
            disposal ??= runAll();
            return disposal;
        },
        isDisposed: () => isDisposed,
    };
};
