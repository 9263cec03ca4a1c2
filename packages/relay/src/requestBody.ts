/** Reads request bodies. Small ones are buffered so that they can be sent again; large ones are streamed. */
import type * as http from "node:http";

/** A request body. */
export type RequestBody =
    | { kind: "whole"; bytes: Buffer; }
    /** The first bytes, and the request to read the rest from. */
    | { kind: "streamed"; start: Buffer; rest: http.IncomingMessage; }
    | { kind: "tooLarge"; }
    /** The caller disconnected, or its body is malformed. */
    | { kind: "broken"; };

/** Largest body that is buffered, in bytes: many requests of this size fit into an instance's memory. */
const maxBufferedBytes = 512 * 1024;

/**
 * Reads the body of a request.
 *
 * @param request - the caller's request
 * @param maxBytes - size of the largest body that is accepted, in bytes
 * @returns the body; never rejects
 */
export const readBody = (request: http.IncomingMessage, maxBytes: number): Promise<RequestBody> =>
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
            else if (size > maxBufferedBytes) {
                request.pause();
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
