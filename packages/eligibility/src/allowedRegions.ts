/** Restricts routes, and the keys of their services, to regions. */

/** The regions that a route allows; undefined if it allows all of them. */
export type AllowedRegions = readonly string[] | undefined;

/**
 * Whether a route allows a region.
 *
 * @param region - the region; undefined if it is unknown
 * @param allowedRegions - the regions that the route allows
 * @returns whether requests of the route may reach the region; false for an unknown region of a restricted route
 */
export const isRegionAllowed = (region: string | undefined, allowedRegions: AllowedRegions): boolean =>
    allowedRegions === undefined || (region !== undefined && allowedRegions.includes(region));
