/** Connections between instances whose messages cannot be handled. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";

const message: protocol.RoutingMessage = { kind: "notLeader" };
const frame = protocol.encodeFrame(message);

/** Time limit of a test, in milliseconds; it only stops one that hangs. */
const maxTestMilliseconds = 60_000;

/** Connects two sockets and runs the protocol on one of them; returns the other one. */
const connect = async (
    handlers: protocol.RoutingConnectionHandlers,
    owner: foundation.Owner,
): Promise<net.Socket> => {
    const server = net.createServer(socket => protocol.createRoutingConnection(socket, handlers));
    await foundation.listenOn(server, "127.0.0.1", 0);
    owner.onCleanup(() => {
        server.close();
    });
    const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    owner.onCleanup(() => {
        socket.destroy();
    });
    return socket;
};

test.describe("a routing connection", () => {
    for (const part of ["onMessage", "onTransferred"]) {
        test.it(`whose ${part} handler throws is closed, and the process and other connections go on`, {
            timeout: maxTestMilliseconds,
        }, async context => {
            const owner = foundation.createOwner();
            context.after(owner.dispose);
            const events: foundation.EventFields[] = [];
            const failures = foundation.createFailureBoundary({
                write: (...[, fields = {}]) => events.push(fields),
                sample: () => undefined,
            });
            let messageCount = 0;
            const throwing = (): never => {
                throw new Error("thrown by the test");
            };
            const handlers: protocol.RoutingConnectionHandlers = {
                failures,
                log: { write: () => undefined, sample: () => undefined },
                onMessage: () => messageCount += 1,
                onClose: throwing,
            };
            const sound = await connect(handlers, owner);
            const failing = await connect({ ...handlers, [part]: throwing }, owner);
            const isClosed = new Promise(resolve => failing.once("close", resolve));
            failing.write(Buffer.concat([frame, frame]));
            await isClosed;
            sound.write(frame);
            while (messageCount === 0 && !context.signal.aborted) {
                await new Promise(resolve => setImmediate(resolve));
            }
            earl.expect(events[0].part).toEqual("peer message");
            earl.expect(events[0].kind).toEqual("notLeader");
            earl.expect(failures.counts().get("peer message")).toEqual(1);
        });
    }
});

test.describe("a routing connection to a peer that does not read", () => {
    test.it("is closed instead of dropping messages once too much is unsent", async () => {
        const owner = foundation.createOwner();
        const events: unknown[] = [];
        const closeReasons: unknown[] = [];
        const padding = "x".repeat(1024 * 1024);
        const server = net.createServer(socket => {
            const connection = protocol.createRoutingConnection(socket, {
                failures: foundation.createTransparentFailureBoundary(),
                log: { write: (...[event, fields]) => events.push([event, fields?.reason]), sample: () => undefined },
                onMessage: () => undefined,
                onClose: reason => closeReasons.push(reason),
            });
            for (let index = 0; index < 64; index += 1) {
                connection.send({ kind: "routing", service: `${index} ${padding}`, owners: [], changes: [] });
            }
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
        owner.onCleanup(() => {
            server.close();
            socket.destroy();
        });
        try {
            const isClosed = new Promise(resolve => socket.once("close", resolve));
            socket.on("error", () => undefined);
            await new Promise(resolve => socket.once("connect", resolve));
            await new Promise(resolve => setTimeout(resolve, 200));
            const decoder = protocol.createFrameDecoder();
            const received: number[] = [];
            socket.on("data", bytes => {
                const values = decoder.push(bytes).unwrap() as { service: string; }[];
                received.push(...values.map(({ service }) => Number(service.split(" ")[0])));
            });
            await isClosed;
            earl.expect(events).toEqual([["peer-disconnected", "too many unsent bytes"]]);
            earl.expect(closeReasons).toEqual(["too many unsent bytes"]);
            earl.expect(received).toEqual([...received.keys()]);
        }
        finally {
            await owner.dispose();
        }
    });
});

test.describe("a routing connection that sends state to a peer that does not read", () => {
    const padding = "x".repeat(7 * 1024 * 1024);
    const createMessage = (service: string): protocol.RoutingMessage => ({
        kind: "routing",
        service,
        owners: [],
        changes: [],
    });
    /** Returns the events of a connection after it was closed, and the reason. */
    const run = async (
        send: (connection: protocol.RoutingConnection) => void,
        owner: foundation.Owner,
    ): Promise<{ events: unknown[]; reason: unknown; }> => {
        const events: unknown[] = [];
        let onClosed: (reason: string | undefined) => void = () => undefined;
        const closed = new Promise<string | undefined>(resolve => {
            onClosed = resolve;
        });
        const server = net.createServer(socket =>
            send(protocol.createRoutingConnection(socket, {
                failures: foundation.createTransparentFailureBoundary(),
                log: { write: (...[event, fields]) => events.push([event, fields?.reason]), sample: () => undefined },
                onMessage: () => undefined,
                onClose: reason => onClosed(reason),
            }))
        );
        await foundation.listenOn(server, "127.0.0.1", 0);
        const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        owner.onCleanup(() => {
            server.close();
            socket.destroy();
        });
        return { reason: await closed, events };
    };

    test.it("is closed once too much is unsent besides the state", { timeout: maxTestMilliseconds }, async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const { events } = await run(connection => {
            connection.sendState(createMessage(padding));
            for (let index = 0; index < 16; index += 1) {
                connection.send(createMessage("x".repeat(1024 * 1024)));
            }
        }, owner);
        earl.expect(events).toEqual([["peer-disconnected", "too many unsent bytes"]]);
    });

    test.it(
        "is closed by the idle timeout, although more is queued",
        { timeout: maxTestMilliseconds },
        async context => {
            const owner = foundation.createOwner();
            context.after(owner.dispose);
            const timers = foundation.createTimerService();
            const closed = await run(connection => {
                connection.sendState(createMessage(padding));
                const queued = timers.onInterval(100, () => connection.send(message));
                owner.onCleanup(() => queued.cancel());
            }, owner);
            earl.expect(closed).toEqual({ events: [], reason: undefined });
        },
    );

    test.it("is closed instead of sending a frame that the peer refuses", {
        timeout: maxTestMilliseconds,
    }, async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        const { events, reason } = await run(connection => connection.send(createMessage(padding + padding)), owner);
        earl.expect(events).toEqual([["peer-disconnected", reason]]);
        earl.expect(reason).toEqual(earl.expect.regex(/^a routing message of \d+ bytes$/));
    });
});

test.describe("a routing message with numbers out of range", () => {
    const delegate = { identifier: "a", host: "127.0.0.1", port: 7201 };
    const report = { kind: "report", samples: [], speeds: [] };
    const routing = { kind: "routing", service: "records", owners: [], changes: [] };
    const change = { first: 0, last: 65_535, token: 1, owner: -1 };
    const isAccepted = (message: object): boolean => protocol.parseRoutingMessage(message).ok;

    test.it("is rejected", () => {
        const sound: object[] = [
            { kind: "delegates", members: [delegate] },
            { ...report, samples: [{ service: "records", keys: [0, 65_535], weight: 2 }], speeds: [["a", 12]] },
            { ...routing, changes: [change] },
            { ...report, leaving: [{ identifier: "a", startedAt: Date.now(), age: 12 }] },
        ];
        const odd: object[] = [
            ...[0, -1, 80_800, 1.5, NaN].map(port => ({ kind: "delegates", members: [{ ...delegate, port }] })),
            ...["", "999.0.0.1", "a.example"].map(host => ({ kind: "delegates", members: [{ ...delegate, host }] })),
            ...[-1, 65_536, NaN].map(key => ({ ...report, samples: [{ service: "records", keys: [key], weight: 1 }] })),
            ...[-1, NaN, Infinity, 1e300].map(weight => ({ ...report, samples: [{ service: "a", keys: [], weight }] })),
            ...[0, -1, NaN, Infinity, 1e300].map(speed => ({ ...report, speeds: [["a", speed]] })),
            ...[-1, 65_536, 1e300].map(first => ({ ...routing, changes: [{ ...change, first }] })),
            ...[-1, 65_536, 1e300].map(last => ({ ...routing, changes: [{ ...change, last }] })),
        ];
        earl.expect(sound.filter(message => !isAccepted(message))).toEqual([]);
        earl.expect(odd.filter(isAccepted)).toEqual([]);
    });

    // Guards against a leader that runs out of memory as many peers send the start of a large message.
    test.it("of a leader is closed by a message that is larger than any of a follower", {
        timeout: maxTestMilliseconds,
    }, async context => {
        const owner = foundation.createOwner();
        context.after(owner.dispose);
        let reason: string | undefined;
        const socket = await connect({
            failures: foundation.createTransparentFailureBoundary(),
            log: { write: () => undefined, sample: () => undefined },
            maxFrameBytes: protocol.maxFollowerFrameBytes,
            onMessage: () => undefined,
            onClose: closeReason => {
                reason = closeReason;
            },
        }, owner);
        const isClosed = new Promise(resolve => socket.once("close", resolve));
        const start = Buffer.alloc(8);
        start.writeUInt32BE(protocol.maxFollowerFrameBytes + 1, 0);
        socket.write(start);
        await isClosed;
        earl.expect(reason).toEqual(`a frame of ${protocol.maxFollowerFrameBytes + 1} bytes`);
    });
});
