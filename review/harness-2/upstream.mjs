/**
 * Stand-in for an upstream, on loopback. It checks `Target-Instance`, obeys lease commands, runs requests whose key it holds, and registers
 * itself in the store. What it held and ran is recorded.
 */
import * as http from "node:http";

const registryTopic = "keyed.servers";
const heartbeatMilliseconds = 870;
const milliseconds = text => Number.parseFloat(text) * (text.endsWith("ms") ? 1 : 1000);

/**
 * Creates the keys that an upstream holds. Each span of holding has the token of its grant and the time at which it ended or will end.
 *
 * @returns the keys, of which it holds none
 */
const createHeldKeys = () => {
    /** All spans, also those that have ended; sorted by nothing. */
    const spans = [];
    const seen = [];
    const endOverlapping = (from, target, now) => {
        for (const span of [...spans]) {
            if (span.until <= now || span.from > target || span.target < from) {
                continue;
            }
            // The parts outside the command go on.
            if (span.from < from) {
                spans.push({ ...span, target: from - 1 });
            }
            if (span.target > target) {
                spans.push({ ...span, from: target + 1 });
            }
            span.from = Math.max(span.from, from);
            span.target = Math.min(span.target, target);
            span.until = now;
        }
    };
    return {
        spans,
        holds: key => {
            const now = performance.now();
            return spans.some(({ from, target, until }) => from <= key && key <= target && until > now);
        },
        grant: ({ from, target, fence, hold_time: holdTime }) => {
            const now = performance.now();
            if (seen.some(other => other.from <= target && other.target >= from && other.fence > fence)) {
                return false;
            }
            seen.push({ from, target, fence });
            const until = now + milliseconds(holdTime);
            const renewed = spans.find(span =>
                span.from === from && span.target === target && span.fence === fence && span.until > now
            );
            if (renewed === undefined) {
                endOverlapping(from, target, now);
                spans.push({ from, target, fence, since: now, until });
            }
            else {
                renewed.until = Math.max(renewed.until, until);
            }
            return true;
        },
        release: ({ from, target, fence }) => {
            seen.push({ from, target, fence });
            endOverlapping(from, target, performance.now());
        },
        endAll: () => endOverlapping(0, 65_535, performance.now()),
    };
};

/**
 * Starts an upstream.
 *
 * @param options - identifier, service, failure domain, store and `respond`, which runs a request and sends its response
 * @param onCleanup - called with the function that closes it
 * @returns the upstream
 */
export const startUpstream = async ({ identifier, service, zone, store, isKeyed, respond, onRun }, onCleanup) => {
    const keys = createHeldKeys();
    const born = Date.now();
    let running = 0;
    let state = "ready";
    let sequence = 0;
    let isStopped = false;
    const slots = 6;
    const load = () => `${running},0,${slots}`;
    const server = http.createServer((request, response) => {
        const identity = request.headers["request-id"] === undefined
            ? {}
            : { "Request-Id": request.headers["request-id"] };
        const leaving = state === "draining" ? { "Server-Leaving": "1" } : {};
        const reply = (status, headers, text = "") => {
            response.writeHead(status, { ...identity, ...leaving, ...headers, "Content-Length": text.length });
            response.end(text);
        };
        const chunks = [];
        request.on("error", () => undefined);
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", async () => {
            const body = Buffer.concat(chunks);
            const target = request.headers["target-instance"];
            if (target !== undefined && target !== identifier) {
                reply(421, { "Not-Executed": "1" });
                return;
            }
            if (request.url === "/mulberryseam/grant") {
                reply(keys.grant(JSON.parse(body)) ? 200 : 409, {});
                return;
            }
            if (request.url === "/mulberryseam/release") {
                keys.release(JSON.parse(body));
                reply(200, { "Duty-Handover": `${identifier}-${sequence}` });
                return;
            }
            const key = request.headers["shard-key"];
            if (isKeyed && (key === undefined || !keys.holds(Number(key)))) {
                reply(421, { "Not-Executed": "1", "Server-Load": load() });
                return;
            }
            running += 1;
            onRun?.({ upstream: identifier, request: request.headers["request-id"], key: Number(key) });
            try {
                await respond({
                    request,
                    response,
                    headers: {
                        ...identity,
                        ...leaving,
                        "Response-Signature": `signed.${identifier}.${request.headers["request-id"]}`,
                        "Server-Load": load(),
                    },
                });
            }
            finally {
                running -= 1;
            }
        });
    });
    server.keepAliveTimeout = 10_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    const register = () => {
        sequence += 1;
        store.put(
            registryTopic,
            identifier,
            JSON.stringify({
                service,
                address: `127.0.0.1:${port}`,
                zone,
                version: "v1",
                slots,
                state,
                warmupLeft: "0ms",
                sequence,
                born,
            }),
        );
    };
    register();
    const heartbeat = setInterval(register, heartbeatMilliseconds);
    const stop = () => {
        clearInterval(heartbeat);
        isStopped = true;
        keys.endAll();
        server.close();
        server.closeAllConnections();
    };
    onCleanup(stop);
    return {
        identifier,
        spans: keys.spans,
        /** Announces that the upstream is leaving; it serves on until it is stopped. */
        drain: () => {
            state = "draining";
            register();
        },
        /** Ends the upstream and removes its entry. */
        leave: () => {
            if (!isStopped) {
                stop();
                store.put(registryTopic, identifier, "");
            }
        },
    };
};
