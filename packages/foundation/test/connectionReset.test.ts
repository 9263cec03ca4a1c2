/** Resets of connections in every state. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";

/** Maximum wait until a connection is closed, in milliseconds; only one that never closes reaches it. */
const maxCloseMilliseconds = 5000;
const largeBytes = 8 * 1024 * 1024;

/** Prepares a connection whose other side does not read, resets it, and returns whether it is closed without an error. */
const isClosedByReset = async (prepare: (socket: net.Socket) => void): Promise<boolean> => {
    const server = net.createServer();
    await foundation.listenOn(server, "127.0.0.1", 0);
    const { port } = server.address() as net.AddressInfo;
    const accepted = new Promise<net.Socket>(resolve => server.once("connection", resolve));
    const client = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    client.pause();
    client.on("error", () => undefined);
    const socket = await accepted;
    const closed = new Promise<boolean>(resolve => {
        const limit = setTimeout(() => resolve(false), maxCloseMilliseconds);
        socket.on("error", () => undefined);
        socket.once("close", hadError => {
            clearTimeout(limit);
            resolve(!hadError);
        });
    });
    prepare(socket);
    foundation.resetConnection(socket);
    const isClosed = await closed;
    client.destroy();
    server.close();
    return isClosed;
};

test.describe("the reset of a connection", () => {
    const states: [string, (socket: net.Socket) => void][] = [
        ["is idle", () => undefined],
        ["has unsent data", socket => socket.write(Buffer.alloc(largeBytes))],
        ["has unsent data before its end", socket => socket.end(Buffer.alloc(largeBytes))],
        ["has just ended", socket => socket.end()],
        ["has just ended with data", socket => socket.end("x")],
    ];
    for (const [name, prepare] of states) {
        test.it(`closes one that ${name}, so that its process can end`, async () => {
            earl.expect(await isClosedByReset(prepare)).toEqual(true);
        });
    }
});
