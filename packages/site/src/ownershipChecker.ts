/** Checks from the histories of the servers that no slot ever had two owners at once. */

/** A time interval in which a server owned a slot, on a clock common to all servers. */
export interface OwnedInterval {
    server: string;
    service: string;
    slot: number;
    token: number;
    /** Wall-clock time in milliseconds since the epoch. */
    from: number;
    until: number;
}

/** Result of an ownership check. */
export interface OwnershipCheckResult {
    /** Number of intervals that overlap an earlier interval of another server for the same slot. */
    overlappingOwners: number;
    /** Descriptions of the first overlaps. */
    examples: string[];
    /** Number of intervals checked. */
    intervals: number;
}

const maxExamples = 5;

/**
 * Finds overlapping ownership of the same slot by different servers.
 *
 * @param intervals - the ownership intervals of all servers
 * @returns the number of overlaps and the first few of them
 */
export const checkOwnership = (intervals: readonly OwnedInterval[]): OwnershipCheckResult => {
    const intervalsBySlot = new Map<string, OwnedInterval[]>();
    for (const interval of intervals) {
        const slotName = `${interval.service}/${interval.slot}`;
        intervalsBySlot.set(slotName, [...intervalsBySlot.get(slotName) ?? [], interval]);
    }
    const examples: string[] = [];
    let overlappingOwners = 0;
    for (const [slotName, slotIntervals] of intervalsBySlot) {
        slotIntervals.sort((left, right) => left.from - right.from);
        slotIntervals.forEach((later, index) => {
            const earlier = slotIntervals.slice(0, index).find(other =>
                other.server !== later.server && other.until > later.from
            );
            if (earlier !== undefined) {
                overlappingOwners += 1;
                examples.push(
                    `${slotName}: ${earlier.server} until ${earlier.until}, ${later.server} from ${later.from}`,
                );
            }
        });
    }
    return { overlappingOwners, examples: examples.slice(0, maxExamples), intervals: intervals.length };
};
