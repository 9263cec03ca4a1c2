/** Acquires concurrency slots for requests from the admission queue of a pool or of the server that owns the key. */
import type * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as admissionQueues from "./admissionQueue";
import type * as exchanges from "./exchange";
import type * as serviceQueues from "./serviceQueues";
import * as slots from "./slots";
import type * as upstreamState from "./upstreamState";

/** Route of the requests for a key slot. */
export interface OwnerRoute {
    server: string;
    token: number;
    /** Whether requests can be sent to the server now. */
    isReady: boolean;
}

/** Returns the route to the owner of a key slot, or undefined while the slot has no owner. */
export type FindRoute = (service: configuration.Service, slot: number) => OwnerRoute | undefined;

/** Key slot and fencing token that a server checks on each request. */
export interface OwnershipClaim {
    slot: number;
    token: number;
}

/** A concurrency slot at an upstream; requests of keyed services also carry an ownership claim. */
export type AcquiredSlot = admissionQueues.ConcurrencySlot<upstreamState.UpstreamState> & {
    claim: OwnershipClaim | undefined;
};

/** Acquires a concurrency slot for a request. */
export type AcquireSlot = (
    exchange: exchanges.Exchange,
    queues: serviceQueues.ServiceQueues,
) => Promise<AcquiredSlot | traffic.QueueRefusal>;

const routePollIntervalMilliseconds = 10;
const noOwnerRetryAfterMilliseconds = 1000;

const slotRequestOf = (exchange: exchanges.Exchange): admissionQueues.SlotRequest => ({
    rank: exchange.head.rank.name,
    deadlineAt: exchange.deadlineAt,
    bytes: exchange.body.bufferedBytes,
    excludedUpstreams: exchange.excludedUpstreams,
    signal: exchange.callerAbort.signal,
});

const acquirePoolSlot = async (
    exchange: exchanges.Exchange,
    queues: serviceQueues.ServiceQueues,
): Promise<AcquiredSlot | traffic.QueueRefusal> => {
    const slot = await queues.poolQueue.acquire(slotRequestOf(exchange));
    return slot.ok ? { ...slot.val, claim: undefined } : slot.val;
};

/**
 * Creates the function that acquires concurrency slots.
 *
 * @param timers - the timer service
 * @param findRoute - returns the route to the owner of a key slot
 * @returns acquires a slot, or returns the reason for the refusal
 */
export const createAcquireSlot = (timers: foundation.TimerService, findRoute: FindRoute): AcquireSlot => {
    // If the owner changes while a request waits, the request moves to the queue of the new owner.
    const acquireOwnerSlot = async (
        exchange: exchanges.Exchange,
        queues: serviceQueues.ServiceQueues,
    ): Promise<AcquiredSlot | traffic.QueueRefusal> => {
        // Uses the document that the queues were created from, because a key's slot depends on the number of slots.
        const keySlot = slots.slotOf(exchange.head.key ?? "", queues.service.keySlots);
        while (timers.now() < exchange.deadlineAt && !exchange.callerAbort.signal.aborted) {
            const initialRoute = findRoute(queues.service, keySlot);
            const queue = initialRoute?.isReady === true ? queues.serverQueue(initialRoute.server) : undefined;
            if (initialRoute === undefined || queue === undefined) {
                await foundation.pause(timers, routePollIntervalMilliseconds);
                continue;
            }
            const slot = await queue.acquire(slotRequestOf(exchange));
            if (slot.err) {
                return slot.val;
            }
            const currentRoute = findRoute(queues.service, keySlot);
            if (currentRoute?.isReady === true && currentRoute.server === initialRoute.server) {
                return { ...slot.val, claim: { slot: keySlot, token: currentRoute.token } };
            }
            slot.val.release(false);
        }
        return { reason: traffic.RefusalReason.deadline, retryAfterMilliseconds: noOwnerRetryAfterMilliseconds };
    };

    return (exchange, queues) =>
        queues.service.kind === "keyed" ? acquireOwnerSlot(exchange, queues) : acquirePoolSlot(exchange, queues);
};
