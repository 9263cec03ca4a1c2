/** What this instance knows of one upstream from its own requests. */
import type * as configuration from "@mulberryseam/configuration";
import * as traffic from "@mulberryseam/traffic";
import * as upstreamClient from "./upstreamClient";

/** One upstream as seen from here. */
export interface UpstreamState {
    upstream: configuration.Upstream;
    region: string;
    client: upstreamClient.UpstreamClient;
    window: traffic.AdaptiveWindow;
    outstanding: number;
    latencyMilliseconds: number;
    /** Until when the upstream gets nothing new because it said that it drains. */
    drainingUntil: number;
    drainingNotices: number;
    /** When the upstream last refused for want of capacity. */
    shedAt: number;
}

/** What bounds the use of an upstream. */
export interface UpstreamLimits {
    concurrency: number;
    connections: number;
    /** Instances that share the upstream. */
    instances: number;
}

const latencySmoothing = 0.2;
const initialLatencyMilliseconds = 5;
const firstDrainPauseMilliseconds = 2000;
const longestDrainPauseMilliseconds = 60_000;

/**
 * Creates the state of an upstream not used yet. It starts at its fair share, at least one request.
 *
 * @param upstream - the upstream
 * @param region - its region
 * @param limits - what bounds its use
 * @returns the state
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
        Math.max(limits.concurrency, Math.floor(limits.connections / limits.instances)),
    ),
    window: traffic.createAdaptiveWindow({
        fairShare: limits.concurrency / limits.instances,
        maxLimit: limits.concurrency,
    }),
    outstanding: 0,
    latencyMilliseconds: initialLatencyMilliseconds,
    drainingUntil: -Infinity,
    drainingNotices: 0,
    shedAt: -Infinity,
});

/**
 * Notes an answer.
 *
 * @param state - the upstream that answered
 * @param milliseconds - time to the head of the answer
 */
export const noteAnswer = (state: UpstreamState, milliseconds: number): void => {
    state.latencyMilliseconds += (milliseconds - state.latencyMilliseconds) * latencySmoothing;
    state.window.onResponse(state.outstanding);
    state.drainingNotices = 0;
};

/**
 * Notes that an upstream drains. Each notice doubles the time until it is asked again.
 *
 * @param state - the upstream
 * @param now - the current instant
 */
export const noteDraining = (state: UpstreamState, now: number): void => {
    const pause = firstDrainPauseMilliseconds * 2 ** state.drainingNotices;
    state.drainingUntil = now + Math.min(pause, longestDrainPauseMilliseconds);
    state.drainingNotices += 1;
};
