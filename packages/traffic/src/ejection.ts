/** Ejects failing upstreams from load balancing for a limited time, and never more than half of them at once. */

/** Tracks failures and ejections of the upstreams of one pool. */
export interface Ejection {
    onSuccess: (upstream: string) => void;
    onFailure: (upstream: string, now: number) => void;
    isEjected: (upstream: string, now: number) => boolean;
    /** Sets the upstreams of the pool, whose number limits the ejections, and drops the records of all others. */
    setUpstreams: (upstreams: readonly string[]) => void;
}

interface FailureRecord {
    consecutiveFailures: number;
    backoffExponent: number;
    ejectedUntil: number;
}

const failureThreshold = 3;
const baseEjectionMilliseconds = 1000;
const maxEjectionMilliseconds = 20_000;
const maxEjectedRatio = 0.5;

/**
 * Creates the ejection policy of one pool.
 *
 * @returns a policy with no upstream ejected
 */
export const createEjection = (): Ejection => {
    const records = new Map<string, FailureRecord>();
    let upstreamCount = 0;

    const recordOf = (upstream: string): FailureRecord => {
        const record = records.get(upstream) ?? { consecutiveFailures: 0, backoffExponent: 0, ejectedUntil: -Infinity };
        records.set(upstream, record);
        return record;
    };

    const ejectedCount = (now: number): number =>
        [...records.values()].filter(record => record.ejectedUntil > now).length;

    return {
        onSuccess: upstream => {
            const record = recordOf(upstream);
            record.consecutiveFailures = 0;
            record.backoffExponent = Math.max(0, record.backoffExponent - 1);
        },
        onFailure: (upstream, now) => {
            const record = recordOf(upstream);
            record.consecutiveFailures += 1;
            const canEject = ejectedCount(now) + 1 <= upstreamCount * maxEjectedRatio;
            if (record.consecutiveFailures >= failureThreshold && record.ejectedUntil <= now && canEject) {
                const durationMilliseconds = baseEjectionMilliseconds * 2 ** record.backoffExponent;
                record.ejectedUntil = now + Math.min(durationMilliseconds, maxEjectionMilliseconds);
                record.backoffExponent += 1;
                // A single failure after the ejection ejects the upstream again.
                record.consecutiveFailures = failureThreshold - 1;
            }
        },
        isEjected: (upstream, now) => (records.get(upstream)?.ejectedUntil ?? -Infinity) > now,
        setUpstreams: upstreams => {
            upstreamCount = upstreams.length;
            [...records.keys()].filter(name => !upstreams.includes(name)).forEach(name => records.delete(name));
        },
    };
};
