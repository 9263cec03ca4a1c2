/** Hop-by-hop headers of HTTP. */

/** Lower-case names of the headers that apply to a single connection and are never forwarded. */
export const hopByHopHeaders: readonly string[] = [
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
