/** The link stand-in forwards streams unchanged, applies its delay and bandwidth, and drops data while interrupted. */
import * as foundation from "@mulberryseam/foundation";
import * as standins from "@mulberryseam/standins";
import * as earl from "earl";
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as test from "node:test";
import * as timers from "node:timers/promises";

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

const withLink = async (
    options: Partial<standins.LinkOptions>,
    run: (link: standins.LinkStandIn) => Promise<void>,
): Promise<void> => {
    const owner = foundation.createOwner();
    try {
        const targetPort = await startEchoServer(owner);
        const defaults = { port: 0, targetHost: "127.0.0.1", targetPort, delayMilliseconds: 0 };
        await run(await standins.createLinkStandIn({ ...defaults, ...options }, owner));
    }
    finally {
        await owner.dispose();
    }
};

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
            await timers.setTimeout(50);
            earl.expect(received).toEqual(0);
            link.setInterrupted({ forward: false, backward: false });
            socket.write("found");
            while (received < 5) {
                await timers.setTimeout(5);
            }
            earl.expect(received).toEqual(5);
            socket.destroy();
        }));
});
