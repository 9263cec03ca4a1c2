/** What an instance observes of the upstreams of each service together: of one of them, it sees too little. */
import * as machineSlowness from "./machineSlowness";
import * as serviceTime from "./serviceTime";

/** Observations by service. */
export interface ServiceObservations {
    slownessAverage: (service: string) => machineSlowness.SlownessAverage;
    tail: (service: string) => serviceTime.ServiceTail;
    /** Whether requests of a service are known to take unequal times, or its machines to differ in slowness. */
    isUneven: (service: string) => boolean;
    /** Returns the average slowness of the machines, in percent, of each service whose upstreams report it. */
    averageSlowness: () => [string, number][];
    /** Returns, for each service whose service times are known to have a tail, the multiple within which nearly every response comes. */
    tailFactors: () => [string, number][];
}

/**
 * Creates the observations of an instance, of which there are none yet.
 *
 * @returns the observations
 */
export const createServiceObservations = (): ServiceObservations => {
    const averages = new Map<string, machineSlowness.SlownessAverage>();
    const tails = new Map<string, serviceTime.ServiceTail>();
    const slownessAverage = (service: string): machineSlowness.SlownessAverage => {
        const average = averages.get(service) ?? machineSlowness.createSlownessAverage();
        averages.set(service, average);
        return average;
    };
    const tailOf = (service: string): serviceTime.ServiceTail => {
        const tail = tails.get(service) ?? serviceTime.createServiceTail();
        tails.set(service, tail);
        return tail;
    };
    return {
        slownessAverage,
        tail: tailOf,
        isUneven: service => tailOf(service).hasTail() || slownessAverage(service).percent() !== undefined,
        averageSlowness: () =>
            [...averages].flatMap(([service, average]): [string, number][] => {
                const percent = average.percent();
                return percent === undefined ? [] : [[service, percent]];
            }),
        tailFactors: () =>
            [...tails].flatMap(([service, tail]): [string, number][] =>
                tail.hasTail() ? [[service, tail.limitFactor()]] : []
            ),
    };
};
