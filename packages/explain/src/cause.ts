/** Says in a sentence why a request ended as it did. */
import type * as logLine from "./logLine";

const text = (value: unknown): string => value === undefined || value === "" ? "unknown" : String(value);

const sentences: Record<string, (line: logLine.LogLine) => string> = {
    "no document is known yet": () =>
        "The instance had not read any document; it had just started or never reached the store.",
    "no route": line =>
        `Version ${text(line.version)} of the document has no route for ${text(line.host)}${text(line.path)}.`,
    "the body is too large": () => "The caller sent more than the document's limit.",
    "no upstream is ready": line => `No upstream of ${text(line.service)} was registered as ready.`,
    "no upstream owns the key": line =>
        `Key ${text(line.key)} of ${text(line.service)} was between owners for ${text(line.milliseconds)} ms: `
        + "see its release and grant, or the loss of its owner.",
    "no answer is expected in time": line =>
        `Refused at once: ${text(line.upstream)} had ${text(line.queue)} requests, an expected wait of `
        + `${text(line.expectedWait)} ms, known ${text(line.reportAge)} ms before.`,
    "no connection to an upstream is free": line =>
        `${text(line.upstream)} takes no more connections of this instance while it has ${text(line.queue)} requests.`,
    "the instance is behind with its work": line =>
        `${line.instance} had more requests than its processor could pass on and sent the caller to another instance.`,
    "upstreams refused it": line =>
        `Every upstream that was asked (${text(line.tried)}) answered that it did not run it.`,
    "the time limit has passed": line =>
        `No answer came in ${text(line.milliseconds)} ms from ${text(line.tried)}; it may have run: ${
            text(line.mayHaveRun)
        }.`,
    "the answer was lost": line => `${text(line.tried)} was sent the request and the answer did not come back whole.`,
    "the caller left": line =>
        `The caller closed its connection ${text(line.milliseconds)} ms after its request was read, `
        + `by an instance that was ${text(line.behind)} ms behind with its work.`,
};

/**
 * Says why a request ended.
 *
 * @param line - its `request-failed` or `request-answered` event
 * @returns a sentence
 */
export const causeOf = (line: logLine.LogLine): string => {
    if (line.event === "request-answered") {
        return `${text(line.tried).split(",").pop()} answered with ${text(line.status)} after ${
            text(line.milliseconds)
        } ms.`;
    }
    return sentences[String(line.reason)]?.(line) ?? `It ended with: ${text(line.reason)}.`;
};
