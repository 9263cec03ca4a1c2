/** Logs that requests for a service have been refused for a lack of room for some time: one event at intervals, however many are refused. */
import type * as foundation from "@mulberryseam/foundation";

/** Configures the log of insufficient capacity. */
export interface CapacityPressureOptions {
    timers: foundation.TimerService;
    log: foundation.EventLog;
    /** Number of waiting requests of each service. */
    waitingCounts: () => ReadonlyMap<string, number>;
}

/** Sustained lack of room, by service. */
export interface CapacityPressure {
    onRefusal: (service: string) => void;
}

/** Time for which refusals have to go on until they are logged, and between two such events, in milliseconds. */
const sustainedMilliseconds = 2000;
const eventIntervalMilliseconds = 10_000;
/** Time without a refusal after which the pressure has ended, in milliseconds. */
const endMilliseconds = 1000;

interface Pressure {
    since: number;
    lastRefusalAt: number;
    loggedAt: number;
    refusals: number;
}

/**
 * Creates the log of insufficient capacity.
 *
 * @param options - clock, log and the waiting requests
 * @returns the log, before any refusal
 */
export const createCapacityPressure = (options: CapacityPressureOptions): CapacityPressure => {
    const { timers, log } = options;
    const pressures = new Map<string, Pressure>();
    return {
        onRefusal: service => {
            const now = timers.now();
            const known = pressures.get(service);
            const pressure = known === undefined || now - known.lastRefusalAt > endMilliseconds
                ? { since: now, lastRefusalAt: now, loggedAt: known?.loggedAt ?? -Infinity, refusals: 0 }
                : known;
            pressure.refusals += 1;
            pressure.lastRefusalAt = now;
            pressures.set(service, pressure);
            const isSustained = now - pressure.since >= sustainedMilliseconds;
            if (isSustained && now - pressure.loggedAt >= eventIntervalMilliseconds) {
                pressure.loggedAt = now;
                log.write("capacity-insufficient", {
                    service,
                    milliseconds: Math.round(now - pressure.since),
                    refusals: pressure.refusals,
                    waiting: options.waitingCounts().get(service) ?? 0,
                });
            }
        },
    };
};
