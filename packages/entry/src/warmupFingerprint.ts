/** Tells which registry entries begin, extend or end the cold period of an upstream, without counting every heartbeat as a change. */
import type * as routing from "@mulberryseam/routing";

/** The cold periods of upstreams, as their registry entries state them. */
export interface ColdPeriods {
    /** Returns the same number for entries of the same cold period; 0 while the upstream is warm. */
    observe: (upstream: routing.Upstream, now: number) => number;
    /** Forgets an upstream whose entry has been removed. */
    forget: (identifier: string) => void;
}

interface ColdPeriod {
    startedAt: number;
    endsAt: number;
    /** Number of the period, above those of all earlier ones. */
    number: number;
}

/**
 * Difference between two ends up to which they count as one, in milliseconds. An entry is received up to one read of the leader and
 * one way from the store after it was written, which delays the end that it seems to state by a varying time.
 */
const endToleranceMilliseconds = 700;

/**
 * Creates cold periods of no upstreams.
 *
 * @returns the cold periods
 */
export const createColdPeriods = (): ColdPeriods => {
    const periods = new Map<string, ColdPeriod>();
    let lastNumber = 0;
    return {
        observe: ({ identifier, startedAt, warmupMilliseconds }, now) => {
            if (warmupMilliseconds === 0) {
                periods.delete(identifier);
                return 0;
            }
            const known = periods.get(identifier);
            const endsAt = now + warmupMilliseconds;
            if (known?.startedAt === startedAt && endsAt <= known.endsAt + endToleranceMilliseconds) {
                return known.number;
            }
            lastNumber += 1;
            periods.set(identifier, { startedAt, endsAt, number: lastNumber });
            return lastNumber;
        },
        forget: identifier => periods.delete(identifier),
    };
};
