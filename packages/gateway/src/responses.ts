/** Responses to callers: the response of an upstream, or the outcome of a request that received none. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as http from "node:http";
import * as stream from "node:stream/promises";
import type * as exchanges from "./exchange";
import * as headerRules from "./headers";
import type * as upstreamClient from "./upstreamClient";

const statusByOutcome = { [traffic.Outcome.notRun]: 503, [traffic.Outcome.unknown]: 502 } as const;
const millisecondsPerSecond = 1000;

/**
 * Streams an upstream's response to the caller.
 *
 * @param exchange - the request
 * @param attempt - the attempt that received the response
 * @param instance - name of this instance
 * @returns the error that interrupted the response, or undefined if it was sent completely
 */
export const relayResponse = async (
    exchange: exchanges.Exchange,
    attempt: upstreamClient.Attempt,
    instance: string,
): Promise<string | undefined> => {
    const { response, head } = exchange;
    const upstreamResponse = attempt.response;
    if (upstreamResponse === undefined) {
        return undefined;
    }
    const headers: http.OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(upstreamResponse.headers)) {
        if (value !== undefined && !foundation.hopByHopHeaders.includes(name)) {
            headers[name] = value;
        }
    }
    headers[headerRules.HeaderName.outcome] = traffic.Outcome.answered;
    headers[headerRules.HeaderName.instance] = instance;
    headers[headerRules.HeaderName.requestIdentifier] = head.identifier;
    response.writeHead(upstreamResponse.statusCode, headers);
    try {
        await stream.pipeline(upstreamResponse.body, response);
        return undefined;
    }
    catch (error) {
        // The head is already sent, so only a broken connection can signal that the body is incomplete.
        response.destroy();
        return (error as Error).message;
    }
};

/**
 * Sends the outcome of a request that received no response from an upstream.
 *
 * @param exchange - the request
 * @param refusal - the reason if the request acquired no slot
 * @param instance - name of this instance
 */
export const sendOutcome = (
    exchange: exchanges.Exchange,
    refusal: traffic.QueueRefusal | undefined,
    instance: string,
): void => {
    const { response, head } = exchange;
    const outcome = traffic.outcomeOf(exchange.results);
    if (response.headersSent || outcome === traffic.Outcome.answered) {
        return;
    }
    const retryAfterSeconds = Math.max(1, Math.ceil((refusal?.retryAfterMilliseconds ?? 0) / millisecondsPerSecond));
    const headers: http.OutgoingHttpHeaders = {
        [headerRules.HeaderName.outcome]: outcome,
        [headerRules.HeaderName.reason]: refusal?.reason ?? exchange.failureReason,
        [headerRules.HeaderName.instance]: instance,
        [headerRules.HeaderName.requestIdentifier]: head.identifier,
        "content-type": "text/plain",
    };
    if (outcome === traffic.Outcome.notRun) {
        headers["retry-after"] = String(retryAfterSeconds);
    }
    if (!exchange.request.complete) {
        headers.connection = "close";
    }
    foundation.sendWhole(response, statusByOutcome[outcome], headers, `${outcome}\n`);
};

/**
 * Rejects a request before admission.
 *
 * @param response - the response to send
 * @param status - HTTP status code
 * @param message - explanation for the caller, sent as the body
 * @param instance - name of this instance
 */
export const rejectRequest = (
    response: http.ServerResponse,
    status: number,
    message: string,
    instance: string,
): void => {
    const headers: http.OutgoingHttpHeaders = {
        [headerRules.HeaderName.outcome]: traffic.Outcome.notRun,
        [headerRules.HeaderName.instance]: instance,
        "content-type": "text/plain",
        "connection": "close",
    };
    foundation.sendWhole(response, status, headers, `${message}\n`);
};
