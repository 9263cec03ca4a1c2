/** State of one upstream, measured by this instance from its own requests. */
import type * as configuration from "@mulberryseam/configuration";
import * as traffic from "@mulberryseam/traffic";
import * as upstreamClient from "./upstreamClient";

/** An upstream with its client, limits and measured state. */
export interface UpstreamState {
    upstream: configuration.Upstream;
    region: string;
    client: upstreamClient.UpstreamClient;
    window: traffic.AdaptiveWindow;
    /** Number of this instance's requests that hold a slot at the upstream. */
    outstanding: number;
    /** Smoothed time to the response head. */
    latencyMilliseconds: number;
    /** Time until which the upstream receives no new requests because it reported that it is draining. */
    drainingUntil: number;
    /** Consecutive draining refusals without a response in between. */
    drainingNotices: number;
    /** Time at which the upstream last shed load. */
    lastShedAt: number;
}

/** Limits on the use of an upstream. */
export interface UpstreamLimits {
    concurrency: number;
    connections: number;
    /** Number of instances that share the upstream. */
    instanceCount: number;
}

const latencySmoothing = 0.2;
const initialLatencyMilliseconds = 5;
const initialDrainBackoffMilliseconds = 2000;
const maxDrainBackoffMilliseconds = 60_000;

/**
 * Creates the state of an unused upstream. Its window starts at this instance's fair share, at least one request.
 *
 * @param upstream - the upstream
 * @param region - name of the upstream's region
 * @param limits - limits shared by all instances
 * @returns the initial state
 */
export const createUpstreamState = (
    upstream: configuration.Upstream,
    region: string,
    limits: UpstreamLimits,
): UpstreamState => ({
    upstream,
    region,
    client: upstreamClient.createUpstreamClient(
        upstream.address,
        Math.max(limits.concurrency, Math.floor(limits.connections / limits.instanceCount)),
    ),
    window: traffic.createAdaptiveWindow({
        fairShare: limits.concurrency / limits.instanceCount,
        maxLimit: limits.concurrency,
    }),
    outstanding: 0,
    latencyMilliseconds: initialLatencyMilliseconds,
    drainingUntil: -Infinity,
    drainingNotices: 0,
    lastShedAt: -Infinity,
});

/**
 * Records a response.
 *
 * @param state - the upstream that responded
 * @param measuredMilliseconds - time to the response head
 */
export const recordResponse = (state: UpstreamState, measuredMilliseconds: number): void => {
    state.latencyMilliseconds += (measuredMilliseconds - state.latencyMilliseconds) * latencySmoothing;
    state.window.onResponse(state.outstanding);
    state.drainingNotices = 0;
};

/**
 * Records that an upstream is draining. Each consecutive notice doubles the time until the next request is sent to it.
 *
 * @param state - the upstream
 * @param now - the current time in milliseconds
 */
export const recordDraining = (state: UpstreamState, now: number): void => {
    const backoff = initialDrainBackoffMilliseconds * 2 ** state.drainingNotices;
    state.drainingUntil = now + Math.min(backoff, maxDrainBackoffMilliseconds);
    state.drainingNotices += 1;
};
