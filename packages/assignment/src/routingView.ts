/** Owners of a service's keys, as last received from the leader. */
import * as keyRange from "./keyRange";
import * as leaseManager from "./leaseManager";

/** The owner of a key and its fencing token. */
export interface KeyRoute {
    owner: keyRange.Owner;
    token: number;
}

/** Routing table of one service's keys. */
export interface RoutingView {
    /** Returns the owner of a key, or undefined while no upstream can serve it or no routing has been received. */
    find: (key: number) => KeyRoute | undefined;
    /** Whether any key has had an owner since the view was created. */
    isInitialized: () => boolean;
    /** Applies routing changes. */
    apply: (changes: readonly leaseManager.RoutingChange[]) => void;
}

/**
 * Creates a routing view in which no key has an owner.
 *
 * @returns the routing view
 */
export const createRoutingView = (): RoutingView => {
    const routes = new Array<KeyRoute | undefined>(keyRange.keyCount).fill(undefined);
    let isInitialized = false;
    return {
        find: key => routes[key],
        isInitialized: () => isInitialized,
        apply: changes => {
            isInitialized ||= changes.some(change => change.owner !== undefined);
            for (const { first, last, owner, token } of changes) {
                routes.fill(owner === undefined ? undefined : { owner, token }, first, last + 1);
            }
        },
    };
};
