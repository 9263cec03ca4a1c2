/** Selects the headers that are forwarded. */
import * as foundation from "@mulberryseam/foundation";

/** Headers that are never forwarded: hop-by-hop headers, and the length because the framing is generated anew. */
const excludedHeaders: ReadonlySet<string> = new Set([...foundation.hopByHopHeaders, "content-length"]);

/**
 * Returns the headers without hop-by-hop headers, the length and further excluded ones.
 *
 * @param rawHeaders - alternating names and values
 * @param excludedNames - further names to exclude, in lower case
 * @returns alternating names and values
 */
export const forwardedHeaders = (rawHeaders: readonly string[], excludedNames: readonly string[]): string[] => {
    const connectionHeaders = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index].toLowerCase() === "connection") {
            rawHeaders[index + 1].split(",").forEach(name => connectionHeaders.add(name.trim().toLowerCase()));
        }
    }
    const forwarded: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        if (!excludedHeaders.has(name) && !connectionHeaders.has(name) && !excludedNames.includes(name)) {
            forwarded.push(rawHeaders[index], rawHeaders[index + 1]);
        }
    }
    return forwarded;
};
