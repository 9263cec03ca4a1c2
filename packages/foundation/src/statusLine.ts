/** Checks the protocol of the responses on a connection, as parsers accept status lines of other protocols than HTTP. */
import type * as http from "node:http";

/** Follows the bytes of one response and the interim responses before it. */
export interface StatusLineCheck {
    /** Adds received bytes; anything behind the head of the final response is ignored. */
    add: (bytes: Uint8Array) => void;
    /** Whether every status line so far is one of HTTP/1.0 or HTTP/1.1, as far as it has arrived. */
    isValid: () => boolean;
}

const Part = { version: "version", status: "status", head: "head", rest: "rest" } as const;

type PartValue = typeof Part[keyof typeof Part];

/** The characters that each position of a version may have. */
const version: readonly string[] = [..."HTTP/1.", "01", " "];
const statusLength = 3;
const headEnd = "\r\n\r\n";
const carriageReturn = 13;
const lineFeed = 10;

/**
 * Creates a check that has received nothing.
 *
 * @returns the check
 */
export const createStatusLineCheck = (): StatusLineCheck => {
    let part: PartValue = Part.version;
    let position = 0;
    let status = "";
    let isValid = true;
    const enter = (next: PartValue): void => {
        part = next;
        position = 0;
    };
    const handlers: Record<PartValue, (byte: number) => void> = {
        version: byte => {
            // Empty lines before a status line are no part of it.
            if (position === 0 && (byte === carriageReturn || byte === lineFeed)) {
                return;
            }
            isValid &&= version[position].includes(String.fromCharCode(byte));
            position += 1;
            if (position === version.length) {
                status = "";
                enter(Part.status);
            }
        },
        status: byte => {
            status += String.fromCharCode(byte);
            if (status.length === statusLength) {
                const isInterim = status.startsWith("1") && status !== "101";
                enter(isInterim ? Part.head : Part.rest);
            }
        },
        head: byte => {
            const character = String.fromCharCode(byte);
            position = character === headEnd[position] ? position + 1 : Number(character === headEnd[0]);
            if (position === headEnd.length) {
                enter(Part.version);
            }
        },
        rest: () => undefined,
    };
    return {
        add: bytes => {
            for (let index = 0; index < bytes.length && isValid && part !== Part.rest; index += 1) {
                handlers[part](bytes[index]);
            }
        },
        isValid: () => isValid,
    };
};

/**
 * Checks the responses to a request.
 *
 * @param request - the request, before it has a connection
 * @returns a function that returns whether the response, once its head has arrived, is one in the protocol
 */
export const watchStatusLines = (request: http.ClientRequest): () => boolean => {
    const check = createStatusLineCheck();
    request.once("socket", socket => {
        // Before the parser, so that a response is known to be valid when the parser reports it.
        socket.prependListener("data", check.add);
        request.once("close", () => socket.off("data", check.add));
    });
    return check.isValid;
};
