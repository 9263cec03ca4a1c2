/** Callers of an instance, and the check of its readiness. */
import * as crypto from "node:crypto";
import * as http from "node:http";

export const createIdentifier = () => crypto.randomBytes(8).toString("hex");

/** Returns whether an instance says that it is ready. */
export const isReady = ({ host, readinessPort }) =>
    new Promise(resolve => {
        const request = http.get({ host, port: readinessPort, path: "/mulberryseam/readiness", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.setTimeout(1000, () => request.destroy());
        request.on("error", () => resolve(false));
    });

/** Sends a request and returns its status and body; status 0 stands for a connection that ended without a complete response. */
export const send = (instance, { method = "GET", path, host, key, deadlineMilliseconds, agent, body, identifier }) =>
    new Promise(resolve => {
        const request = http.request({
            host: instance.host,
            port: instance.callerPort,
            method,
            path,
            agent,
            headers: {
                "Host": host,
                "Request-Id": identifier,
                "Request-Deadline-Ms": String(deadlineMilliseconds),
                ...(key === undefined ? {} : { "Shard-Key": String(key) }),
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => resolve({ status: 0, body: Buffer.concat(chunks) }));
            response.on("end", () =>
                resolve({
                    status: response.complete ? response.statusCode : 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks),
                }));
        });
        request.setTimeout(deadlineMilliseconds, () => request.destroy());
        request.on("error", () => resolve({ status: 0, body: Buffer.alloc(0) }));
        request.end(body);
    });
