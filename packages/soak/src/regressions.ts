/** Seeds that violated a guarantee in the past, with the cause; rerun by `npm run soak -- --regressions`. */
export const regressions: readonly { seed: number; cause: string; }[] = [
    {
        seed: 15,
        cause:
            "A second SIGTERM terminated an instance during shutdown and interrupted its requests in flight: only the first was handled.",
    },
    {
        seed: 20_028,
        cause:
            "An upstream sent a signed response without end, which was streamed until the caller's own deadline, past the route's timeout.",
    },
    {
        seed: 101,
        cause:
            "Header names with a space, from a caller or an upstream, and a keep-alive timeout beyond any number ended the process.",
    },
    {
        seed: 102,
        cause:
            "An upstream that refused connections, or an odd registry entry at its address, lost its keys to another while it held them.",
    },
    {
        seed: 103,
        cause:
            "An upstream that announced in its responses that it was leaving received requests after the drain time; a caller's malformed header ended the process.",
    },
    {
        seed: 50_032,
        cause:
            "The check went by the method, and took the second run of a POST on a route that is safe to repeat for a fault.",
    },
    {
        seed: 71_009,
        cause:
            "The link between an instance and an upstream took a reset that arrived together with data for a regular end, and passed that on: a part of an answer looked whole.",
    },
];
