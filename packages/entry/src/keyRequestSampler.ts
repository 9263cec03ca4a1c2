/** Samples the keys requested at an instance and reports them to the leader. */
import type * as protocol from "@mulberryseam/protocol";

/** Keys requested since the last report. */
export interface KeyRequestSampler {
    onRequest: (service: string, key: number) => void;
    /** Returns a report of the sampled keys and starts a new sampling period. */
    collectReport: (serviceTimes: [string, number][]) => protocol.FollowerReport;
}

/**
 * Maximum number of keys in a report. A busier instance keeps only every second, fourth, … request and reports the
 * interval as the weight.
 */
const maxSamples = 512;

interface Samples {
    keys: number[];
    stride: number;
    requestCount: number;
}

/**
 * Creates a sampler without samples.
 *
 * @returns the sampler
 */
export const createKeyRequestSampler = (): KeyRequestSampler => {
    const byService = new Map<string, Samples>();
    return {
        onRequest: (service, key) => {
            const samples = byService.get(service) ?? { keys: [], stride: 1, requestCount: 0 };
            byService.set(service, samples);
            samples.requestCount += 1;
            if (samples.requestCount % samples.stride !== 0) {
                return;
            }
            samples.keys.push(key);
            if (samples.keys.length >= maxSamples) {
                samples.keys = samples.keys.filter((sample, index) => sample >= 0 && index % 2 === 0);
                samples.stride *= 2;
            }
        },
        collectReport: serviceTimes => {
            const samples = [...byService].map(([service, { keys, stride }]) => ({ service, keys, weight: stride }));
            byService.clear();
            return { kind: "report", samples, speeds: serviceTimes };
        },
    };
};
