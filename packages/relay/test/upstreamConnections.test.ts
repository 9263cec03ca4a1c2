/** Connections to one upstream. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as earl from "earl";
import * as http from "node:http";
import type * as net from "node:net";
import * as test from "node:test";

const limit = 8;
const idleLimit = 2;

test.describe("connections to an upstream", () => {
    test.it("are kept without a request only up to their limit, since the upstream counts them after a loss", async () => {
        const server = http.createServer((request, response) => {
            request.resume();
            setTimeout(() => response.end("done"), 20);
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const { port } = server.address() as net.AddressInfo;
        const connections = relay.createUpstreamConnections(limit, idleLimit);
        const ask = (): Promise<void> =>
            new Promise(resolve => {
                http.get({ agent: connections.agent, host: "127.0.0.1", port }, response => {
                    response.resume();
                    response.on("close", () => resolve());
                });
            });
        await Promise.all([...new Array(limit)].map(ask));
        const count = (): Promise<number> =>
            new Promise(resolve => server.getConnections((...[, connected]) => resolve(connected)));
        let connected = await count();
        for (let turn = 0; turn < 100 && connected > idleLimit; turn += 1) {
            await new Promise(resolve => setTimeout(resolve, 10));
            connected = await count();
        }
        connections.close();
        server.close();
        earl.expect(connected).toEqual(idleLimit);
    });

    test.it("gain no listener each time that one is used again", async () => {
        const sockets = new Set<net.Socket>();
        const server = http.createServer((request, response) => {
            request.resume();
            response.end("done");
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const { port } = server.address() as net.AddressInfo;
        const connections = relay.createUpstreamConnections(limit, idleLimit);
        const ask = (): Promise<number> =>
            new Promise(resolve => {
                const request = http.get({ agent: connections.agent, host: "127.0.0.1", port }, response => {
                    const { socket } = response;
                    sockets.add(socket);
                    response.resume();
                    response.on("close", () => setImmediate(() => resolve(socket.listenerCount("error"))));
                });
                request.on("error", () => resolve(Infinity));
            });
        const first = await ask();
        let last = first;
        for (let turn = 0; turn < 20; turn += 1) {
            last = await ask();
        }
        connections.close();
        server.close();
        earl.expect(sockets.size).toEqual(1);
        earl.expect(last).toEqual(first);
    });
});
