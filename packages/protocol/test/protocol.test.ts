/** Frames, messages and connections, garbage and strangers included. */
import { createOwner, createSilentLogger, createTimerService, type Owner } from "@mulberryseam/foundation";
import {
    createFrameDecoder,
    createPeerClient,
    createPeerServer,
    encodeFrame,
    type Hello,
    type Message,
    parseMessage,
    protocolVersion,
} from "@mulberryseam/protocol";
import { reservePorts } from "@mulberryseam/site";
import { expect } from "earl";
import * as fastCheck from "fast-check";
import * as net from "node:net";
import { describe, it } from "node:test";

const createHello = (name: string, version = protocolVersion, environment = "production"): Hello => ({
    kind: "hello",
    version,
    environment,
    name,
    incarnation: "run-1",
});

const withOwner = async (work: (owner: Owner) => Promise<void>): Promise<void> => {
    const owner = createOwner();
    try {
        await work(owner);
    }
    finally {
        await owner.dispose();
    }
};

const startServer = async (owner: Owner, received: Message[]): Promise<number> => {
    const port = (await reservePorts(1))[0];
    await createPeerServer({
        host: "127.0.0.1",
        port,
        hello: createHello("server"),
        credentials: undefined,
        logger: createSilentLogger(),
        onMessage: (message, reply) => {
            received.push(message);
            reply({ kind: "confirmed", round: 1, knowledge: { offset: 5, lapses: [] } });
        },
    }, owner);
    return port;
};

/** Sends raw bytes and gives the messages that come back until the connection ends. */
const exchangeRaw = (port: number, bytes: Buffer): Promise<Message[]> =>
    new Promise(resolve => {
        const decoder = createFrameDecoder();
        const answers: Message[] = [];
        const socket = net.connect({ host: "127.0.0.1", port }, () => socket.write(bytes));
        socket.on("data", chunk => {
            const frames = decoder.push(chunk as Buffer);
            answers.push(...frames.ok ? frames.val as Message[] : []);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(answers));
    });

describe("frames", () => {
    it("survive any cutting of the stream", () => {
        const property = fastCheck.property(
            fastCheck.array(fastCheck.object({ maxDepth: 1 }), { maxLength: 6 }),
            fastCheck.integer({ min: 1, max: 20 }),
            (values, size) => {
                const bytes = Buffer.concat(values.map(encodeFrame));
                const decoder = createFrameDecoder();
                const decoded: unknown[] = [];
                for (let start = 0; start < bytes.length; start += size) {
                    const frames = decoder.push(bytes.subarray(start, start + size));
                    decoded.push(...frames.unwrap());
                }
                expect(decoded.length).toEqual(values.length);
            },
        );
        fastCheck.assert(property, { seed: 5, numRuns: 200 });
    });

    it("longer than the limit are refused before they are read", () => {
        const header = Buffer.alloc(4);
        header.writeUInt32BE(1000);
        expect(createFrameDecoder(999).push(header).err).toEqual(true);
    });

    it("of garbage never throw", () => {
        const property = fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), bytes => {
            const frames = createFrameDecoder(1000).push(Buffer.from(bytes));
            if (frames.ok) {
                frames.val.forEach(parseMessage);
            }
        });
        fastCheck.assert(property, { seed: 5, numRuns: 500 });
    });
});

describe("a connection between instances", () => {
    it("carries messages and answers", () =>
        withOwner(async owner => {
            const received: Message[] = [];
            const port = await startServer(owner, received);
            const answer = await new Promise<Message>(resolve => {
                const client = createPeerClient({
                    host: "127.0.0.1",
                    port,
                    hello: createHello("client"),
                    credentials: undefined,
                    timers: createTimerService(),
                    logger: createSilentLogger(),
                    onMessage: resolve,
                }, owner);
                const sending = setInterval(() => client.send({ kind: "fetchState" }), 5);
                owner.onCleanup(() => clearInterval(sending));
            });
            expect(answer).toEqual({ kind: "confirmed", round: 1, knowledge: { offset: 5, lapses: [] } });
            expect(received[0]).toEqual({ kind: "fetchState" });
        }));

    for (
        const [what, bytes, reason] of [
            ["a foreign version", encodeFrame(createHello("old", 99)), "protocol version 99, expected 1"],
            [
                "a foreign environment",
                encodeFrame(createHello("other", protocolVersion, "trial")),
                "environment trial, expected production",
            ],
            ["a message before hello", encodeFrame({ kind: "fetchState" }), "expected a hello first"],
        ] as const
    ) {
        it(`refuses ${what} and says why`, () =>
            withOwner(async owner => {
                const received: Message[] = [];
                const answers = await exchangeRaw(await startServer(owner, received), bytes);
                expect(answers[1]).toEqual({ kind: "refused", reason });
                expect(received).toEqual([]);
            }));
    }

    it("refuses garbage and closes", () =>
        withOwner(async owner => {
            const received: Message[] = [];
            const answers = await exchangeRaw(
                await startServer(owner, received),
                Buffer.from("GET / HTTP/1.1\r\n\r\n"),
            );
            expect(answers[1]?.kind).toEqual("refused");
            expect(received).toEqual([]);
        }));
});
