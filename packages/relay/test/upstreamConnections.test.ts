/** Keep-alive connections to one upstream. */
import * as foundation from "@mulberryseam/foundation";
import * as relay from "@mulberryseam/relay";
import * as routing from "@mulberryseam/routing";
import * as earl from "earl";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";
import * as virtualTime from "./fixtures/virtualTime";

const maxConnections = 8;
const maxIdleConnections = 2;
/** Size of half a response that does not fit into the buffers of a connection, in bytes. */
const largeBodyBytes = 4 * 1024 * 1024;

test.describe("connections to an upstream", () => {
    test.it("are kept idle only up to a limit, as an upstream still counts those of a lost instance", async context => {
        const server = http.createServer((request, response) => {
            request.resume();
            setTimeout(() => response.end("done"), 20);
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const { port } = server.address() as net.AddressInfo;
        const connections = relay.createUpstreamConnections(maxConnections, maxIdleConnections);
        context.after(() => {
            connections.close();
            server.close();
            server.closeAllConnections();
        });
        const sendRequest = (): Promise<void> =>
            new Promise((resolve, reject) => {
                http.get({ agent: connections.agent, host: "127.0.0.1", port }, response => {
                    response.resume();
                    response.on("close", () => resolve());
                }).on("error", reject);
            });
        await Promise.all([...new Array(maxConnections)].map(sendRequest));
        const countConnections = (): Promise<number> =>
            new Promise(resolve => server.getConnections((...[, connected]) => resolve(connected)));
        let connected = await countConnections();
        for (let iteration = 0; iteration < 100 && connected > maxIdleConnections; iteration += 1) {
            await new Promise(resolve => setTimeout(resolve, 10));
            connected = await countConnections();
        }
        earl.expect(connected).toEqual(maxIdleConnections);
    });

    test.it("are kept for an identifier again once every connection on which it was refused is closed", async () => {
        const connections = relay.createUpstreamConnections(maxConnections, maxIdleConnections);
        const isKept = (identifier: string): boolean => connections.agentFor(identifier) === connections.agent;
        const close = async (socket: net.Socket): Promise<void> => {
            const closed = new Promise(resolve => socket.once("close", resolve));
            socket.destroy();
            await closed;
        };
        const [first, second, closed] = [new net.Socket(), new net.Socket(), new net.Socket()];
        await close(closed);
        connections.onRefusal(first, "a");
        connections.onRefusal(second, "a");
        connections.onRefusal(second, "b");
        connections.onRefusal(closed, "c");
        earl.expect(["a", "b", "c"].map(isKept)).toEqual([false, false, true]);
        await close(first);
        earl.expect(["a", "b"].map(isKept)).toEqual([false, false]);
        await close(second);
        earl.expect(["a", "b"].map(isKept)).toEqual([true, true]);
        connections.close();
    });

    test.it("do not accumulate listeners when they are reused", async context => {
        const sockets = new Set<net.Socket>();
        const server = http.createServer((request, response) => {
            request.resume();
            response.end("done");
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const { port } = server.address() as net.AddressInfo;
        const connections = relay.createUpstreamConnections(maxConnections, maxIdleConnections);
        context.after(() => {
            connections.close();
            server.close();
            server.closeAllConnections();
        });
        const sendRequest = (): Promise<number> =>
            new Promise(resolve => {
                const request = http.get({ agent: connections.agent, host: "127.0.0.1", port }, response => {
                    const { socket } = response;
                    sockets.add(socket);
                    response.resume();
                    response.on("close", () => setImmediate(() => resolve(socket.listenerCount("error"))));
                });
                request.on("error", () => resolve(Infinity));
            });
        const first = await sendRequest();
        let last = first;
        for (let iteration = 0; iteration < 20; iteration += 1) {
            last = await sendRequest();
        }
        earl.expect(sockets.size).toEqual(1);
        earl.expect(last).toEqual(first);
    });
});

test.describe("the idle connections of an instance", () => {
    test.it("are limited even while no instance is known", () => {
        const directory = routing.createUpstreamDirectory();
        directory.onEntry(relayFixture.createUpstream("upstream-1", 1, 1), 0);
        const pool = relayFixture.createPool({ directory, sharerCount: () => 0 });
        const [pooled] = pool.usable("orders");
        earl.expect(pooled.connections.agent.maxFreeSockets <= 100).toEqual(true);
    });

    test.it("that are closed do not cut a response in progress, and are not kept after it", async context => {
        const sockets = new Set<net.Socket>();
        const responses: http.ServerResponse[] = [];
        const server = http.createServer((request, response) => {
            request.resume();
            response.writeHead(200, { "content-length": 2 * largeBodyBytes });
            response.write(Buffer.alloc(largeBodyBytes));
            responses.push(response);
        });
        server.on("connection", socket => {
            sockets.add(socket);
            socket.on("close", () => sockets.delete(socket));
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const connections = relay.createUpstreamConnections(maxConnections, maxIdleConnections);
        context.after(() => {
            server.close();
            server.closeAllConnections();
        });
        const { port } = server.address() as net.AddressInfo;
        const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
            http.get({ host: "127.0.0.1", port, agent: connections.agent }, resolve).on("error", reject);
        });
        const ended = new Promise<boolean>(resolve => {
            response.on("error", () => undefined);
            response.on("close", () => resolve(response.complete));
        });
        response.once("data", () => {
            connections.close();
            responses[0].end(Buffer.alloc(largeBodyBytes));
        });
        response.resume();
        earl.expect(await ended).toEqual(true);
        await virtualTime.waitUntil(() => sockets.size === 0);
    });
});
