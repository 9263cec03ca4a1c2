/** Upstreams that break off an early response to an upload, or send a status that no response has. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

/** Size of an upload that does not fit into the buffers of its connections, in bytes. */
const uploadBytes = 8 * 1024 * 1024;
/** Size of an upload that is delegated, in bytes. */
const delegatedBytes = 30_000;

/** How a response ends. */
type End = (socket: net.Socket, send: (part: string) => void) => void;

/**
 * Marks ends that are only irregular because the request is still being written. One that is delegated has at most 32 KB, which the
 * connection takes at once: then a regular end comes first, and nothing tells the part from the whole.
 */
const endBeforeReset = "an end before the reset";

const part = "x".repeat(20_000);
const largePart = "x".repeat(400_000);

const ends: [string, End][] = [
    ["with a part", (socket, send) => {
        send(part);
        setTimeout(() => socket.resetAndDestroy(), 20);
    }],
    ["with a reset that arrives together with the part", (socket, send) => {
        send(part);
        socket.resetAndDestroy();
    }],
    // The end arrives first, and the reset after it: only writing shows that the connection was reset.
    [`with ${endBeforeReset}`, (socket, send) => {
        send(part);
        socket.end(() => socket.destroy());
    }],
    [`with ${endBeforeReset}, which comes later`, (socket, send) => {
        send(part);
        socket.end();
        setTimeout(() => socket.resetAndDestroy(), 20);
    }],
    ["with a large part", (socket, send) => {
        send(largePart);
        setTimeout(() => socket.resetAndDestroy(), 20);
    }],
    [`with a large part and ${endBeforeReset}`, (socket, send) => {
        send(largePart);
        socket.end(() => socket.destroy());
    }],
];

/** Starts an upstream on raw sockets that reads only the head of each request, and passes on its identifier. */
const startRawUpstream = async (
    onHead: (socket: net.Socket, identifier: string) => void,
    owner: foundation.Owner,
): Promise<number> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", chunk => {
            socket.pause();
            onHead(socket, /request-id: (\S+)/i.exec(String(chunk))?.[1] ?? "");
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    owner.onCleanup(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return (server.address() as net.AddressInfo).port;
};

interface Received {
    status: number;
    isComplete: boolean;
}

/** Sends an upload, with its length or in chunks, and returns what its caller received. */
const upload = (port: number, bytes: number, isChunked: boolean, key?: number): Promise<Received> =>
    new Promise(resolve => {
        const request = http.request({
            host: "127.0.0.1",
            port,
            path: "/orders/1",
            method: "POST",
            agent: false,
            headers: {
                "host": "orders.example",
                "request-id": "upload-1",
                "request-deadline-ms": "60000",
                ...(key === undefined ? {} : { "shard-key": key }),
                ...(isChunked ? { "transfer-encoding": "chunked" } : { "content-length": bytes }),
            },
        });
        request.on("error", () => resolve({ status: 0, isComplete: false }));
        request.on("response", response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve({ status: response.statusCode ?? 0, isComplete: response.complete }));
        });
        const body = Buffer.alloc(bytes, "u");
        for (let offset = 0; offset < bytes; offset += 65_536) {
            request.write(body.subarray(offset, offset + 65_536));
        }
        request.end();
    });

/** Runs with a relay, direct or behind another one, whose only upstream listens on a port. */
const withUpstreamAt = async (
    port: number,
    isDelegated: boolean,
    isStreamed: boolean,
    run: (port: number) => Promise<void>,
): Promise<void> => {
    const options: relayFixture.RelayFixtureOptions = {
        behaviours: [relayFixture.respondWith("unused")],
        isKeyed: isDelegated,
        maxBodyBytes: uploadBytes,
        maxBufferedBytes: isStreamed ? 300_000 : undefined,
        timers: foundation.createTimerService(),
        timeoutMilliseconds: 20_000,
    };
    await relayFixture.withRelay(options, async second => {
        second.directory.onEntry(
            { ...relayFixture.createUpstream("upstream-0", port, isDelegated ? 1 : 2), port },
            0,
        );
        if (!isDelegated) {
            await run(second.port);
            return;
        }
        const delegate = { identifier: "second", host: "127.0.0.1", port: second.delegatePort };
        await relayFixture.withRelay({ ...options, delegate }, first => run(first.port));
    });
};

const paths: { name: string; isDelegated: boolean; isStreamed: boolean; bytes: number; }[] = [
    { name: "a direct upload", isDelegated: false, isStreamed: false, bytes: uploadBytes },
    { name: "a direct upload that is streamed", isDelegated: false, isStreamed: true, bytes: uploadBytes },
    { name: "a delegated upload", isDelegated: true, isStreamed: false, bytes: delegatedBytes },
];

for (const { name, isDelegated, isStreamed, bytes } of paths) {
    for (const isChunked of [false, true]) {
        const framing = isChunked ? "in chunks" : "with a length";
        test.describe(`an early response without a length to ${name} ${framing}`, () => {
            for (const [end, endResponse] of ends.filter(([end]) => !isDelegated || !end.includes(endBeforeReset))) {
                // Guards against a part that a caller takes for the whole, while the request is still being written.
                test.it(`that breaks off ${end} is not complete for the caller`, async () => {
                    const owner = foundation.createOwner();
                    try {
                        const port = await startRawUpstream((socket, identifier) => {
                            const head =
                                `HTTP/1.1 200 OK\r\nRequest-Id: ${identifier}\r\nResponse-Signature: s\r\n\r\n`;
                            endResponse(socket, body => void socket.write(head + body));
                        }, owner);
                        await withUpstreamAt(port, isDelegated, isStreamed, async relayPort => {
                            for (let repetition = 0; repetition < 3; repetition += 1) {
                                const { status, isComplete } = await upload(
                                    relayPort,
                                    bytes,
                                    isChunked,
                                    isDelegated ? 7 : undefined,
                                );
                                earl.expect(status === 200 && isComplete).toEqual(false);
                            }
                        });
                    }
                    finally {
                        await owner.dispose();
                    }
                });
            }
        });

        test.describe(`a response to ${name} ${framing}`, () => {
            for (const status of ["000", "0", "099", "100", "199", "600", "999", "1000", "-200", "20", "2000", "abc"]) {
                test.it(`with status ${status} does not reach the caller`, async () => {
                    const owner = foundation.createOwner();
                    try {
                        let headCount = 0;
                        const port = await startRawUpstream((socket, identifier) => {
                            headCount += 1;
                            const head =
                                `HTTP/1.1 ${status} Odd\r\nRequest-Id: ${identifier}\r\nResponse-Signature: s\r\n`;
                            socket.write(`${head}Content-Length: 4\r\n\r\ndone`);
                            setTimeout(() => socket.resetAndDestroy(), 20);
                        }, owner);
                        await withUpstreamAt(port, isDelegated, isStreamed, async relayPort => {
                            const received = await upload(relayPort, bytes, isChunked, isDelegated ? 7 : undefined);
                            earl.expect([0, 502].includes(received.status)).toEqual(true);
                            earl.expect(headCount > 0).toEqual(true);
                        });
                    }
                    finally {
                        await owner.dispose();
                    }
                });
            }
        });
    }
}
