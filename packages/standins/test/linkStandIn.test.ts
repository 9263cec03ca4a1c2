/** The link stand-in forwards streams unchanged, applies its delay and bandwidth, and drops data while interrupted. */
import * as foundation from "@mulberryseam/foundation";
import * as standins from "@mulberryseam/standins";
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as test from "node:test";
import * as timers from "node:timers/promises";

/** Maximum wait for data, in milliseconds; it only stops a test that hangs. */
const maxWaitMilliseconds = 60_000;
const partBytes = 20_000;
const repetitions = 20;

/** Longer than a link without a delay takes to deliver or drop data that it has got, in milliseconds. */
const deliveryMilliseconds = 5;

const waitUntil = async (condition: () => boolean): Promise<void> => {
    const deadline = performance.now() + maxWaitMilliseconds;
    while (!condition() && performance.now() < deadline) {
        await timers.setTimeout(1);
    }
};

const startEchoServer = (owner: foundation.Owner): Promise<number> =>
    new Promise(resolve => {
        const server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.pipe(socket);
        });
        owner.onCleanup(() => {
            server.close();
        });
        server.listen(0, "127.0.0.1", () => resolve((server.address() as net.AddressInfo).port));
    });

const sendAndReceive = (port: number, bytes: Buffer): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        const socket = net.connect({ host: "127.0.0.1", port }, () => socket.end(bytes));
        socket.on("data", chunk => chunks.push(chunk as Buffer));
        socket.on("end", () => resolve(Buffer.concat(chunks)));
        socket.on("error", reject);
    });

/** Sends a byte and returns whether the connection is then reset; data and reset may arrive together. */
const wasReset = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const socket = net.connect({ host: "127.0.0.1", port }, () => socket.write("x"));
        socket.resume();
        socket.on("error", () => resolve(true));
        socket.on("end", () => resolve(!foundation.judgeEnd(socket).isRegular));
    });

/** Connects and returns how the connection ends: the code of its error, or "ended". */
const connectAndWait = (port: number): Promise<string> =>
    new Promise(resolve => {
        const socket = net.connect({ host: "127.0.0.1", port });
        socket.resume();
        socket.on("error", error => resolve((error as NodeJS.ErrnoException).code ?? ""));
        socket.on("close", () => resolve("ended"));
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

const withLink = (
    options: Partial<standins.LinkOptions>,
    run: (link: standins.LinkStandIn) => Promise<void>,
): Promise<void> =>
    withOwner(async owner => {
        const targetPort = await startEchoServer(owner);
        const defaults = { port: 0, targetHost: "127.0.0.1", targetPort, delayMilliseconds: 0 };
        await run(await standins.createLinkStandIn({ ...defaults, ...options }, owner));
    });

/** Runs a test with a link to a server that handles each connection. */
const withLinkTo = (
    onConnection: (socket: net.Socket) => void,
    run: (link: standins.LinkStandIn) => Promise<void>,
): Promise<void> =>
    withOwner(async owner => {
        const server = net.createServer(socket => {
            socket.on("error", () => undefined);
            onConnection(socket);
        });
        await foundation.listenOn(server, "127.0.0.1", 0);
        owner.onCleanup(() => {
            server.close();
        });
        const { port: targetPort } = server.address() as net.AddressInfo;
        const options = { port: 0, targetHost: "127.0.0.1", targetPort, delayMilliseconds: 0 };
        await run(await standins.createLinkStandIn(options, owner));
    });

test.describe("link stand-in", () => {
    test.it("forwards a stream unchanged after the delay", () =>
        withLink({ delayMilliseconds: 20 }, async link => {
            const bytes = crypto.randomBytes(200_000);
            const startedAt = performance.now();
            earl.expect((await sendAndReceive(link.port, bytes)).equals(bytes)).toEqual(true);
            earl.expect(performance.now() - startedAt >= 40).toEqual(true);
            earl.expect(link.transferredBytes()).toEqual(400_000);
        }));

    test.it("limits a stream to its bandwidth", () =>
        withLink({ bytesPerSecond: 1_000_000 }, async link => {
            const startedAt = performance.now();
            await sendAndReceive(link.port, crypto.randomBytes(200_000));
            earl.expect(performance.now() - startedAt >= 200).toEqual(true);
        }));

    test.it("drops the data sent while a single direction is interrupted", () =>
        withLink({}, async link => {
            link.setInterrupted({ forward: false, backward: true });
            let received = 0;
            const socket = net.connect({ host: "127.0.0.1", port: link.port }, () => socket.write("lost"));
            socket.on("data", chunk => {
                received += (chunk as Buffer).length;
            });
            await waitUntil(() => link.transferredBytes() === 2 * "lost".length);
            // The link has scheduled the delivery before; timers that are due earlier run earlier.
            await timers.setTimeout(deliveryMilliseconds);
            earl.expect(received).toEqual(0);
            link.setInterrupted({ forward: false, backward: false });
            socket.write("found");
            await waitUntil(() => received >= "found".length);
            earl.expect(received).toEqual("found".length);
            socket.destroy();
        }));

    test.it("resets the connection to the receiver when the sender resets its own", () =>
        withLinkTo(
            socket => socket.write("start", () => socket.resetAndDestroy()),
            async link => earl.expect(await connectAndWait(link.port)).toEqual("ECONNRESET"),
        ));

    // Guards against a link that ends a connection regularly when the reset arrives together with data.
    test.it("resets the connection to the receiver when the sender resets its own together with data", () =>
        withLinkTo(
            socket => socket.once("data", () => socket.write("x".repeat(partBytes), () => socket.resetAndDestroy())),
            async link => {
                for (let iteration = 0; iteration < repetitions; iteration += 1) {
                    earl.expect(await wasReset(link.port)).toEqual(true);
                }
            },
        ));

    test.it("refuses connections while the target runs on, and accepts them again", () =>
        withLink({}, async link => {
            const open = connectAndWait(link.port);
            await timers.setTimeout(50);
            link.setRefusal(standins.LinkRefusal.all);
            earl.expect(await open).toEqual("ECONNRESET");
            earl.expect(await connectAndWait(link.port)).toEqual("ECONNREFUSED");
            link.setRefusal(standins.LinkRefusal.none);
            await timers.setTimeout(50);
            earl.expect(await sendAndReceive(link.port, Buffer.from("a"))).toEqual(Buffer.from("a"));
        }));

    test.it("refuses every second connection", () =>
        withLink({}, async link => {
            link.setRefusal(standins.LinkRefusal.alternating);
            const attempts = [];
            for (let attempt = 0; attempt < 4; attempt += 1) {
                attempts.push(await sendAndReceive(link.port, Buffer.from("a")).then(String, () => "refused"));
            }
            earl.expect(attempts).toEqual(["a", "refused", "a", "refused"]);
        }));
});
