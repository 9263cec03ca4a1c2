/** Reads the bodies of requests before they are served. */
import * as scheduling from "@mulberryseam/scheduling";
import * as eventLoopDelay from "./eventLoopDelay";
import * as requestBody from "./requestBody";
import type * as requestServing from "./requestServing";
import * as requestState from "./requestState";
import type * as responders from "./responder";
import * as selection from "./selection";

/** Configures how requests are served once their bodies are read. */
export interface BodyServingOptions {
    responder: responders.Responder;
    serving: requestServing.RequestServing;
}

/** Reads the body of a request, then serves it; a request with a `refusal` is refused. */
export type BodyServing = (
    state: requestState.RequestState,
    maxBodyBytes: number,
    refusal: requestState.FailureReasonValue | undefined,
) => Promise<void>;

/**
 * Creates a function that reads the body of a request, then serves it.
 *
 * @param options - how requests are served and refused
 * @returns the function
 */
export const createBodyServing =
    ({ responder, serving }: BodyServingOptions): BodyServing => async (state, maxBodyBytes, refusal) => {
        const { request, response } = state;
        if (refusal !== undefined) {
            // What has arrived of the body is parsed by then, so that it is known whether the request was read whole.
            await eventLoopDelay.waitForPendingReads();
            responder.fail(state, refusal, selection.defaultRetryAfterMilliseconds);
            return;
        }
        const body = await requestBody.readBody(request, maxBodyBytes, state.reservation);
        if (state.isFinished) {
            return;
        }
        if (body.kind === "tooLarge") {
            state.isFinished = true;
            responder.recordOutcome(state, 413, requestState.FailureReason.bodyTooLarge);
            responder.reply(response, 413, ["Connection", "close"], requestState.FailureReason.bodyTooLarge);
            return;
        }
        if (body.kind === "noMemory") {
            responder.fail(state, requestState.FailureReason.noMemory, selection.defaultRetryAfterMilliseconds);
            return;
        }
        if (body.kind === "broken") {
            response.destroy();
            return;
        }
        if (!state.isDelegated) {
            await eventLoopDelay.waitForPendingReads();
        }
        if (state.isFinished || request.socket.destroyed || request.socket.readableEnded) {
            return;
        }
        const declaredBytes = request.headers["content-length"];
        state.bodyBytes = body.kind === "whole"
            ? body.bytes.length
            : Number(declaredBytes ?? scheduling.largestUploadBytes);
        state.estimatedBytes += body.kind === "whole"
            ? body.bytes.length
            : Number(request.headers["content-length"] ?? 0);
        await serving.serve(state, body);
    };
