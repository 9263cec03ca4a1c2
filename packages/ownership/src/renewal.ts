/** Messages of grants to servers: who sends them, when, and what they say. */
import * as ledger from "@mulberryseam/ledger";
import type * as coordinatorContext from "./coordinatorContext";
import type * as grantLedger from "./grantLedger";
import * as lease from "./lease";
import * as renewers from "./renewers";

/** What a server is told by one message. */
export interface Renewal {
    /** Session that the grants are for; undefined in a mere probe. */
    session: ledger.ServerIdentifier | undefined;
    /** Run of the server's process that the grants are for. */
    incarnation: string | undefined;
    /** Instant on the server's clock at which these grants end. */
    expiresAt: number | undefined;
    slots: readonly grantLedger.GrantedSlot[];
    /** Slots to give up, with the tokens they were held under. */
    release: readonly grantLedger.GrantedSlot[];
}

/** What a server answers. */
export interface ServerReply {
    incarnation: string;
    /** The server's monotonic clock, in milliseconds. */
    clock: number;
    isDraining: boolean;
    /** Slots that it held under the given tokens and gave up. */
    released: readonly grantLedger.GrantedSlot[];
}

/** Renews the leases of servers. */
export interface ServerRenewal {
    /** Tells whether this instance renews a server. */
    renews: (server: string) => boolean;
    /** Sends to every server that this instance renews, or to those chosen; without grants when unconfirmed. */
    renew: (mayGrant: boolean, isChosen?: (server: string) => boolean) => void;
    /** Takes a reading of a server's clock. */
    takeSample: (server: string, sample: lease.ClockSample) => void;
    /** When a server last answered this instance. */
    answeredAt: (server: string) => number | undefined;
}

const renewerCount = 3;
const probe: Renewal = {
    session: undefined,
    incarnation: undefined,
    expiresAt: undefined,
    slots: [],
    release: [],
};

/**
 * Creates the renewal of servers.
 *
 * @param context - state of the instance
 * @param send - sends to a server by name and address
 * @returns the renewal
 */
export const createServerRenewal = (
    context: coordinatorContext.CoordinatorContext,
    send: (server: string, address: string, renewal: Renewal) => void,
): ServerRenewal => {
    const { timers, grants, detector } = context;
    const samples = new Map<string, lease.ClockSample>();

    const isRenewer = (server: string, live: readonly ledger.Member[]): boolean =>
        renewers.chooseRenewers(server, live, renewerCount).includes(context.identifier);

    const renewalOf = (server: string, mayGrant: boolean): Renewal => {
        const registration = context.registrationOf(server);
        const sample = samples.get(server);
        const confirmedAt = grants.confirmedAt();
        if (registration === undefined || !mayGrant || sample === undefined || confirmedAt === undefined) {
            return probe;
        }
        const session = ledger.serverIdentifier(registration);
        const isEnded = registration.status === ledger.ServerStatus.lost
            || context.knowledge().lapses.includes(session);
        if (isEnded) {
            return probe;
        }
        return {
            session,
            incarnation: registration.incarnation,
            expiresAt: lease.leaseExpiry(sample, confirmedAt, context.lease().durationMilliseconds),
            slots: grants.dueFor(session, timers.now()),
            release: grants.toRelease(session),
        };
    };

    return {
        renews: server => isRenewer(server, context.liveInstances()),
        renew: (mayGrant, isChosen) => {
            const live = context.liveInstances();
            for (const upstream of context.keyedUpstreams()) {
                const isWanted = isChosen === undefined || isChosen(upstream.name);
                if (isWanted && isRenewer(upstream.name, live)) {
                    detector.watch(upstream.name, timers.now());
                    send(upstream.name, upstream.address, renewalOf(upstream.name, mayGrant));
                }
            }
        },
        takeSample: (server, sample) => samples.set(server, sample),
        answeredAt: server => samples.get(server)?.receivedAt,
    };
};
