/** Request bodies: small bodies are buffered so that a retry can send them again, others are streamed. */
import type * as http from "node:http";
import * as stream from "node:stream";
import * as consumers from "node:stream/consumers";

/** The body of a request, to send to an upstream. */
export interface RequestBody {
    /** Bytes buffered in memory. */
    bufferedBytes: number;
    /** Whether the complete body can still be sent; false once a streamed body is opened. */
    isSendable: () => boolean;
    /** Returns the body for an attempt; undefined if the request has no body. */
    open: () => Buffer | stream.Readable | undefined;
}

/** Longer bodies are streamed. */
const maxBufferedBytes = 65_536;

/** Pipes a body to a copy. An early response of the upstream closes the copy and not the caller's connection. */
const createDetachedCopy = (request: http.IncomingMessage): stream.Readable => {
    const copy = new stream.PassThrough();
    const destroyCopy = (): void => {
        if (!request.complete) {
            copy.destroy(new Error("the caller left"));
        }
    };
    request.once("close", destroyCopy);
    copy.once("close", () => request.unpipe(copy).resume());
    request.pipe(copy);
    return copy;
};

/**
 * Prepares the body of a request.
 *
 * @param request - the caller's request
 * @returns the body; rejects if the caller disconnects before a small body is complete
 */
export const prepareBody = async (request: http.IncomingMessage): Promise<RequestBody> => {
    const length = request.headers["content-length"];
    const hasBody = length !== undefined ? Number(length) > 0 : request.headers["transfer-encoding"] !== undefined;
    if (!hasBody) {
        return { bufferedBytes: 0, isSendable: () => true, open: () => undefined };
    }
    if (length !== undefined && Number(length) <= maxBufferedBytes) {
        const bytes = await consumers.buffer(request);
        return { bufferedBytes: bytes.length, isSendable: () => true, open: () => bytes };
    }
    let isOpened = false;
    return {
        bufferedBytes: 0,
        isSendable: () => !isOpened,
        open: () => {
            isOpened = true;
            return createDetachedCopy(request);
        },
    };
};
