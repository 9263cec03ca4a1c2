/** Collects what an instance sees of keyed services, for the leader. */
import type * as protocol from "@mulberryseam/protocol";

/** What was seen since the last report. */
export interface KeyDemand {
    onRequest: (service: string, key: number) => void;
    takeReport: (speeds: [string, number][]) => protocol.FollowerReport;
}

/** Keys in one report; a busier instance reports every second, third … request with its weight. */
const highestSamples = 512;

interface Samples {
    keys: number[];
    stride: number;
    seen: number;
}

/**
 * Creates an empty collection.
 *
 * @returns the collection
 */
export const createKeyDemand = (): KeyDemand => {
    const byService = new Map<string, Samples>();
    return {
        onRequest: (service, key) => {
            const samples = byService.get(service) ?? { keys: [], stride: 1, seen: 0 };
            byService.set(service, samples);
            samples.seen += 1;
            if (samples.seen % samples.stride !== 0) {
                return;
            }
            samples.keys.push(key);
            if (samples.keys.length >= highestSamples) {
                samples.keys = samples.keys.filter((kept, index) => kept >= 0 && index % 2 === 0);
                samples.stride *= 2;
            }
        },
        takeReport: speeds => {
            const samples = [...byService].map(([service, { keys, stride }]) => ({ service, keys, weight: stride }));
            byService.clear();
            return { kind: "report", samples, speeds };
        },
    };
};
