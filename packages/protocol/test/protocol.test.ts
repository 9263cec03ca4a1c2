/** Frames, messages and connections, including malformed input and mismatched peers. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as site from "@mulberryseam/site";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as net from "node:net";
import * as test from "node:test";

const createHello = (name: string, version = protocol.protocolVersion, environment = "production"): protocol.Hello => ({
    kind: "hello",
    version,
    environment,
    name,
    incarnation: "run-1",
});

const withOwner = async (run: (owner: foundation.Owner) => Promise<void>): Promise<void> => {
    const owner = foundation.createOwner();
    try {
        await run(owner);
    }
    finally {
        await owner.dispose();
    }
};

const startServer = async (owner: foundation.Owner, received: protocol.Message[]): Promise<number> => {
    const port = (await site.reservePorts(1))[0];
    await protocol.createPeerServer({
        host: "127.0.0.1",
        port,
        hello: createHello("server"),
        credentials: undefined,
        logger: foundation.createSilentLogger(),
        onMessage: (message, reply) => {
            received.push(message);
            reply({ kind: "confirmed", round: 1, knowledge: { offset: 5, lapses: [] } });
        },
    }, owner);
    return port;
};

/** Sends raw bytes and returns the messages received until the connection closes. */
const exchangeRawBytes = (port: number, bytes: Buffer): Promise<protocol.Message[]> =>
    new Promise(resolve => {
        const decoder = protocol.createFrameDecoder();
        const responses: protocol.Message[] = [];
        const socket = net.connect({ host: "127.0.0.1", port }, () => socket.write(bytes));
        socket.on("data", chunk => {
            const frames = decoder.push(chunk as Buffer);
            responses.push(...frames.ok ? frames.val as protocol.Message[] : []);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(responses));
    });

test.describe("a routing message", () => {
    test.it("is accepted without fields that were added later, and with fields that are not known yet", () => {
        const report = { kind: "report", samples: [], speeds: [] };
        earl.expect(protocol.parseRoutingMessage(report).unwrap()).toEqual(
            { kind: "report", samples: [], speeds: [] },
        );
        // A field name that an instance does not know yet is decoded as its number.
        const [frame] = protocol.createFrameDecoder().push(protocol.encodeFrame({ ...report, 9999: [1] })).unwrap();
        earl.expect(protocol.parseRoutingMessage(frame).ok).toEqual(true);
    });
});

test.describe("frames", () => {
    test.it("are decoded from chunks of any size", () => {
        const property = fastCheck.property(
            fastCheck.array(fastCheck.object({ maxDepth: 1 }), { maxLength: 6 }),
            fastCheck.integer({ min: 1, max: 20 }),
            (values, size) => {
                const bytes = Buffer.concat(values.map(protocol.encodeFrame));
                const decoder = protocol.createFrameDecoder();
                const decoded: unknown[] = [];
                for (let start = 0; start < bytes.length; start += size) {
                    const frames = decoder.push(bytes.subarray(start, start + size));
                    decoded.push(...frames.unwrap());
                }
                earl.expect(decoded.length).toEqual(values.length);
            },
        );
        fastCheck.assert(property, { seed: 5, numRuns: 200 });
    });

    test.it("over the size limit are rejected before their content arrives", () => {
        const header = Buffer.alloc(4);
        header.writeUInt32BE(1000);
        earl.expect(protocol.createFrameDecoder(999).push(header).err).toEqual(true);
    });

    test.it("of random bytes never make the decoder throw", () => {
        const property = fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), bytes => {
            const frames = protocol.createFrameDecoder(1000).push(Buffer.from(bytes));
            if (frames.ok) {
                frames.val.forEach(protocol.parseMessage);
            }
        });
        fastCheck.assert(property, { seed: 5, numRuns: 500 });
    });
});

test.describe("connection between instances", () => {
    test.it("delivers messages and responses", () =>
        withOwner(async owner => {
            const received: protocol.Message[] = [];
            const port = await startServer(owner, received);
            const response = await new Promise<protocol.Message>(resolve => {
                const client = protocol.createPeerClient({
                    host: "127.0.0.1",
                    port,
                    hello: createHello("client"),
                    credentials: undefined,
                    timers: foundation.createTimerService(),
                    logger: foundation.createSilentLogger(),
                    onMessage: resolve,
                }, owner);
                const sendInterval = setInterval(() => client.send({ kind: "fetchState" }), 5);
                owner.onCleanup(() => clearInterval(sendInterval));
            });
            earl.expect(response).toEqual({ kind: "confirmed", round: 1, knowledge: { offset: 5, lapses: [] } });
            earl.expect(received[0]).toEqual({ kind: "fetchState" });
        }));

    for (
        const [description, bytes, reason] of [
            [
                "another protocol version",
                protocol.encodeFrame(createHello("old", 99)),
                "protocol version 99, expected 1",
            ],
            [
                "another environment",
                protocol.encodeFrame(createHello("other", protocol.protocolVersion, "trial")),
                "environment trial, expected production",
            ],
            ["a message before the hello", protocol.encodeFrame({ kind: "fetchState" }), "expected a hello first"],
        ] as const
    ) {
        test.it(`refuses ${description} and sends the reason`, () =>
            withOwner(async owner => {
                const received: protocol.Message[] = [];
                const responses = await exchangeRawBytes(await startServer(owner, received), bytes);
                earl.expect(responses[1]).toEqual({ kind: "refused", reason });
                earl.expect(received).toEqual([]);
            }));
    }

    test.it("refuses malformed input and closes", () =>
        withOwner(async owner => {
            const received: protocol.Message[] = [];
            const responses = await exchangeRawBytes(
                await startServer(owner, received),
                Buffer.from("GET / HTTP/1.1\r\n\r\n"),
            );
            earl.expect(responses[1]?.kind).toEqual("refused");
            earl.expect(received).toEqual([]);
        }));
});

test.describe("a peer client", () => {
    test.it("does not schedule a reconnection once it is disposed", async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const timers = foundation.createTimerService();
        let scheduled = 0;
        const countingTimers: foundation.TimerService = {
            ...timers,
            onDelay: (milliseconds, callback) => {
                scheduled += 1;
                return timers.onDelay(milliseconds, callback);
            },
        };
        const port = await startServer(owner, []);
        const clientOwner = foundation.createOwner();
        protocol.createPeerClient({
            host: "127.0.0.1",
            port,
            hello: createHello("client"),
            credentials: undefined,
            timers: countingTimers,
            logger: foundation.createSilentLogger(),
            onMessage: () => undefined,
        }, clientOwner);
        await new Promise(resolve => setTimeout(resolve, 50));
        scheduled = 0;
        await clientOwner.dispose();
        await new Promise(resolve => setTimeout(resolve, 50));
        earl.expect(scheduled).toEqual(0);
    });
});
