/** Bodies of callers' requests: small ones are held so that they can be sent again, others are streamed. */
import type * as http from "node:http";
import * as stream from "node:stream";
import * as consumers from "node:stream/consumers";

/** A body to send. */
export interface RequestBody {
    /** Bytes held in memory. */
    heldBytes: number;
    /** Whether the body can be sent in whole, perhaps once more. */
    isIntact: () => boolean;
    /** The body for an attempt. */
    take: () => Buffer | stream.Readable | undefined;
}

/** The longest body that is held, in bytes. */
const longestHeldBytes = 65_536;

/** Passes a body on such that an upstream's early answer ends the copy, not the caller's connection. */
const detach = (request: http.IncomingMessage): stream.Readable => {
    const copy = new stream.PassThrough();
    const breakCopy = (): void => {
        if (!request.complete) {
            copy.destroy(new Error("the caller left"));
        }
    };
    request.once("close", breakCopy);
    copy.once("close", () => request.unpipe(copy).resume());
    request.pipe(copy);
    return copy;
};

/**
 * Prepares the body of a request.
 *
 * @param request - the caller's request
 * @returns the body; rejects when the caller leaves before a small body is whole
 */
export const prepareBody = async (request: http.IncomingMessage): Promise<RequestBody> => {
    const length = request.headers["content-length"];
    const hasBody = length !== undefined ? Number(length) > 0 : request.headers["transfer-encoding"] !== undefined;
    if (!hasBody) {
        return { heldBytes: 0, isIntact: () => true, take: () => undefined };
    }
    if (length !== undefined && Number(length) <= longestHeldBytes) {
        const bytes = await consumers.buffer(request);
        return { heldBytes: bytes.length, isIntact: () => true, take: () => bytes };
    }
    let isTaken = false;
    return {
        heldBytes: 0,
        isIntact: () => !isTaken,
        take: () => {
            isTaken = true;
            return detach(request);
        },
    };
};
