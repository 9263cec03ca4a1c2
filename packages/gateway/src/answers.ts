/** What goes back to a caller: an upstream's answer, or the certain outcome of a request without one. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import type * as http from "node:http";
import * as stream from "node:stream/promises";
import type * as exchanges from "./exchange";
import * as headerRules from "./headers";
import type * as upstreamClient from "./upstreamClient";

const statusOf = { [traffic.Outcome.notRun]: 503, [traffic.Outcome.unknown]: 502 } as const;
const millisecondsPerSecond = 1000;

/**
 * Streams an upstream's answer to the caller.
 *
 * @param exchange - the request
 * @param attempt - the attempt that was answered
 * @param instance - name of this instance
 * @returns why the answer was cut, or undefined when it went out whole
 */
export const relayAnswer = async (
    exchange: exchanges.Exchange,
    attempt: upstreamClient.Attempt,
    instance: string,
): Promise<string | undefined> => {
    const { response, head } = exchange;
    const answer = attempt.answer;
    if (answer === undefined) {
        return undefined;
    }
    const headers: http.OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(answer.headers)) {
        if (value !== undefined && !foundation.hopByHopHeaders.includes(name)) {
            headers[name] = value;
        }
    }
    headers[headerRules.HeaderName.outcome] = traffic.Outcome.answered;
    headers[headerRules.HeaderName.instance] = instance;
    headers[headerRules.HeaderName.requestIdentifier] = head.identifier;
    response.writeHead(answer.statusCode, headers);
    try {
        await stream.pipeline(answer.body, response);
        return undefined;
    }
    catch (error) {
        // The head has gone out, so only a broken connection can tell the caller that the body is not whole.
        response.destroy();
        return (error as Error).message;
    }
};

/**
 * Tells a caller what became of a request without an answer.
 *
 * @param exchange - the request
 * @param refusal - why it got no slot, if it got none
 * @param instance - name of this instance
 */
export const tellOutcome = (
    exchange: exchanges.Exchange,
    refusal: traffic.QueueRefusal | undefined,
    instance: string,
): void => {
    const { response, head } = exchange;
    const outcome = traffic.outcomeOf(exchange.attempts);
    if (response.headersSent || outcome === traffic.Outcome.answered) {
        return;
    }
    const retryAfter = Math.max(1, Math.ceil((refusal?.retryAfterMilliseconds ?? 0) / millisecondsPerSecond));
    const headers: http.OutgoingHttpHeaders = {
        [headerRules.HeaderName.outcome]: outcome,
        [headerRules.HeaderName.reason]: refusal?.reason ?? exchange.reason,
        [headerRules.HeaderName.instance]: instance,
        [headerRules.HeaderName.requestIdentifier]: head.identifier,
        "content-type": "text/plain",
    };
    if (outcome === traffic.Outcome.notRun) {
        headers["retry-after"] = String(retryAfter);
    }
    if (!exchange.request.complete) {
        headers.connection = "close";
    }
    response.writeHead(statusOf[outcome], headers);
    response.end(`${outcome}\n`);
};

/**
 * Refuses a request at the door.
 *
 * @param response - where to answer
 * @param status - the status code
 * @param message - a sentence for the caller
 * @param instance - name of this instance
 */
export const refuseRequest = (
    response: http.ServerResponse,
    status: number,
    message: string,
    instance: string,
): void => {
    response.writeHead(status, {
        [headerRules.HeaderName.outcome]: traffic.Outcome.notRun,
        [headerRules.HeaderName.instance]: instance,
        "content-type": "text/plain",
        "connection": "close",
    });
    response.end(`${message}\n`);
};
