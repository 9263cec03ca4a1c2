/** Responses of an upstream in trouble: bytes that are no response, are cut, or belong to no request. */
import * as foundation from "@mulberryseam/foundation";
import type * as http from "node:http";
import type * as net from "node:net";

/** The response that the upstream would send if it were sound. */
export interface IntendedAnswer {
    status: number;
    headers: http.OutgoingHttpHeaders;
    text: string;
    /** Identifier of the request answered before on the same connection; undefined for the first one. */
    earlierIdentifier: string | undefined;
    /** Sends the response as it should be. */
    send: () => void;
}

/** Sends an answer on the connection of its request. */
type AnswerSender = (socket: net.Socket, answer: IntendedAnswer, random: foundation.Random) => void;

/** Time in which an upstream keeps a connection open after raw bytes, in milliseconds. */
const lingerMilliseconds = 20;
const invalidStatuses = ["000", "099", "999"];
const longDigits = "9".repeat(400);

const createBytes = (
    { status, headers, text }: IntendedAnswer,
    { statusText = String(status), extraLines = [] }: { statusText?: string; extraLines?: readonly string[]; },
): Buffer => {
    const lines = Object.entries({ ...headers, "content-length": text.length })
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}: ${String(value)}`);
    return Buffer.from([`HTTP/1.1 ${statusText} Answer`, ...lines, ...extraLines, "", text].join("\r\n"));
};

// The server cannot go on with a connection on which it has not answered itself.
const sendAndClose = (socket: net.Socket, bytes: Buffer): void => {
    socket.write(bytes);
    setTimeout(() => socket.end(), lingerMilliseconds);
};

const createEarlierRefusal = ({ earlierIdentifier = "earlier" }: IntendedAnswer): string =>
    `HTTP/1.1 503 Refused\r\nRequest-Id: ${earlierIdentifier}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;

const sendInvalidHeaderName: AnswerSender = (socket, answer) =>
    sendAndClose(socket, createBytes(answer, { extraLines: ["PHP Warning: undefined variable"] }));

const sendInvalidStatus: AnswerSender = (socket, answer, random) =>
    sendAndClose(socket, createBytes(answer, { statusText: invalidStatuses[random.below(invalidStatuses.length)] }));

const sendLongKeepAlive: AnswerSender = (socket, answer) =>
    sendAndClose(socket, createBytes(answer, { extraLines: [`Keep-Alive: timeout=${longDigits}`] }));

const sendHugeLoad: AnswerSender = (socket, answer) =>
    sendAndClose(
        socket,
        createBytes({ ...answer, headers: { ...answer.headers, "server-load": "1e308,1e308,4" } }, {}),
    );

const sendCutHead: AnswerSender = (socket, answer, random) => {
    const bytes = createBytes(answer, {});
    const headBytes = bytes.length - answer.text.length;
    const isReset = random.below(2) === 0;
    socket.write(bytes.subarray(0, random.below(headBytes)), () => {
        setTimeout(() => isReset ? foundation.resetConnection(socket) : socket.end(), lingerMilliseconds);
    });
};

const sendResetBody: AnswerSender = (socket, answer) => {
    const bytes = createBytes(answer, {}).toString().replace(/content-length: \d+\r\n/i, "");
    const reset = (): void => foundation.resetConnection(socket);
    // Data and reset arrive together on a new connection, and apart on one that is used again.
    const isTogether = answer.earlierIdentifier === undefined;
    socket.write(
        bytes.slice(0, bytes.length - Math.ceil(answer.text.length / 2)),
        isTogether ? reset : () => setTimeout(reset, lingerMilliseconds),
    );
};

const sendRefusalBefore: AnswerSender = (socket, answer) => {
    socket.write(createEarlierRefusal(answer));
    answer.send();
};

const sendRefusalAfter: AnswerSender = (socket, answer) => {
    answer.send();
    socket.write(createEarlierRefusal(answer));
};

const sendExtraBytes: AnswerSender = (socket, answer) => {
    answer.send();
    socket.write("Fatal error: allowed memory size exhausted\r\n");
};

const senders: readonly AnswerSender[] = [
    sendInvalidHeaderName,
    sendInvalidStatus,
    sendLongKeepAlive,
    sendHugeLoad,
    sendCutHead,
    sendResetBody,
    sendRefusalBefore,
    sendRefusalAfter,
    sendExtraBytes,
];

/** Fraction of answers that are malformed. */
const malformedRatio = 0.3;

/**
 * Sends a response that is malformed in a random way, or, most times, as it should be.
 *
 * @param socket - connection of the request
 * @param answer - the response that a sound upstream would send
 * @param random - chooses what is wrong with the response
 */
export const sendMalformedAnswer: AnswerSender = (socket, answer, random) => {
    if (random.fraction() >= malformedRatio) {
        answer.send();
        return;
    }
    senders[random.below(senders.length)](socket, answer, random);
};
