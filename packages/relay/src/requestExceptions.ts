/** Ends requests whose handling has thrown, so that none remains without a response. */
import * as foundation from "@mulberryseam/foundation";
import * as platform from "@mulberryseam/platform";
import type * as http from "node:http";
import * as delegatedRequest from "./delegatedRequest";
import * as requestState from "./requestState";
import type * as responders from "./responder";
import * as selection from "./selection";

/** Dependencies of the handling of exceptions. */
export interface RequestExceptionsOptions {
    failures: foundation.FailureBoundary;
    responder: responders.Responder;
}

/** Ends requests whose handling has thrown. */
export interface RequestExceptions {
    /** Ends a request in progress. It may have run if an attempt was started, whatever became of it. */
    end: (state: requestState.RequestState, error: unknown) => void;
    /** Ends a request that has thrown on its arrival, before any attempt: it has not run. */
    refuse: (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        isDelegated: boolean,
        error: unknown,
    ) => void;
}

const reason = requestState.FailureReason.internalError;

/**
 * Creates the handling of exceptions.
 *
 * @param options - what records exceptions, and the responder
 * @returns the functions that end requests
 */
export const createRequestExceptions = ({ failures, responder }: RequestExceptionsOptions): RequestExceptions => {
    const failureHeaders = (isDelegated: boolean, requestIdentifier: string | undefined): string[] =>
        isDelegated ? delegatedRequest.failureHeaders(requestIdentifier, reason) : [];
    return {
        end: (state, error) => {
            const { response, currentAttempt } = state;
            failures.report("request", error, {
                request: state.requestIdentifier,
                route: state.route.name,
                tried: [...state.triedUpstreams].join(","),
            });
            state.mayHaveRun ||= state.attemptCount > 0 || state.delegate !== undefined;
            try {
                if (!state.isFinished) {
                    responder.fail(state, reason, selection.defaultRetryAfterMilliseconds);
                }
                else if (!response.headersSent) {
                    responder.reply(response, 502, failureHeaders(state.isDelegated, state.requestIdentifier), reason);
                }
                else if (!response.writableEnded) {
                    // The response stays incomplete.
                    foundation.resetConnection(response.socket ?? undefined);
                }
            }
            catch (responseError) {
                failures.report("response", responseError, { request: state.requestIdentifier });
                foundation.resetConnection(response.socket ?? undefined);
            }
            finally {
                currentAttempt?.cancel(reason);
            }
        },
        refuse: (request, response, isDelegated, error) => {
            failures.report("request", error, {
                request: String(request.headers[platform.HeaderName.requestIdentifier]),
                host: request.headers.host,
                path: request.url?.split("?")[0],
            });
            request.resume();
            responder.refuse(response, failureHeaders(isDelegated, requestState.identifierOf(request)), reason);
        },
    };
};
