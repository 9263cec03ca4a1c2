/** Upstreams that break off an early response to an upload, or send a status that no response has. */
import * as foundation from "@mulberryseam/foundation";
import * as traffic from "@mulberryseam/traffic";
import * as earl from "earl";
import * as net from "node:net";
import * as stream from "node:stream";
import * as test from "node:test";
import * as upstreamClient from "../src/upstreamClient";

/** Size of an upload that does not fit into the buffers of its connection, in bytes. */
const uploadBytes = 8 * 1024 * 1024;

const toStream = (): stream.Readable =>
    stream.Readable.from((function*() {
        for (let offset = 0; offset < uploadBytes; offset += 65_536) {
            yield Buffer.alloc(65_536, "u");
        }
    })());

const uploads: [string, () => Buffer | stream.Readable | undefined, Record<string, string>][] = [
    ["a request without a body", () => undefined, {}],
    ["an upload that is held", () => Buffer.alloc(uploadBytes, "u"), {}],
    ["an upload with a length", toStream, { "content-length": String(uploadBytes) }],
    ["an upload in chunks", toStream, {}],
];

/** Sends one request to an upstream that reads only its beginning, and responds with raw bytes. */
const attemptAt = async (
    body: Buffer | stream.Readable | undefined,
    headers: Record<string, string>,
    respond: (socket: net.Socket) => void,
): Promise<{ result: traffic.AttemptResultKind; status: number | undefined; isComplete: boolean; }> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            respond(socket);
        });
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    const { port } = server.address() as net.AddressInfo;
    const client = upstreamClient.createUpstreamClient(`127.0.0.1:${port}`, 1);
    try {
        const { result, response } = await client.attempt({
            method: body === undefined ? "GET" : "POST",
            path: "/work",
            headers,
            body,
            signal: AbortSignal.timeout(5000),
        });
        let isComplete = response !== undefined;
        try {
            await response?.body.arrayBuffer();
        }
        catch {
            isComplete = false;
        }
        return { result, status: response?.statusCode, isComplete };
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        server.close();
        await client.close();
    }
};

const part = "x".repeat(20_000);

const ends: [string, (socket: net.Socket) => void][] = [
    ["a reset", socket => socket.resetAndDestroy()],
    ["a later reset", socket => void setTimeout(() => socket.resetAndDestroy(), 20)],
    ["an end before the reset", socket => void socket.end(() => socket.destroy())],
];
const framings: [string, string][] = [
    ["without a length", ""],
    ["with a length", "Content-Length: 40000\r\n"],
    ["in chunks", "Transfer-Encoding: chunked\r\n"],
];

for (const [upload, createBody, headers] of uploads) {
    test.describe(`a response of an upstream to ${upload}`, () => {
        for (const [framing, header] of framings) {
            for (const [end, endConnection] of ends) {
                // Guards against a part that is forwarded as the whole, while the request is still being written.
                test.it(`${framing} that breaks off by ${end} is not complete`, async () => {
                    const { isComplete } = await attemptAt(createBody(), headers, socket => {
                        const chunkHead = framing === "in chunks" ? "9c40\r\n" : "";
                        socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n${chunkHead}${part}`);
                        endConnection(socket);
                    });
                    earl.expect(isComplete).toEqual(false);
                });
            }
        }
        for (const status of ["000", "0", "099", "199", "600", "999", "1000", "-200", "20", "abc"]) {
            test.it(`with status ${status} is lost`, async () => {
                const { result, status: received } = await attemptAt(createBody(), headers, socket => {
                    socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 4\r\n\r\ndone`);
                    setTimeout(() => socket.resetAndDestroy(), 20);
                });
                earl.expect([result, received]).toEqual([traffic.AttemptResult.lost, undefined]);
            });
        }
    });
}
