/** Responses whose end their receiver can tell, whatever its version of HTTP. */
import type * as http from "node:http";

/**
 * Sends a whole response with its length: Node.js would delimit one to HTTP/1.0 by the end of the connection, where a response that is cut
 * off looks the same.
 *
 * @param response - the response to write
 * @param status - the status code
 * @param headers - further headers
 * @param text - the body
 */
export const sendWhole = (
    response: http.ServerResponse,
    status: number,
    headers: http.OutgoingHttpHeaders,
    text: string,
): void => {
    const body = Buffer.from(text);
    response.writeHead(status, { ...headers, "content-length": body.length });
    response.end(body);
};
