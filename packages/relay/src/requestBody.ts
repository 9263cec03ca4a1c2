/** Reads request bodies. Small ones are buffered so that they can be sent again; large ones are streamed. */
import type * as foundation from "@mulberryseam/foundation";
import type * as http from "node:http";
import * as byteBudget from "./byteBudget";

/** A request body. */
export type RequestBody =
    | { kind: "whole"; bytes: Buffer; }
    /** The first bytes, and the request to read the rest from. */
    | { kind: "streamed"; start: Buffer; rest: http.IncomingMessage; }
    | { kind: "tooLarge"; }
    /** The instance has no memory for the rest of the body. */
    | { kind: "noMemory"; }
    /** The caller disconnected, or its body is malformed. */
    | { kind: "broken"; };

/** Largest body that is buffered, in bytes: many requests of this size fit into an instance's memory. */
const maxBufferedBytes = 512 * 1024;

/** Time in which the rest of a body has to arrive once its request has a response, in milliseconds. */
const maxDiscardMilliseconds = 10_000;

/**
 * Reads the rest of a body that nothing needs any more. Otherwise the caller could not send its next request on the connection, and a
 * connection that is closed with unread bytes is reset, so that the response before it may be lost.
 *
 * @param request - the caller's request
 */
export const discardRest = (request: http.IncomingMessage): void => {
    request.unpipe();
    request.resume();
};

/**
 * Discards the rest of a body behind the response to its request, and closes the connection if it does not end.
 *
 * @param request - the caller's request
 * @param timers - the clock of the limit
 */
export const discardRestBehindResponse = (request: http.IncomingMessage, timers: foundation.TimerService): void => {
    if (request.complete) {
        return;
    }
    const { socket } = request;
    const timeout = timers.onDelay(maxDiscardMilliseconds, () => socket.destroy());
    request.once("end", () => timeout.cancel());
    socket.once("close", () => timeout.cancel());
    discardRest(request);
};

/**
 * Reads the body of a request.
 *
 * @param request - the caller's request
 * @param maxBytes - size of the largest body that is accepted, in bytes
 * @param reservation - bytes that may be buffered; a body for which there are no more is streamed
 * @returns the body; never rejects
 */
export const readBody = (
    request: http.IncomingMessage,
    maxBytes: number,
    reservation: byteBudget.ByteReservation,
): Promise<RequestBody> =>
    new Promise(resolve => {
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        if (declaredBytes > maxBytes) {
            resolve({ kind: "tooLarge" });
            return;
        }
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (body: RequestBody): void => {
            request.off("data", onData);
            request.off("end", onEnd);
            request.off("close", onBroken);
            request.off("error", onBroken);
            resolve(body);
        };
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            size += chunk.length;
            if (size > maxBytes) {
                finish({ kind: "tooLarge" });
            }
            else if (
                size > byteBudget.unreservedBytes && (size > maxBufferedBytes || !reservation.tryReserve(chunk.length))
            ) {
                request.pause();
                if (!reservation.tryReserveStream()) {
                    finish({ kind: "noMemory" });
                    return;
                }
                finish({ kind: "streamed", start: Buffer.concat(chunks), rest: request });
            }
        };
        const onEnd = (): void => finish({ kind: "whole", bytes: Buffer.concat(chunks) });
        const onBroken = (): void => finish({ kind: "broken" });
        request.on("data", onData);
        request.on("end", onEnd);
        request.on("close", onBroken);
        request.on("error", onBroken);
    });
