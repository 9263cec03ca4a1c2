/** Renews the leases of servers by sending them the slots that they are granted and the slots to release. */
import * as ledger from "@mulberryseam/ledger";
import type * as coordinatorContext from "./coordinatorContext";
import type * as grantTracker from "./grantTracker";
import * as lease from "./lease";
import * as renewerSelection from "./renewerSelection";

/** Request that renews the lease of a server, or only probes the server. */
export interface RenewalRequest {
    /** Session to which the slots are granted; undefined in a probe. */
    session: ledger.ServerIdentifier | undefined;
    /** Incarnation of the server to which the slots are granted. */
    incarnation: string | undefined;
    /** Expiry time of the grants on the server's clock, in milliseconds. */
    expiresAt: number | undefined;
    slots: readonly grantTracker.GrantedSlot[];
    /** Slots to release, with the tokens under which they were held. */
    release: readonly grantTracker.GrantedSlot[];
}

/** Response of a server to a renewal request. */
export interface RenewalResponse {
    incarnation: string;
    /** Reading of the server's monotonic clock, in milliseconds. */
    clock: number;
    isDraining: boolean;
    /** Slots that the server held under the given tokens and has released. */
    released: readonly grantTracker.GrantedSlot[];
}

/** Renews the leases of servers. */
export interface LeaseRenewer {
    /** Whether this instance renews the lease of a server. */
    isRenewerOf: (server: string) => boolean;
    /**
     * Sends a request to every selected server that this instance renews, or to all of them without a selection.
     * Without grants, the requests are probes.
     */
    renew: (includesGrants: boolean, isSelected?: (server: string) => boolean) => void;
    /** Records a reading of a server's clock. */
    recordClockSample: (server: string, sample: lease.ClockSample) => void;
    /** Returns when a server last responded to this instance. */
    lastResponseAt: (server: string) => number | undefined;
}

const renewerCount = 3;
const probeRequest: RenewalRequest = {
    session: undefined,
    incarnation: undefined,
    expiresAt: undefined,
    slots: [],
    release: [],
};

/**
 * Creates the lease renewer of an instance.
 *
 * @param context - the shared state of the instance
 * @param send - sends a request to a server, given its name and address
 * @returns the lease renewer
 */
export const createLeaseRenewer = (
    context: coordinatorContext.CoordinatorContext,
    send: (server: string, address: string, request: RenewalRequest) => void,
): LeaseRenewer => {
    const { timers, grants, detector } = context;
    const samples = new Map<string, lease.ClockSample>();

    const isRenewer = (server: string, liveInstances: readonly ledger.Member[]): boolean =>
        renewerSelection.selectRenewers(server, liveInstances, renewerCount).includes(context.identifier);

    const createRequest = (server: string, includesGrants: boolean): RenewalRequest => {
        const registration = context.registrationOf(server);
        const sample = samples.get(server);
        const confirmedAt = grants.confirmedAt();
        if (registration === undefined || !includesGrants || sample === undefined || confirmedAt === undefined) {
            return probeRequest;
        }
        const session = ledger.serverIdentifier(registration);
        const isEnded = registration.status === ledger.ServerStatus.lost
            || context.knowledge().lapses.includes(session);
        if (isEnded) {
            return probeRequest;
        }
        return {
            session,
            incarnation: registration.incarnation,
            expiresAt: lease.leaseExpiry(sample, confirmedAt, context.lease().durationMilliseconds),
            slots: grants.grantableSlots(session, timers.now()),
            release: grants.slotsToRelease(session),
        };
    };

    return {
        isRenewerOf: server => isRenewer(server, context.liveInstances()),
        renew: (includesGrants, isSelected) => {
            const liveInstances = context.liveInstances();
            for (const upstream of context.keyedUpstreams()) {
                const isIncluded = isSelected === undefined || isSelected(upstream.name);
                if (isIncluded && isRenewer(upstream.name, liveInstances)) {
                    detector.monitor(upstream.name, timers.now());
                    send(upstream.name, upstream.address, createRequest(upstream.name, includesGrants));
                }
            }
        },
        recordClockSample: (server, sample) => samples.set(server, sample),
        lastResponseAt: server => samples.get(server)?.receivedAt,
    };
};
