/** Explains the outcome of a request in one sentence. */
import type * as logLine from "./logLine";

const format = (value: unknown): string => value === undefined || value === "" ? "unknown" : String(value);

const failureDescriptions: Record<string, (line: logLine.LogLine) => string> = {
    "no document is known yet": () =>
        "The instance had not read any document yet: it had just started, or had never reached the store.",
    "no route": line =>
        `Version ${format(line.version)} of the document has no route for ${format(line.host)}${format(line.path)}.`,
    "the body is too large": () => "The request body exceeded the limit in the document.",
    "no upstream is ready": line => `No upstream of ${format(line.service)} was registered as ready.`,
    "no upstream owns the key": line =>
        `Key ${format(line.key)} of ${format(line.service)} had no available owner for ${
            format(line.milliseconds)
        } ms: `
        + "see the release and grant of the key, or the loss of its owner.",
    "no answer is expected in time": line =>
        `Rejected immediately: ${format(line.upstream)} had ${format(line.queue)} requests and an expected wait of `
        + `${format(line.expectedWait)} ms; its last load report was ${format(line.reportAge)} ms old.`,
    "upstreams want no requests for a time": line =>
        `Rejected immediately: ${
            format(line.upstream)
        }, the first to take requests again, had asked for none for a time.`,
    "no connection to an upstream is free": line =>
        `${format(line.upstream)} had no free connection for this instance while it had ${
            format(line.queue)
        } requests.`,
    "the instance is behind with its work": line =>
        `${line.instance} received more requests than its CPU could relay and sent the caller to another instance.`,
    "the instance is stopping": line =>
        `Rejected immediately: ${line.instance} was stopping, and the request could have outlasted it.`,
    "the instance has no memory for the body": line =>
        `Rejected: ${line.instance} held as many bytes of other requests and responses as it may.`,
    "too many requests are open on the connection": () =>
        "Rejected immediately: the caller had sent many requests on the connection without waiting for the responses.",
    "upstreams refused it": line =>
        `Every upstream that was tried (${format(line.tried)}) responded that it had not run the request.`,
    "the time limit has passed": line =>
        `No response within ${format(line.milliseconds)} ms from ${format(line.tried)}; the request may have run: ${
            format(line.mayHaveRun)
        }.`,
    "the answer is too large for the caller's version of HTTP": line =>
        `${format(line.tried)} responded, but without a length that HTTP/1.0 needs for a response of this size.`,
    "the answer was lost": line => `${format(line.tried)} was sent the request, but no complete response arrived.`,
    "the caller left": line =>
        `The caller closed its connection ${format(line.milliseconds)} ms after its request was read, `
        + `by an instance whose event loop was delayed by ${format(line.behind)} ms.`,
};

/**
 * Explains why a request failed, or which upstream responded to it.
 *
 * @param line - the `request-failed` or `request-answered` event of the request
 * @returns one sentence
 */
export const describeOutcome = (line: logLine.LogLine): string => {
    if (line.event === "request-answered") {
        return `${format(line.tried).split(",").pop()} responded with ${format(line.status)} after ${
            format(line.milliseconds)
        } ms.`;
    }
    return failureDescriptions[String(line.reason)]?.(line) ?? `The request failed: ${format(line.reason)}.`;
};
