/**
 * A baseline router for comparison: serves requests first come, first served, selects an upstream at random and retries
 * failed attempts even of requests that are not idempotent. Runs as one process for each instance:
 * `baselineRouter PORT DOCUMENT`.
 */
import type * as configuration from "@mulberryseam/configuration";
import * as http from "node:http";
import * as consumers from "node:stream/consumers";
import * as undici from "undici";

const maxAttempts = 3;
/** Every scenario that starts baseline routers starts 8; each uses an equal fraction of an upstream's connections. */
const routerCount = 8;
const serviceUnavailable = 503;

const startRouter = (port: number, document: configuration.Environment): void => {
    const pools = new Map<string, undici.Pool>();
    const getPool = (address: string, connections: number): undici.Pool => {
        const pool = pools.get(address)
            ?? new undici.Pool(`http://${address}`, {
                connections: Math.max(1, Math.floor(connections / routerCount)),
            });
        pools.set(address, pool);
        return pool;
    };

    const forwardRequest = async (
        request: http.IncomingMessage,
        body: Buffer,
    ): Promise<undici.Dispatcher.ResponseData> => {
        const [, name] = (request.url ?? "").split("/");
        const service = document.services.find(entry => entry.name === name) ?? document.services[0];
        const upstream = service.upstreams[Math.floor(Math.random() * service.upstreams.length)];
        const headers = { ...request.headers };
        delete headers.connection;
        delete headers["content-length"];
        delete headers["transfer-encoding"];
        return getPool(upstream.address, service.connections).request({
            method: request.method as undici.Dispatcher.HttpMethod,
            path: request.url ?? "/",
            headers: headers as Record<string, string>,
            body: body.length > 0 ? body : undefined,
        });
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const body = await consumers.buffer(request);
        for (let attemptNumber = 1; attemptNumber <= maxAttempts; attemptNumber++) {
            try {
                const upstreamResponse = await forwardRequest(request, body);
                if (upstreamResponse.statusCode === serviceUnavailable && attemptNumber < maxAttempts) {
                    await upstreamResponse.body.dump();
                    continue;
                }
                const outcome = upstreamResponse.statusCode === serviceUnavailable ? "not-run" : "answered";
                response.writeHead(upstreamResponse.statusCode, { "mulberryseam-outcome": outcome });
                upstreamResponse.body.pipe(response);
                return;
            }
            catch {
                continue;
            }
        }
        response.writeHead(serviceUnavailable, { "mulberryseam-outcome": "not-run" });
        response.end();
    };

    http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        handle(request, response).catch(() => response.destroy());
    }).listen(port, "127.0.0.1", () => process.stdout.write("ready\n"));
};

startRouter(Number(process.argv[2]), JSON.parse(process.argv[3]) as configuration.Environment);
