/** Whether the parts of a message, as the parser accepts them, can be sent on: it accepts more than may be sent. */
import * as http from "node:http";

/** Characters that cannot be in the target of a request. */
const invalidTargetPattern = /[^\u0021-\u00ff]/;

/**
 * Returns whether headers can be forwarded.
 *
 * @param rawHeaders - alternating names and values
 * @returns false if a name is no token or a value contains control characters
 */
export const areHeadersValid = (rawHeaders: readonly string[]): boolean => {
    try {
        for (let index = 0; index < rawHeaders.length; index += 2) {
            http.validateHeaderName(rawHeaders[index]);
            http.validateHeaderValue(rawHeaders[index], rawHeaders[index + 1]);
        }
        return true;
    }
    catch {
        return false;
    }
};

/**
 * Returns whether a request can be forwarded.
 *
 * @param request - a request as the parser accepted it
 * @returns false if its target or a header is malformed
 */
export const isRequestValid = ({ url = "", rawHeaders }: http.IncomingMessage): boolean =>
    url !== "" && !invalidTargetPattern.test(url) && areHeadersValid(rawHeaders);
