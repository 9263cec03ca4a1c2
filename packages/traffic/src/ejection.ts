/** Takes upstreams that fail out of the choice for a while, never more than a share of them at a time. */

/** Keeps which upstreams are ejected. */
export interface Ejection {
    onSuccess: (upstream: string) => void;
    onFailure: (upstream: string, now: number) => void;
    isEjected: (upstream: string, now: number) => boolean;
    /** Names the upstreams there are, for the cap. */
    setUpstreams: (upstreams: readonly string[]) => void;
}

interface UpstreamRecord {
    consecutiveFailures: number;
    ejections: number;
    ejectedUntil: number;
}

const failuresToEject = 3;
const baseEjectionMilliseconds = 1000;
const longestEjectionMilliseconds = 20_000;
const highestEjectedShare = 0.5;

/**
 * Creates the ejection of one pool.
 *
 * @returns with no upstream ejected
 */
export const createEjection = (): Ejection => {
    const records = new Map<string, UpstreamRecord>();
    let count = 0;

    const recordOf = (upstream: string): UpstreamRecord => {
        const record = records.get(upstream) ?? { consecutiveFailures: 0, ejections: 0, ejectedUntil: -Infinity };
        records.set(upstream, record);
        return record;
    };

    const ejectedCount = (now: number): number =>
        [...records.values()].filter(record => record.ejectedUntil > now).length;

    return {
        onSuccess: upstream => {
            const record = recordOf(upstream);
            record.consecutiveFailures = 0;
            record.ejections = Math.max(0, record.ejections - 1);
        },
        onFailure: (upstream, now) => {
            const record = recordOf(upstream);
            record.consecutiveFailures += 1;
            const mayEject = ejectedCount(now) + 1 <= count * highestEjectedShare;
            if (record.consecutiveFailures >= failuresToEject && record.ejectedUntil <= now && mayEject) {
                const duration = baseEjectionMilliseconds * 2 ** record.ejections;
                record.ejectedUntil = now + Math.min(duration, longestEjectionMilliseconds);
                record.ejections += 1;
                // One failure after the ejection is enough to eject again.
                record.consecutiveFailures = failuresToEject - 1;
            }
        },
        isEjected: (upstream, now) => (records.get(upstream)?.ejectedUntil ?? -Infinity) > now,
        setUpstreams: upstreams => {
            count = upstreams.length;
            [...records.keys()].filter(name => !upstreams.includes(name)).forEach(name => records.delete(name));
        },
    };
};
