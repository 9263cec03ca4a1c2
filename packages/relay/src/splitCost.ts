/** What a request of a split route would cost at a keyed service: bytes between regions are paid for. */
import type * as assignment from "@mulberryseam/assignment";
import type * as upstreamPool from "./upstreamPool";

/** What the cost depends on. */
export interface SplitCostOptions {
    pool: upstreamPool.UpstreamPool;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
}

/** Bytes between regions from which a request is as dear as one can be. */
const dearBytes = 64 * 1024;

/**
 * Creates the cost.
 *
 * @param options - what it depends on
 * @returns gives the cost, from 0 to 1, of sending a number of bytes to and from the owner of a key
 */
export const createSplitCost = (
    { pool, findOwner }: SplitCostOptions,
) =>
(service: string, key: number | undefined, bytes: number): number => {
    const route = key === undefined ? undefined : findOwner(service, key);
    const target = route === undefined ? undefined : pool.find(route.owner.identifier, route.owner.startedAt);
    return target !== undefined && pool.isRemote(target) ? Math.min(1, bytes / dearBytes) : 0;
};
