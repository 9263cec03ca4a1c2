/** Responses that an upstream sends before it has read the whole request. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

/** More than the sockets of both sides hold, in bytes, so that the request is unfinished until the upstream reads it. */
const bodyBytes = 24 * 1024 * 1024;
const readMilliseconds = 20;

/** Starts an upstream that sends the head of its response, reads the rest of the request, and sends the body of its response. */
const startEarlyUpstream = async (head: string, body: string, owner: foundation.Owner): Promise<number> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        let receivedBytes = 0;
        let requestBytes: number | undefined;
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            if (requestBytes === undefined) {
                const text = chunk.toString("latin1");
                requestBytes = bodyBytes + text.indexOf("\r\n\r\n") + 4;
                const identifier = /^request-id: *(.*)\r$/im.exec(text)?.[1];
                socket.pause();
                socket.write(`HTTP/1.1 ${head}\r\nRequest-Id: ${identifier}\r\nContent-Length: ${body.length}\r\n\r\n`);
                setTimeout(() => socket.resume(), readMilliseconds);
            }
            receivedBytes += chunk.length;
            if (receivedBytes >= requestBytes) {
                const half = body.length / 2;
                receivedBytes = -Infinity;
                setTimeout(() => socket.write(body.slice(0, half)), readMilliseconds);
                setTimeout(() => socket.write(body.slice(half)), 3 * readMilliseconds);
            }
        });
    });
    owner.onCleanup(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    return (server.address() as net.AddressInfo).port;
};

test.describe("an upstream that responds early and then reads the rest of the request", () => {
    const success = "200 OK\r\nResponse-Signature: signature";
    const cases: [string, string, string, number][] = [
        ["a success", success, "ok", 200],
        ["a refusal", "503 Full\r\nNot-Executed: 1", "ok", 503],
        ["a success too large to be buffered, which is complete", success, "x".repeat(600_000), 200],
    ];
    for (const [name, head, text, status] of cases) {
        test.it(`does not end the process of the relay with ${name}`, async context => {
            const owner = foundation.createOwner();
            context.after(owner.dispose);
            const port = await startEarlyUpstream(head, text, owner);
            await relayFixture.withRelay({ behaviours: [], maxBodyBytes: bodyBytes }, async fixture => {
                fixture.directory.onEntry(relayFixture.createUpstream("early", port, 1), 0);
                const response = await fixture.sendRequest({ body: Buffer.alloc(bodyBytes) });
                earl.expect([response.status, response.isComplete]).toEqual([status, true]);
                earl.expect(status !== 200 || response.body.length === text.length).toEqual(true);
            });
        });
    }
});
