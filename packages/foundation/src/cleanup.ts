/** Ownership of resources: every resource is registered with an owner that disposes of it. */

/** Releases one resource; may finish asynchronously. */
export type Cleanup = () => void | Promise<void>;

/** Collects cleanups and runs them once, in reverse order of registration. */
export interface Owner {
    /** Registers a cleanup; it runs at once when the owner has already been disposed of. */
    onCleanup: (cleanup: Cleanup) => void;
    /** Runs every cleanup, the latest first; the second call does nothing. */
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
    let disposed = false;
    return {
        onCleanup: cleanup => {
            if (disposed) {
                void cleanup();
                return;
            }
            cleanups.push(cleanup);
        },
        dispose: async () => {
            if (disposed) {
                return;
            }
            disposed = true;
            for (const cleanup of cleanups.reverse()) {
                await cleanup();
            }
        },
        isDisposed: () => disposed,
    };
};
