/** How a request gets a slot: in the lane of its pool, or in the lane of the one owner of its key. */
import type * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as exchanges from "./exchange";
import type * as laneQueue from "./lane";
import type * as serviceLanes from "./serviceLanes";
import * as slots from "./slots";
import type * as upstreamState from "./upstreamState";

/** Where the requests of a slot go. */
export interface OwnerRoute {
    server: string;
    token: number;
    /** Whether the server may be sent requests now. */
    isReady: boolean;
}

/** Tells the owner of a slot. */
export type RouteOf = (service: configuration.Service, slot: number) => OwnerRoute | undefined;

/** What a server of keys wants to see of a request. */
export interface KeyClaim {
    slot: number;
    token: number;
}

/** A slot at an upstream, with the claim on a key where the upstream is a server of keys. */
export type AcquiredSlot = laneQueue.Slot<upstreamState.UpstreamState> & { claim: KeyClaim | undefined; };

/** Gets slots for requests. */
export type Acquire = (
    exchange: exchanges.Exchange,
    lanes: serviceLanes.ServiceLanes,
) => Promise<AcquiredSlot | traffic.QueueRefusal>;

const routePollMilliseconds = 10;
const noOwnerRetryMilliseconds = 1000;

const laneRequestOf = (exchange: exchanges.Exchange): laneQueue.LaneRequest => ({
    rank: exchange.head.rank.name,
    deadlineAt: exchange.deadlineAt,
    bytes: exchange.body.heldBytes,
    excluded: exchange.excluded,
    signal: exchange.caller.signal,
});

const acquirePool = async (
    exchange: exchanges.Exchange,
    lanes: serviceLanes.ServiceLanes,
): Promise<AcquiredSlot | traffic.QueueRefusal> => {
    const slot = await lanes.pool.acquire(laneRequestOf(exchange));
    return slot.ok ? { ...slot.val, claim: undefined } : slot.val;
};

/**
 * Creates the way to a slot.
 *
 * @param timers - the timer service
 * @param route - tells the owner of a slot
 * @returns gets a slot, or the reason why there is none
 */
export const createAcquire = (timers: foundation.TimerService, route: RouteOf): Acquire => {
    // The owner may change while a request waits; it then goes to the lane of the new owner.
    const acquireOwner = async (
        exchange: exchanges.Exchange,
        lanes: serviceLanes.ServiceLanes,
    ): Promise<AcquiredSlot | traffic.QueueRefusal> => {
        // By the document that the lanes were made from: a key's slot changes with the number of slots.
        const slotNumber = slots.slotOf(exchange.head.key ?? "", lanes.service.keySlots);
        while (timers.now() < exchange.deadlineAt && !exchange.caller.signal.aborted) {
            const before = route(lanes.service, slotNumber);
            const lane = before?.isReady === true ? lanes.server(before.server) : undefined;
            if (before === undefined || lane === undefined) {
                await foundation.pause(timers, routePollMilliseconds);
                continue;
            }
            const slot = await lane.acquire(laneRequestOf(exchange));
            if (slot.err) {
                return slot.val;
            }
            const current = route(lanes.service, slotNumber);
            if (current?.isReady === true && current.server === before.server) {
                return { ...slot.val, claim: { slot: slotNumber, token: current.token } };
            }
            slot.val.release(false);
        }
        return { reason: traffic.RefusalReason.deadline, retryAfterMilliseconds: noOwnerRetryMilliseconds };
    };

    return (exchange, lanes) =>
        lanes.service.kind === "keyed" ? acquireOwner(exchange, lanes) : acquirePool(exchange, lanes);
};
