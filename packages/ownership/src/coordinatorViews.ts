/** Read-only views of a coordinator: routes for requests and status for operators. */
import type * as configuration from "@mulberryseam/configuration";
import * as ledger from "@mulberryseam/ledger";
import type * as coordinatorContext from "./coordinatorContext";

/** The server to which requests for a slot are routed. */
export interface Route {
    server: string;
    address: string;
    token: number;
    /**
     * Whether the slot can be granted to the server and, unless the service checks tokens, the last confirmed round
     * began less than one lease duration ago.
     */
    isReady: boolean;
}

/** Status reported to operators. */
export interface CoordinatorStatus {
    identifier: string;
    offset: number;
    environmentVersion: number | undefined;
    term: number;
    leader: string | undefined;
    members: string[];
    isMember: boolean;
    /** Time since the last confirmed round began. */
    confirmedAgeMilliseconds: number | undefined;
    /** Expired sessions whose loss the log has not recorded yet. */
    lapses: string[];
    /** Identifiers of the responsive instances, including this one unless it is leaving. */
    livePeers: string[];
}

/** Read-only views of a coordinator. */
export interface CoordinatorViews {
    route: (service: configuration.Service, slot: number) => Route | undefined;
    status: () => CoordinatorStatus;
}

/**
 * Creates the views of a coordinator.
 *
 * @param context - the shared state of the instance
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
            // A table with a different number of slots maps keys to slots differently, so its owners do not apply to
            // the document in force.
            if (grants.slotCount(service.name) !== service.keySlots) {
                return undefined;
            }
            const holder = grants.holder(service.name, slot, timers.now());
            const serverName = holder?.holder.slice(0, holder.holder.lastIndexOf("@"));
            const upstream = service.upstreams.find(entry => entry.name === serverName);
            if (holder === undefined || upstream === undefined) {
                return undefined;
            }
            const isFresh = (confirmedAge() ?? Infinity) < context.lease().durationMilliseconds;
            return {
                server: upstream.name,
                address: upstream.address,
                token: holder.token,
                isReady: holder.isGrantable && (service.checksTokens || isFresh),
            };
        },
        status: () => {
            const state = context.state();
            return {
                identifier: context.identifier,
                offset: state?.offset ?? -1,
                environmentVersion: context.environments.current()?.version,
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
