/**
 * The plainest router, to compare with: first come first served, an upstream at random, retry always. One process an
 * instance: `baselineRouter PORT DOCUMENT`.
 */
import type * as configuration from "@mulberryseam/configuration";
import * as http from "node:http";
import * as consumers from "node:stream/consumers";
import * as undici from "undici";

const attempts = 3;
const routers = 8;
const unavailable = 503;

const start = (port: number, document: configuration.Environment): void => {
    const pools = new Map<string, undici.Pool>();
    const poolOf = (address: string, connections: number): undici.Pool => {
        const pool = pools.get(address)
            ?? new undici.Pool(`http://${address}`, { connections: Math.max(1, Math.floor(connections / routers)) });
        pools.set(address, pool);
        return pool;
    };

    const attempt = async (request: http.IncomingMessage, body: Buffer): Promise<undici.Dispatcher.ResponseData> => {
        const [, name] = (request.url ?? "").split("/");
        const service = document.services.find(entry => entry.name === name) ?? document.services[0];
        const upstream = service.upstreams[Math.floor(Math.random() * service.upstreams.length)];
        const headers = { ...request.headers };
        delete headers.connection;
        delete headers["content-length"];
        delete headers["transfer-encoding"];
        return poolOf(upstream.address, service.connections).request({
            method: request.method as undici.Dispatcher.HttpMethod,
            path: request.url ?? "/",
            headers: headers as Record<string, string>,
            body: body.length > 0 ? body : undefined,
        });
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const body = await consumers.buffer(request);
        for (let count = 1; count <= attempts; count++) {
            try {
                const answer = await attempt(request, body);
                if (answer.statusCode === unavailable && count < attempts) {
                    await answer.body.dump();
                    continue;
                }
                const outcome = answer.statusCode === unavailable ? "not-run" : "answered";
                response.writeHead(answer.statusCode, { "mulberryseam-outcome": outcome });
                answer.body.pipe(response);
                return;
            }
            catch {
                continue;
            }
        }
        response.writeHead(unavailable, { "mulberryseam-outcome": "not-run" });
        response.end();
    };

    http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        handle(request, response).catch(() => response.destroy());
    }).listen(port, "127.0.0.1", () => process.stdout.write("ready\n"));
};

start(Number(process.argv[2]), JSON.parse(process.argv[3]) as configuration.Environment);
