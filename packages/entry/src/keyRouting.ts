/** The owners of the keys of every service, from the leader's messages or from the store. */
import * as assignment from "@mulberryseam/assignment";
import type * as protocol from "@mulberryseam/protocol";
import type * as ownershipReader from "./ownershipReader";

/** Routing of the keys of every service. */
export interface KeyRouting {
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
    /** Whether any key of a service has had an owner. */
    isInitialized: (service: string) => boolean;
    applyMessage: (message: Extract<protocol.RoutingMessage, { kind: "routing"; }>) => void;
    applySnapshot: (snapshot: ownershipReader.OwnershipSnapshot) => void;
}

/**
 * Creates a routing in which no key has an owner.
 *
 * @returns the routing
 */
export const createKeyRouting = (): KeyRouting => {
    const views = new Map<string, assignment.RoutingView>();
    const getOrCreate = (service: string): assignment.RoutingView => {
        const view = views.get(service) ?? assignment.createRoutingView();
        views.set(service, view);
        return view;
    };
    return {
        findOwner: (service, key) => views.get(service)?.find(key),
        isInitialized: service => views.get(service)?.isInitialized() === true,
        applyMessage: ({ service, changes, owners }) =>
            getOrCreate(service).apply(changes.map(change => ({ ...change, owner: owners[change.owner] }))),
        applySnapshot: ({ assignments, outdatedAssignments }) => {
            for (const [service, { ranges }] of assignments) {
                getOrCreate(service).apply(ranges);
            }
            for (const [service, { ranges }] of outdatedAssignments) {
                // What a leader has told is newer, and owners hold their keys until their leases end.
                if (!getOrCreate(service).isInitialized()) {
                    getOrCreate(service).apply(ranges);
                }
            }
        },
    };
};
