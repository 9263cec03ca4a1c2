/** Computes smoothed request rates per slot, from which the busiest slots are reported. */

/** The request rate of one slot. */
export interface SlotLoad {
    service: string;
    slot: number;
    requestsPerSecond: number;
}

/** Counts requests per slot. */
export interface LoadCounter {
    onRequest: (service: string, slot: number) => void;
    /** Updates the rates with the requests counted since the last call. */
    sample: (now: number) => void;
    /** Returns the busiest slots as of the last sample, busiest first. */
    busiestSlots: () => SlotLoad[];
}

const smoothingFactor = 0.5;
const maxReportedSlots = 128;
const minRequestsPerSecond = 0.5;
const millisecondsPerSecond = 1000;

/**
 * Creates a load counter.
 *
 * @param startedAt - start of the first sampling interval, in milliseconds
 * @returns a counter without any requests
 */
export const createLoadCounter = (startedAt: number): LoadCounter => {
    const counts = new Map<string, number>();
    const rates = new Map<string, SlotLoad>();
    let sampledAt = startedAt;
    let busiestSlots: SlotLoad[] = [];

    const updateRate = (slotIdentifier: string, rate: number): void => {
        const separator = slotIdentifier.lastIndexOf("/");
        const previousRate = rates.get(slotIdentifier)?.requestsPerSecond ?? 0;
        const requestsPerSecond = previousRate + (rate - previousRate) * smoothingFactor;
        if (requestsPerSecond < minRequestsPerSecond) {
            rates.delete(slotIdentifier);
            return;
        }
        const service = slotIdentifier.slice(0, separator);
        rates.set(slotIdentifier, { service, slot: Number(slotIdentifier.slice(separator + 1)), requestsPerSecond });
    };

    return {
        onRequest: (service, slot) => {
            const slotIdentifier = `${service}/${slot}`;
            counts.set(slotIdentifier, (counts.get(slotIdentifier) ?? 0) + 1);
        },
        sample: now => {
            const seconds = Math.max(now - sampledAt, 1) / millisecondsPerSecond;
            const slotIdentifiers = new Set([...counts.keys(), ...rates.keys()]);
            slotIdentifiers.forEach(slotIdentifier =>
                updateRate(slotIdentifier, (counts.get(slotIdentifier) ?? 0) / seconds)
            );
            counts.clear();
            sampledAt = now;
            busiestSlots = [...rates.values()]
                .sort((left, right) => right.requestsPerSecond - left.requestsPerSecond)
                .slice(0, maxReportedSlots);
        },
        busiestSlots: () => busiestSlots,
    };
};
