/**
 * Detects that an upstream will not respond to a request. Some upstreams neither run nor refuse a request for which they have no
 * room, and ignore all that follows on its connection.
 */

/** What is known of a request and its upstream; times in milliseconds. */
export interface SilenceInput {
    /** Time by which the upstream has started to work on the request if it accepted it; Infinity if unknown. */
    latestStartAt: number;
    /** Smoothed service time of the upstream, including the round trip. */
    serviceMilliseconds: number;
    /** Smoothed deviation of its service times. */
    deviationMilliseconds: number;
    /** Number of this attempt of the request, from 1. */
    attempt: number;
    /** Whether upstreams of the service refuse requests for which they have no room, so that silence is unlikely. */
    isRefusing: boolean;
    /**
     * Multiple of the service time within which nearly every response of the service comes; undefined if silence is more likely than
     * such a response.
     */
    tailFactor?: number;
    /** Latest time at which a further attempt can be expected to end before the deadline; Infinity by default. */
    latestRetryAt?: number;
}

/** Deviations beyond the mean that hardly any response takes. */
const maxDeviations = 6;
/** Lower bound of the factor on the service time. */
const minServiceFactor = 3;
/** Factor on the time that a response of a refusing upstream may take: it is rather slow than silent. */
const refusingFactor = 3;

/**
 * Returns the time within which a response comes unless it is one of the tail.
 *
 * @param serviceMilliseconds - smoothed service time of the upstream
 * @param deviationMilliseconds - smoothed deviation of its service times
 * @returns the time in milliseconds
 */
export const usualResponseMilliseconds = (serviceMilliseconds: number, deviationMilliseconds: number): number =>
    Math.max(serviceMilliseconds * minServiceFactor, serviceMilliseconds + deviationMilliseconds * maxDeviations);

/**
 * Returns until when a response can be expected. Each further attempt waits twice as long for the response, so that an
 * upstream that has become slow can finish. A response of the tail is waited for while a further attempt would still have the
 * time that it needs.
 *
 * @param input - the request and its upstream
 * @returns the time in milliseconds; Infinity if unknown
 */
export const latestResponseAt = (input: SilenceInput): number => {
    const { serviceMilliseconds, deviationMilliseconds, latestStartAt } = input;
    const serviceLimit = usualResponseMilliseconds(serviceMilliseconds, deviationMilliseconds);
    const patience = 2 ** (input.attempt - 1);
    const usualUntil = latestStartAt + serviceLimit * (input.isRefusing ? refusingFactor : 1) * patience;
    const tailUntil = latestStartAt + serviceMilliseconds * (input.tailFactor ?? 0) * patience;
    return Math.max(usualUntil, Math.min(tailUntil, input.latestRetryAt ?? Infinity));
};
