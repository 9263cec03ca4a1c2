/**
 * Decides how a response is framed for its receiver, a caller or another instance. None is delimited by the end of its connection: that
 * is the same for a complete response and for one that is cut off, as when this process is killed.
 */
import type * as http from "node:http";
import type * as attemptResult from "./attemptResult";

/**
 * Whether a response has no body, whatever its headers say.
 *
 * @param method - the method of the request
 * @param status - the status of the response
 * @returns whether the head is the whole response
 */
export const hasNoBody = (method: string | undefined, status: number): boolean =>
    method === "HEAD" || status === 204 || status === 304;

/** Whether the sender of a request can decode a body in chunks. */
const acceptsChunks = ({ httpVersionMajor, httpVersionMinor }: http.IncomingMessage): boolean =>
    httpVersionMajor > 1 || (httpVersionMajor === 1 && httpVersionMinor >= 1);

/**
 * Returns the headers that frame a response: its length if that is known, and chunks otherwise.
 *
 * @param request - the request of the receiver
 * @param response - the response of an upstream
 * @returns alternating names and values, or undefined if the receiver could not tell a complete response from one that is cut off
 */
export const framingHeaders = (
    request: http.IncomingMessage,
    { status, body, declaredLength, rest }: attemptResult.UpstreamResponse,
): string[] | undefined => {
    if (hasNoBody(request.method, status)) {
        return [];
    }
    if (rest === undefined) {
        return ["Content-Length", String(body.length)];
    }
    if (declaredLength !== undefined) {
        return ["Content-Length", declaredLength];
    }
    return acceptsChunks(request) ? ["Transfer-Encoding", "chunked"] : undefined;
};
