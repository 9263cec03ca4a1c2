/**
 * Stand-in for an upstream, written from its published protocol: slots and a short queue, grants and releases of keys, load
 * reports, and its own entry in the registry. A script passes the fault that it needs as a function.
 */
import * as http from "node:http";

const heartbeatMilliseconds = 1500;
const queuedPerSlot = 4;

/**
 * Starts an upstream on a free port of 127.0.0.1 and registers it.
 *
 * `respond(request, response, headers)` may send a response of its own once a request has run; it returns true if it did.
 * `onHead(request, response)` may respond before the body is read; it returns true if it did.
 * `isCut(request)` says whether the path that a request came by is cut; the request is then lost.
 * `onGrant(body)` is told of each grant that is carried out.
 */
export const startUpstream = async options => {
    const { identifier, service, store, record, isKeyed = false, slots = 4, serviceMilliseconds = 20 } = options;
    const born = Date.now();
    let holds = [];
    const seen = [];
    let running = 0;
    const waiting = [];
    const runningKeys = new Map();
    const executions = [];
    let sequence = 0;

    const holdOf = key => holds.find(hold => hold.from <= key && hold.target >= key && hold.until > performance.now());
    const liveHolds = () => holds.filter(hold => hold.until > performance.now());
    const without = (from, target) =>
        holds.flatMap(hold =>
            [
                { ...hold, target: Math.min(hold.target, from - 1) },
                { ...hold, from: Math.max(hold.from, target + 1) },
            ].filter(rest => rest.from <= rest.target)
        );
    const commonHeaders = request => ({
        ...(request.headers["request-id"] === undefined ? {} : { "Request-Id": request.headers["request-id"] }),
        "Server-Load": `${running},${waiting.length},${slots}`,
    });
    const send = (response, status, headers, text = "") => {
        if (!response.destroyed) {
            response.writeHead(status, { ...headers, "Content-Length": Buffer.byteLength(text) });
            response.end(text);
        }
    };
    const grant = (request, body, response) => {
        const { from, target, fence } = body;
        const isFenced = seen.some(other => other.from <= target && other.target >= from && other.fence > fence);
        if (!isFenced) {
            holds = [...without(from, target), { from, target, fence, until: performance.now() + parseFloat(body.hold_time) }];
            seen.push({ from, target, fence });
            options.onGrant?.(body);
        }
        record(`${identifier}: grant ${from}-${target} fence ${fence} for ${body.hold_time}: ${isFenced ? 409 : 200}`);
        send(response, isFenced ? 409 : 200, {});
    };
    const release = async (body, response) => {
        const { from, target, fence } = body;
        holds = without(from, target);
        seen.push({ from, target, fence });
        while ([...runningKeys.values()].some(key => key >= from && key <= target)) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        record(`${identifier}: release ${from}-${target} fence ${fence}`);
        send(response, 200, { "Duty-Handover": `${identifier}-${fence}` });
    };
    const finish = () => {
        running -= 1;
        waiting.shift()?.();
    };
    const run = (request, body, response) => {
        const key = request.headers["shard-key"] === undefined ? undefined : Number(request.headers["shard-key"]);
        if (isKeyed && (key === undefined || holdOf(key) === undefined)) {
            send(response, 421, { ...commonHeaders(request), "Not-Executed": "1" });
            return;
        }
        const start = () => {
            if (response.destroyed) {
                waiting.shift()?.();
                return;
            }
            running += 1;
            const requestIdentifier = request.headers["request-id"];
            executions.push({ requestIdentifier, key, at: performance.now(), bytes: body.length });
            record(`${identifier}: runs ${requestIdentifier} ${request.method} ${request.url} (${body.length} bytes)`);
            runningKeys.set(requestIdentifier, key);
            setTimeout(() => {
                runningKeys.delete(requestIdentifier);
                finish();
                const headers = { ...commonHeaders(request), "Response-Signature": `signed.${identifier}` };
                if (options.respond?.(request, response, headers) !== true) {
                    send(response, 200, headers, `answer to ${requestIdentifier}`);
                }
            }, serviceMilliseconds);
        };
        if (running < slots) {
            start();
        }
        else if (waiting.length < slots * queuedPerSlot) {
            waiting.push(start);
        }
        else {
            send(response, 503, { ...commonHeaders(request), "Not-Executed": "1" });
        }
    };
    const server = http.createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
        const target = request.headers["target-instance"];
        if (target === identifier || target === undefined) {
            if (options.onHead?.(request, response, { ...commonHeaders(request), "Response-Signature": `signed.${identifier}` })) {
                return;
            }
        }
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            if (options.isCut?.(request) === true) {
                return;
            }
            if (target !== undefined && target !== identifier) {
                send(response, 421, { ...commonHeaders(request), "Instance-Id": identifier });
            }
            else if (request.url === "/mulberryseam/grant") {
                grant(request, JSON.parse(Buffer.concat(chunks).toString()), response);
            }
            else if (request.url === "/mulberryseam/release") {
                void release(JSON.parse(Buffer.concat(chunks).toString()), response);
            }
            else {
                run(request, Buffer.concat(chunks), response);
            }
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    const register = () => {
        sequence += 1;
        store.put(
            "keyed.servers",
            identifier,
            JSON.stringify({
                service,
                address: `127.0.0.1:${port}`,
                zone: options.zone ?? "lautoka-a",
                version: "v1",
                slots,
                state: "ready",
                warmupLeft: "0ms",
                sequence,
                born,
            }),
        );
    };
    register();
    const heartbeat = setInterval(register, heartbeatMilliseconds);
    const listen = () => new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    const refuse = () => {
        server.close();
        server.closeAllConnections();
    };
    /** Resets the connections and refuses new ones for a time, as behind a cut with resets; the upstream runs on. */
    const cutWithResets = milliseconds => {
        refuse();
        setTimeout(listen, milliseconds);
    };
    return { identifier, port, executions, liveHolds, cutWithResets, close: () => {
        clearInterval(heartbeat);
        server.close();
        server.closeAllConnections();
    } };
};
