/** Reads a caller's body: whole when it is small, so that it can be sent again, else as it comes. */
import type * as http from "node:http";

/** A body. */
export type RequestBody =
    | { kind: "whole"; bytes: Buffer; }
    /** The first bytes, and the rest still to be read. */
    | { kind: "streamed"; start: Buffer; rest: http.IncomingMessage; }
    | { kind: "tooLarge"; }
    /** The caller left, or what it sent is not a body. */
    | { kind: "broken"; };

/** Bytes up to which a body is held: many requests of this size fit an instance's memory. */
const wholeBytes = 512 * 1024;

/**
 * Reads a body.
 *
 * @param request - the caller's request
 * @param limitBytes - the largest body that callers may send
 * @returns the body
 */
export const readBody = (request: http.IncomingMessage, limitBytes: number): Promise<RequestBody> =>
    new Promise(resolve => {
        const declared = Number(request.headers["content-length"] ?? 0);
        if (declared > limitBytes) {
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
            if (size > limitBytes) {
                finish({ kind: "tooLarge" });
            }
            else if (size > wholeBytes) {
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
