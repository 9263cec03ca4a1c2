/** Which headers are passed on. */
import * as foundation from "@mulberryseam/foundation";

/** Framing is written anew, so the length is not passed on either. */
const notPassedOn: ReadonlySet<string> = new Set([...foundation.hopByHopHeaders, "content-length"]);

/**
 * Leaves out the headers that concern one connection, and others.
 *
 * @param rawHeaders - names and values in turn
 * @param leftOut - further names, lower case
 * @returns names and values in turn
 */
export const passedOn = (rawHeaders: readonly string[], leftOut: readonly string[]): string[] => {
    const named = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index].toLowerCase() === "connection") {
            rawHeaders[index + 1].split(",").forEach(name => named.add(name.trim().toLowerCase()));
        }
    }
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        if (!notPassedOn.has(name) && !named.has(name) && !leftOut.includes(name)) {
            kept.push(rawHeaders[index], rawHeaders[index + 1]);
        }
    }
    return kept;
};
