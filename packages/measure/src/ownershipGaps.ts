/** Periods in which a slot had no owner, computed from the servers' ownership histories. */
import * as site from "@mulberryseam/site";

/**
 * Measures how long each slot of a lost server had no other owner.
 *
 * @param intervals - the ownership histories of all servers
 * @param server - the server that was lost
 * @param lostAt - the time of the loss on the histories' clock, in milliseconds
 * @returns the gap in milliseconds for each slot that the server owned at that time; `Infinity` if no owner followed
 */
export const measureGaps = (intervals: readonly site.OwnedInterval[], server: string, lostAt: number): number[] => {
    const ownedIntervals = intervals
        .filter(entry => entry.server === server && entry.from <= lostAt && entry.until > lostAt);
    return ownedIntervals.map(({ service, slot }) => {
        const nextOwnershipStarts = intervals
            .filter(entry =>
                entry.service === service && entry.slot === slot && entry.server !== server && entry.until > lostAt
            )
            .map(entry => Math.max(entry.from, lostAt));
        return nextOwnershipStarts.length === 0 ? Infinity : Math.min(...nextOwnershipStarts) - lostAt;
    });
};

/** Effects of a server's kill on the ownership of slots. */
export interface KillResult {
    /** The time without an owner in milliseconds, for each slot that the server owned. */
    gaps: number[];
    overlappingOwners: number;
}

/**
 * Measures the effects of a server's kill. The server's history was read before the kill, so its intervals may end too
 * early to show which slots the server owned when it was killed. They also include leases that outlast the server, under
 * which it owns nothing after the kill.
 *
 * @param intervals - the ownership histories of all servers
 * @param server - the server that was killed
 * @param killedAt - the time of the kill on the histories' clock, in milliseconds
 * @returns the gaps and the number of overlapping owners
 */
export const measureKill = (
    intervals: readonly site.OwnedInterval[],
    server: string,
    killedAt: number,
): KillResult => {
    const withEndTime = (getEndTime: (entry: site.OwnedInterval) => number): site.OwnedInterval[] =>
        intervals.map(entry => entry.server === server ? { ...entry, until: getEndTime(entry) } : entry);
    return {
        gaps: measureGaps(withEndTime(() => Infinity), server, killedAt),
        overlappingOwners: site.checkOwnership(withEndTime(entry => Math.min(entry.until, killedAt))).overlappingOwners,
    };
};
