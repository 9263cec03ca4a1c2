/** Cost of sending a request of a split route to a keyed service: traffic between regions is billed. */
import type * as assignment from "@mulberryseam/assignment";
import type * as upstreamPool from "./upstreamPool";

/** Configures the estimator of split costs. */
export interface SplitCostOptions {
    pool: upstreamPool.UpstreamPool;
    findOwner: (service: string, key: number) => assignment.KeyRoute | undefined;
}

/** Bytes between regions at which a request reaches the maximum cost of 1. */
const maxCostBytes = 64 * 1024;

/**
 * Creates an estimator of split costs.
 *
 * @param options - the upstreams and the owners of keys
 * @returns a function that returns the cost, from 0 to 1, of exchanging a number of bytes with the owner of a key
 */
export const createSplitCostEstimator = (
    { pool, findOwner }: SplitCostOptions,
) =>
(service: string, key: number | undefined, bytes: number): number => {
    const route = key === undefined ? undefined : findOwner(service, key);
    const target = route === undefined ? undefined : pool.find(route.owner.identifier, route.owner.startedAt);
    return target !== undefined && pool.isRemote(target) ? Math.min(1, bytes / maxCostBytes) : 0;
};
