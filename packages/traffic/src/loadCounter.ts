/** Counts requests by slot, smoothed, so that the busiest can be reported. */

/** Work of one slot. */
export interface CountedLoad {
    service: string;
    slot: number;
    requestsPerSecond: number;
}

/** Counts requests by slot. */
export interface LoadCounter {
    onRequest: (service: string, slot: number) => void;
    /** Folds the counts since the last call into the rates. */
    sample: (now: number) => void;
    /** The busiest slots. */
    busiest: () => CountedLoad[];
}

const smoothing = 0.5;
const reportedSlots = 128;
const leastRate = 0.5;
const millisecondsPerSecond = 1000;

/**
 * Creates a counter.
 *
 * @param startedAt - the instant from which it counts
 * @returns a counter without requests
 */
export const createLoadCounter = (startedAt: number): LoadCounter => {
    const counts = new Map<string, number>();
    const rates = new Map<string, CountedLoad>();
    let sampledAt = startedAt;
    let report: CountedLoad[] = [];

    const addRate = (name: string, rate: number): void => {
        const separator = name.lastIndexOf("/");
        const before = rates.get(name)?.requestsPerSecond ?? 0;
        const requestsPerSecond = before + (rate - before) * smoothing;
        if (requestsPerSecond < leastRate) {
            rates.delete(name);
            return;
        }
        const service = name.slice(0, separator);
        rates.set(name, { service, slot: Number(name.slice(separator + 1)), requestsPerSecond });
    };

    return {
        onRequest: (service, slot) => {
            const name = `${service}/${slot}`;
            counts.set(name, (counts.get(name) ?? 0) + 1);
        },
        sample: now => {
            const seconds = Math.max(now - sampledAt, 1) / millisecondsPerSecond;
            const names = new Set([...counts.keys(), ...rates.keys()]);
            names.forEach(name => addRate(name, (counts.get(name) ?? 0) / seconds));
            counts.clear();
            sampledAt = now;
            report = [...rates.values()]
                .sort((left, right) => right.requestsPerSecond - left.requestsPerSecond)
                .slice(0, reportedSlots);
        },
        busiest: () => report,
    };
};
