/** Callers that keep their connections and send one request after the other. */
import * as http from "node:http";
import { pause } from "./site.mjs";

let nextNumber = 1;

/** Sends a body piece by piece until the connection closes. */
const sendPieces = async (request, body, { bytes, milliseconds }) => {
    for (let position = 0; position < body.length && !request.destroyed; position += bytes) {
        request.write(body.subarray(position, position + bytes));
        await pause(milliseconds);
    }
    request.end();
};

/**
 * Sends a request; resolves with the status and the body of the response. Status 0: no complete response. With `pieces`, the body is
 * sent slowly.
 */
export const sendRequest = ({ instance, agent, method, path, headers = {}, body, pieces, deadlineMilliseconds }) =>
    new Promise(resolve => {
        const requestIdentifier = `r${process.pid}-${nextNumber}`;
        nextNumber += 1;
        const startedAt = performance.now();
        const finish = (status, text, detail) =>
            resolve({
                requestIdentifier,
                instance: instance.name,
                status,
                text,
                detail,
                isReused: request.reusedSocket,
                startedAt,
                milliseconds: Math.round(performance.now() - startedAt),
            });
        const request = http.request({
            host: instance.host,
            port: instance.callerPort,
            agent,
            method,
            path,
            headers: {
                "Host": "site.example",
                "Request-Id": requestIdentifier,
                "Request-Deadline-Ms": String(deadlineMilliseconds),
                ...(body === undefined ? {} : { "Content-Length": body.length }),
                ...headers,
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => finish(0, "", error.code ?? error.message));
            response.on("end", () => finish(response.statusCode, Buffer.concat(chunks).toString(), ""));
        });
        request.setTimeout(deadlineMilliseconds + 500, () => request.destroy(new Error("time limit")));
        request.on("error", error => finish(0, "", error.code ?? error.message));
        if (pieces === undefined) {
            request.end(body);
        }
        else {
            void sendPieces(request, body, pieces);
        }
    });

/**
 * Starts a caller of one instance, which sends a request each `intervalMilliseconds` until it is stopped. `onResult` gets each
 * result together with the request.
 */
export const startCaller = ({ instance, createRequest, intervalMilliseconds, onResult }) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let isStopped = false;
    const run = async () => {
        while (!isStopped) {
            const request = createRequest();
            const result = await sendRequest({ instance, agent, ...request });
            onResult({ ...request, ...result });
            await pause(intervalMilliseconds);
        }
        agent.destroy();
    };
    const ended = run();
    return { stop: () => {
        isStopped = true;
        return ended;
    } };
};
