/** Judges from the servers' own histories whether a slot ever had two owners. */

/** A time during which a server owned a slot, on a clock common to all. */
export interface OwnedInterval {
    server: string;
    service: string;
    slot: number;
    token: number;
    from: number;
    until: number;
}

/** What was found. */
export interface OwnershipJudgement {
    /** Pairs of intervals of different servers that overlap. */
    overlappingOwners: number;
    examples: string[];
    intervals: number;
}

const keptExamples = 5;

/**
 * Looks for overlaps.
 *
 * @param intervals - histories of all servers
 * @returns what was found
 */
export const judgeOwnership = (intervals: readonly OwnedInterval[]): OwnershipJudgement => {
    const bySlot = new Map<string, OwnedInterval[]>();
    for (const interval of intervals) {
        const name = `${interval.service}/${interval.slot}`;
        bySlot.set(name, [...bySlot.get(name) ?? [], interval]);
    }
    const examples: string[] = [];
    let overlappingOwners = 0;
    for (const [name, owned] of bySlot) {
        owned.sort((left, right) => left.from - right.from);
        owned.forEach((later, index) => {
            const earlier = owned.slice(0, index).find(other =>
                other.server !== later.server && other.until > later.from
            );
            if (earlier !== undefined) {
                overlappingOwners += 1;
                examples.push(`${name}: ${earlier.server} until ${earlier.until}, ${later.server} from ${later.from}`);
            }
        });
    }
    return { overlappingOwners, examples: examples.slice(0, keptExamples), intervals: intervals.length };
};
