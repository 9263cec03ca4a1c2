/** Times in which slots had no server that could serve them, from the servers' own histories. */
import * as site from "@mulberryseam/site";

/**
 * Finds how long each slot of a lost server was without one.
 *
 * @param intervals - histories of all servers
 * @param server - the server that was lost
 * @param lostAt - when, on the clock of the histories
 * @returns milliseconds for each slot that the server owned when it was lost
 */
export const findGaps = (intervals: readonly site.OwnedInterval[], server: string, lostAt: number): number[] => {
    const slots = intervals
        .filter(entry => entry.server === server && entry.from <= lostAt && entry.until > lostAt)
        .map(entry => entry.slot);
    return slots.map(slot => {
        const next = intervals
            .filter(entry => entry.slot === slot && entry.server !== server && entry.until > lostAt)
            .map(entry => Math.max(entry.from, lostAt));
        return next.length === 0 ? Infinity : Math.min(...next) - lostAt;
    });
};

/** What the loss of a killed server came to. */
export interface KillJudgement {
    /** Milliseconds without an owner, for each slot that the server owned. */
    gaps: number[];
    overlappingOwners: number;
}

/**
 * Judges the loss of a server that was killed. Its history was read before, so it ends too early for finding what it owned,
 * and holds leases that outlast the server, which own nothing.
 *
 * @param intervals - histories of all servers
 * @param server - the server that was killed
 * @param killedAt - when, on the clock of the histories
 * @returns the judgement
 */
export const judgeKill = (
    intervals: readonly site.OwnedInterval[],
    server: string,
    killedAt: number,
): KillJudgement => {
    const endAt = (until: (entry: site.OwnedInterval) => number): site.OwnedInterval[] =>
        intervals.map(entry => entry.server === server ? { ...entry, until: until(entry) } : entry);
    return {
        gaps: findGaps(endAt(() => Infinity), server, killedAt),
        overlappingOwners: site.checkOwnership(endAt(entry => Math.min(entry.until, killedAt))).overlappingOwners,
    };
};
