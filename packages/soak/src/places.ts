/** Where the upstreams of a run are. Instances are in the first failure domain. */

/** Region of each failure domain. */
export const regions: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south" };

/** The region that restricted routes allow. */
export const restrictedRegion = "south";

const failureDomains = Object.keys(regions);

/**
 * Returns a failure domain that may be evacuated; the first one is not, so that upstreams of each service are left.
 *
 * @param index - selects it
 */
export const evacuableDomain = (index: number): string => failureDomains[1 + index % (failureDomains.length - 1)];

/**
 * Returns the failure domain of an upstream.
 *
 * @param name - its name, which ends with its number
 * @returns the failure domain; consecutive upstreams of a service are in different ones
 */
export const failureDomainOf = (name: string): string => {
    const number = Number(/-(\d+)$/.exec(name)?.[1] ?? 1);
    return failureDomains[(number - 1) % failureDomains.length];
};

/**
 * Returns the region of an upstream.
 *
 * @param name - its name, which ends with its number
 */
export const regionOf = (name: string): string => regions[failureDomainOf(name)];
