/** Headers of HTTP that concern one connection. */

/** Headers that belong to one connection and are never passed on. */
export const connectionHeaders: readonly string[] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];
