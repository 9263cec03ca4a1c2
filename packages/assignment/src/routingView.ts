/** Which upstream to ask for a key, as an instance last heard it. */
import * as keeper from "./keeper";
import * as keyRange from "./keyRange";

/** The owner of a key. */
export interface KeyRoute {
    owner: keyRange.Owner;
    token: number;
}

/** Routing of one service's keys. */
export interface RoutingView {
    /** Undefined while nobody may serve the key, or nothing is known. */
    find: (key: number) => KeyRoute | undefined;
    /** Whether any key has had an owner. */
    isKnown: () => boolean;
    apply: (changes: readonly keeper.RoutingChange[]) => void;
}

/**
 * Creates a view that knows no owner.
 *
 * @returns the view
 */
export const createRoutingView = (): RoutingView => {
    const routes = new Array<KeyRoute | undefined>(keyRange.keyCount).fill(undefined);
    let isKnown = false;
    return {
        find: key => routes[key],
        isKnown: () => isKnown,
        apply: changes => {
            isKnown ||= changes.some(change => change.owner !== undefined);
            for (const { first, last, owner, token } of changes) {
                routes.fill(owner === undefined ? undefined : { owner, token }, first, last + 1);
            }
        },
    };
};
