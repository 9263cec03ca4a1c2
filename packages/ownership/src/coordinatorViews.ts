/** What others see of a coordinator: where requests go, and status for operators. */
import type * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import type * as coordinatorContext from "./coordinatorContext";

/** Where a key's requests go. */
export interface Route {
    server: string;
    address: string;
    token: number;
    /** Whether the holder's grant is due and, for servers that check no tokens, our view of it is fresh enough. */
    isReady: boolean;
}

/** Status for operators. */
export interface CoordinatorStatus {
    identifier: string;
    offset: number;
    environmentVersion: number | undefined;
    term: number;
    leader: string | undefined;
    members: string[];
    isMember: boolean;
    /** Age of the last confirmed round in milliseconds. */
    confirmedAgeMilliseconds: number | undefined;
    lapses: string[];
    livePeers: string[];
}

/** Looks into a coordinator. */
export interface CoordinatorViews {
    route: (service: configuration.Service, slot: number) => Route | undefined;
    status: () => CoordinatorStatus;
}

/**
 * Creates the views of a coordinator.
 *
 * @param context - state of the instance
 * @returns the views
 */
export const createCoordinatorViews = (context: coordinatorContext.CoordinatorContext): CoordinatorViews => {
    const { timers, grants } = context;

    const confirmedAge = (): number | undefined => {
        const confirmedAt = grants.confirmedAt();
        return confirmedAt === undefined ? undefined : timers.now() - confirmedAt;
    };

    return {
        route: (service, slot) => {
            // A table made for another number of slots maps keys otherwise; its owners are not this document's owners.
            if (grants.slotCount(service.name) !== service.keySlots) {
                return undefined;
            }
            const holder = grants.holder(service.name, slot, timers.now());
            const server = holder?.holder.slice(0, holder.holder.lastIndexOf("@"));
            const upstream = service.upstreams.find(entry => entry.name === server);
            if (holder === undefined || upstream === undefined) {
                return undefined;
            }
            const isFresh = (confirmedAge() ?? Infinity) < context.lease().durationMilliseconds;
            return {
                server: upstream.name,
                address: upstream.address,
                token: holder.token,
                isReady: holder.isDue && (service.checksTokens || isFresh),
            };
        },
        status: () => {
            const state = context.state();
            return {
                identifier: context.identifier,
                offset: state?.offset ?? -1,
                environmentVersion: context.inForce.current()?.version,
                term: state?.term ?? 0,
                leader: state?.leader,
                members: (state?.members ?? []).map(ledger.memberIdentifier),
                isMember: context.isMember(),
                confirmedAgeMilliseconds: confirmedAge(),
                lapses: [...context.knowledge().lapses],
                livePeers: context.liveInstances().map(ledger.memberIdentifier),
            };
        },
    };
};
