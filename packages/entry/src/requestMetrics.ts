/** Metrics of the requests that have ended. */
import type * as relay from "@mulberryseam/relay";
import * as promClient from "prom-client";

/** Records requests in the metrics of an instance. */
export interface EntryMetrics {
    onRequestFinished: (result: relay.FinishedRequest) => void;
}

/** Bucket bounds of the wait histogram, in seconds: most waits are shorter than the work of a request. */
const waitBuckets = [0.005, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];
/** Bucket bounds of the request duration histogram, in seconds, chosen around the target latencies of the routes. */
const durationBuckets = [0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 3, 6];

/**
 * Adds the metrics of requests.
 *
 * @param registry - the metrics of the instance
 * @returns what records requests in the metrics
 */
export const createRequestMetrics = (registry: promClient.Registry): EntryMetrics => {
    const registers = [registry];
    const requests = new promClient.Counter({
        name: "mulberryseam_requests_total",
        help: "Requests that ended, by route, status and reason; the reason is empty when an upstream answered.",
        labelNames: ["route", "status", "reason"],
        registers,
    });
    const durations = new promClient.Histogram({
        name: "mulberryseam_request_duration_seconds",
        help: "Time from a request's head to its end.",
        labelNames: ["route"],
        buckets: durationBuckets,
        registers,
    });
    const attempts = new promClient.Counter({
        name: "mulberryseam_attempts_total",
        help: "Attempts at upstreams.",
        labelNames: ["route"],
        registers,
    });
    const heldBack = new promClient.Counter({
        name: "mulberryseam_requests_held_back_total",
        help: "Requests that an upstream did not get because it is or may be cold, by route and status.",
        labelNames: ["route", "status"],
        registers,
    });
    const waits = new promClient.Histogram({
        name: "mulberryseam_wait_seconds",
        help: "Time that requests waited in the instance for room, by service and whether they were refused then.",
        labelNames: ["service", "refused"],
        buckets: waitBuckets,
        registers,
    });
    const refusals = new promClient.Counter({
        name: "mulberryseam_refusals_total",
        help: "Requests refused for a lack of room, by route and whether the caller had come back after a refusal.",
        labelNames: ["route", "returned"],
        registers,
    });
    return {
        onRequestFinished: result => {
            const { route, status, reason, durationMilliseconds: milliseconds, attempts: count, waiting } = result;
            requests.inc({ route, status: String(status), reason });
            if (result.wasHeldBack) {
                heldBack.inc({ route, status: String(status) });
            }
            durations.observe({ route }, milliseconds / 1000);
            attempts.inc({ route }, count);
            if (waiting !== undefined) {
                waits.observe(
                    { service: waiting.service, refused: String(waiting.isRefused) },
                    waiting.milliseconds / 1000,
                );
            }
            if (waiting?.isRefused === true) {
                refusals.inc({ route, returned: String(waiting.hasReturned) });
            }
        },
    };
};
