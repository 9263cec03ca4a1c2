/** Sends one attempt of a request to an upstream and records its result in the upstream's state. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as exchanges from "./exchange";
import * as headerRules from "./headers";
import type * as serviceQueues from "./serviceQueues";
import type * as slotAcquisition from "./slotAcquisition";
import type * as tracing from "./tracing";
import type * as upstreamClient from "./upstreamClient";
import * as upstreamState from "./upstreamState";

/** Sends a request once to the upstream of an acquired slot. */
export type SendAttempt = (
    exchange: exchanges.Exchange,
    queues: serviceQueues.ServiceQueues,
    slot: slotAcquisition.AcquiredSlot,
) => Promise<upstreamClient.Attempt>;

/** Request headers that are not forwarded to upstreams. */
const strippedHeaders: readonly string[] = [...foundation.hopByHopHeaders, ...headerRules.internalHeaders, "host"];
const deadlineCheckIntervalMilliseconds = 50;
/**
 * If at least this fraction of a pool's upstreams shed load within this window, the whole pool counts as overloaded.
 */
const poolShedWindowMilliseconds = 500;
const poolShedFraction = 1 / 3;
/** Multiple of the rank's target after which an idempotent request without a response is retried elsewhere. */
const timeoutTargetFactor = 2;
/** Multiple of the upstream's smoothed latency that applies instead if it is longer. */
const timeoutLatencyFactor = 4;

/**
 * Creates the function that sends attempts.
 *
 * @param timers - the timer service
 * @param findRoute - returns the route to the owner of a key slot
 * @param chargeRetry - charges one retry to the retry budget; returns false when the budget is exhausted
 * @returns sends one attempt; a failed attempt is returned as a result, not thrown
 */
export const createSendAttempt = (
    timers: foundation.TimerService,
    findRoute: slotAcquisition.FindRoute,
    chargeRetry: () => boolean,
): SendAttempt => {
    const headersFor = (
        exchange: exchanges.Exchange,
        claim: slotAcquisition.OwnershipClaim | undefined,
        span: tracing.Span,
    ): Record<string, string | string[]> => {
        const headers: Record<string, string | string[]> = {};
        const connectionOptions = (exchange.request.headers.connection ?? "").toLowerCase().split(",").map(name =>
            name.trim()
        );
        for (const [name, value] of Object.entries(exchange.request.headers)) {
            if (value !== undefined && !strippedHeaders.includes(name) && !connectionOptions.includes(name)) {
                headers[name] = value;
            }
        }
        headers[headerRules.HeaderName.service] = exchange.head.service.name;
        headers[headerRules.HeaderName.rank] = exchange.head.rank.name;
        headers[headerRules.HeaderName.requestIdentifier] = exchange.head.identifier;
        headers[headerRules.HeaderName.deadline] = String(Math.max(1, Math.floor(exchange.deadlineAt - timers.now())));
        if (claim !== undefined) {
            headers[headerRules.HeaderName.slot] = String(claim.slot);
            headers[headerRules.HeaderName.token] = String(claim.token);
        }
        span.inject(headers as Record<string, string>);
        return headers;
    };

    // The deadline limits the wait for a response, not the upload of a request body.
    const monitorAttempt = (
        exchange: exchanges.Exchange,
        queues: serviceQueues.ServiceQueues,
        slot: slotAcquisition.AcquiredSlot,
        abortController: AbortController,
    ): foundation.Subscription => {
        const target = slot.target;
        const startedAt = timers.now();
        const { head } = exchange;
        const timeoutMilliseconds = Math.max(
            head.rank.targetMilliseconds * timeoutTargetFactor,
            target.latencyMilliseconds * timeoutLatencyFactor,
        );
        const canUseOtherUpstream = head.isIdempotent && queues.service.kind === "pool";
        const chargeTimeoutRetry = (): boolean =>
            canUseOtherUpstream && exchange.body.isSendable() && timers.now() >= startedAt + timeoutMilliseconds
            && chargeRetry();
        return timers.onInterval(deadlineCheckIntervalMilliseconds, () => {
            const isUploading = !exchange.request.complete;
            const hasOwnerChanged = head.isIdempotent && slot.claim !== undefined
                && findRoute(queues.service, slot.claim.slot)?.server !== target.upstream.name;
            const isDeadlineExceeded = !isUploading && timers.now() >= exchange.deadlineAt;
            if (isDeadlineExceeded || hasOwnerChanged) {
                abortController.abort();
            }
            else if (!isUploading && !exchange.isRetryCharged && chargeTimeoutRetry()) {
                exchange.isRetryCharged = true;
                abortController.abort();
            }
        });
    };

    const recordAttempt = (
        attempt: upstreamClient.Attempt,
        queues: serviceQueues.ServiceQueues,
        target: upstreamState.UpstreamState,
        startedAt: number,
    ): void => {
        const now = timers.now();
        const name = target.upstream.name;
        if (attempt.result === traffic.AttemptResult.answered) {
            queues.ejection.onSuccess(name);
            upstreamState.recordResponse(target, now - startedAt);
            queues.onResponse();
        }
        else if (attempt.result !== traffic.AttemptResult.refused) {
            queues.ejection.onFailure(name, now);
        }
        else if (attempt.reason === "draining") {
            upstreamState.recordDraining(target, now);
        }
        else if (attempt.reason === "shedding") {
            target.window.onShed(now);
            recordShed(queues, target, now);
        }
    };

    // Load shedding by a few upstreams counts as their failure. Shedding by many means that the instances together send
    // too many requests, so the pool's window shrinks instead.
    const recordShed = (
        queues: serviceQueues.ServiceQueues,
        target: upstreamState.UpstreamState,
        now: number,
    ): void => {
        target.lastShedAt = now;
        const sheddingUpstreams = [...queues.upstreamStates.values()].filter(state =>
            now - state.lastShedAt < poolShedWindowMilliseconds
        );
        if (sheddingUpstreams.length >= queues.upstreamStates.size * poolShedFraction) {
            queues.onShed(now);
            return;
        }
        queues.ejection.onFailure(target.upstream.name, now);
    };

    return async (exchange, queues, slot) => {
        const target = slot.target;
        const span = exchange.span.startChild("attempt", {
            upstream: target.upstream.name,
            rank: exchange.head.rank.name,
        });
        const abortController = new AbortController();
        const onCallerAbort = (): void => abortController.abort();
        exchange.callerAbort.signal.addEventListener("abort", onCallerAbort, { once: true });
        const monitoring = monitorAttempt(exchange, queues, slot, abortController);
        const startedAt = timers.now();
        try {
            const attempt = await target.client.attempt({
                method: exchange.head.method,
                path: exchange.head.path,
                headers: headersFor(exchange, slot.claim, span),
                body: exchange.body.open(),
                signal: abortController.signal,
            });
            recordAttempt(attempt, queues, target, startedAt);
            span.end({ result: attempt.result, reason: attempt.reason });
            return attempt;
        }
        finally {
            monitoring.cancel();
            exchange.callerAbort.signal.removeEventListener("abort", onCallerAbort);
        }
    };
};
