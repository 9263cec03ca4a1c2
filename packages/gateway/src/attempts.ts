/** One attempt of a request at an upstream, and what is learned from it. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as acquisition from "./acquisition";
import type * as exchanges from "./exchange";
import * as headerRules from "./headers";
import type * as serviceLanes from "./serviceLanes";
import type * as tracing from "./tracing";
import type * as upstreamClient from "./upstreamClient";
import * as upstreamState from "./upstreamState";

/** Attempts a request once, in a slot. */
export type AttemptOnce = (
    exchange: exchanges.Exchange,
    lanes: serviceLanes.ServiceLanes,
    slot: acquisition.AcquiredSlot,
) => Promise<upstreamClient.Attempt>;

/** Headers of callers that upstreams do not get. */
const droppedHeaders: readonly string[] = [...foundation.hopByHopHeaders, ...headerRules.internalHeaders, "host"];
const deadlineCheckMilliseconds = 50;
/** Time and share of a pool within which refusals count as common. */
const commonShedMilliseconds = 500;
const commonShedShare = 1 / 3;
/** Targets after which an idempotent request that has no answer is tried elsewhere. */
const impatientTargets = 2;
/** Usual latencies after which it is, where that is longer. */
const impatientLatencies = 4;

/**
 * Creates the way to attempt requests.
 *
 * @param timers - the timer service
 * @param route - tells the owner of a slot
 * @param takeRetry - takes a retry from the budget, if there is one
 * @returns attempts a request once
 */
export const createAttemptOnce = (
    timers: foundation.TimerService,
    route: acquisition.RouteOf,
    takeRetry: () => boolean,
): AttemptOnce => {
    const headersFor = (
        exchange: exchanges.Exchange,
        claim: acquisition.KeyClaim | undefined,
        hop: tracing.Hop,
    ): Record<string, string | string[]> => {
        const headers: Record<string, string | string[]> = {};
        const listed = (exchange.request.headers.connection ?? "").toLowerCase().split(",").map(name => name.trim());
        for (const [name, value] of Object.entries(exchange.request.headers)) {
            if (value !== undefined && !droppedHeaders.includes(name) && !listed.includes(name)) {
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
        hop.inject(headers as Record<string, string>);
        return headers;
    };

    // A deadline bounds the wait for an answer, not a body that is still on its way up.
    const watchAttempt = (
        exchange: exchanges.Exchange,
        lanes: serviceLanes.ServiceLanes,
        slot: acquisition.AcquiredSlot,
        abort: AbortController,
    ): foundation.Subscription => {
        const target = slot.target;
        const startedAt = timers.now();
        const { head } = exchange;
        const impatience = Math.max(
            head.rank.targetMilliseconds * impatientTargets,
            target.latencyMilliseconds * impatientLatencies,
        );
        const mayGoElsewhere = head.isIdempotent && lanes.service.kind === "pool";
        const isImpatient = (): boolean =>
            mayGoElsewhere && exchange.body.isIntact() && timers.now() >= startedAt + impatience && takeRetry();
        return timers.onInterval(deadlineCheckMilliseconds, () => {
            const isSending = !exchange.request.complete;
            const hasMoved = head.isIdempotent && slot.claim !== undefined
                && route(lanes.service, slot.claim.slot)?.server !== target.upstream.name;
            const isOver = !isSending && timers.now() >= exchange.deadlineAt;
            if (isOver || hasMoved) {
                abort.abort();
            }
            else if (!isSending && !exchange.hasPaidRetry && isImpatient()) {
                exchange.hasPaidRetry = true;
                abort.abort();
            }
        });
    };

    const noteAttempt = (
        attempt: upstreamClient.Attempt,
        lanes: serviceLanes.ServiceLanes,
        target: upstreamState.UpstreamState,
        startedAt: number,
    ): void => {
        const now = timers.now();
        const name = target.upstream.name;
        if (attempt.result === traffic.AttemptResult.answered) {
            lanes.ejection.onSuccess(name);
            upstreamState.noteAnswer(target, now - startedAt);
            lanes.onAnswered();
        }
        else if (attempt.result !== traffic.AttemptResult.refused) {
            lanes.ejection.onFailure(name, now);
        }
        else if (attempt.reason === "draining") {
            upstreamState.noteDraining(target, now);
        }
        else if (attempt.reason === "shedding") {
            target.window.onShed(now);
            noteShed(lanes, target, now);
        }
    };

    // Refusals of a few upstreams are their own trouble; refusals of many mean that all instances ask for too much.
    const noteShed = (lanes: serviceLanes.ServiceLanes, target: upstreamState.UpstreamState, now: number): void => {
        target.shedAt = now;
        const shedding = [...lanes.states.values()].filter(state => now - state.shedAt < commonShedMilliseconds);
        if (shedding.length >= lanes.states.size * commonShedShare) {
            lanes.onShed(now);
            return;
        }
        lanes.ejection.onFailure(target.upstream.name, now);
    };

    return async (exchange, lanes, slot) => {
        const target = slot.target;
        const hop = exchange.hop.child("attempt", { upstream: target.upstream.name, rank: exchange.head.rank.name });
        const abort = new AbortController();
        const leave = (): void => abort.abort();
        exchange.caller.signal.addEventListener("abort", leave, { once: true });
        const watch = watchAttempt(exchange, lanes, slot, abort);
        const startedAt = timers.now();
        try {
            const attempt = await target.client.attempt({
                method: exchange.head.method,
                path: exchange.head.path,
                headers: headersFor(exchange, slot.claim, hop),
                body: exchange.body.take(),
                signal: abort.signal,
            });
            noteAttempt(attempt, lanes, target, startedAt);
            hop.end({ result: attempt.result, reason: attempt.reason });
            return attempt;
        }
        finally {
            watch.cancel();
            exchange.caller.signal.removeEventListener("abort", leave);
        }
    };
};
