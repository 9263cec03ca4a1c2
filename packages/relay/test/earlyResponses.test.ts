/** Upstreams that respond before they have read the whole body of a request. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";
import * as relayFixture from "./fixtures/relayFixture";

/** More than the relay holds and the sockets buffer, so that it is streamed while the response arrives. */
const upload = Buffer.alloc(12 * 1024 * 1024, "u");
const repetitions = 10;

/** Starts an upstream that responds to a head at once, and then reads on. */
const startEarlyUpstream = async (
    owner: foundation.Owner,
    respond: (identifier: string) => string,
): Promise<number> => {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        let hasResponded = false;
        socket.on("data", data => {
            if (!hasResponded) {
                hasResponded = true;
                socket.write(respond(/request-id: (\S+)/i.exec(data.toString("latin1"))?.[1] ?? ""));
            }
        });
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    owner.onCleanup(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return (server.address() as net.AddressInfo).port;
};

test.describe("a response that arrives before the body of its request was sent", () => {
    const responses: [string, number, (identifier: string) => string][] = [
        [
            "success",
            200,
            id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\ndone`,
        ],
        ["failure", 500, id => `HTTP/1.1 500 Error\r\nRequest-Id: ${id}\r\nContent-Length: 4\r\n\r\nfail`],
        [
            "refusal",
            503,
            id => `HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
        ],
        [
            "refusal without an identifier",
            502,
            () => "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        ],
    ];
    for (const [kind, status, respond] of responses) {
        test.it(`is a ${kind} that the caller gets as status ${status}`, async context => {
            const owner = foundation.createOwner();
            context.after(owner.dispose);
            const options = { behaviours: [], maxBodyBytes: 2 * upload.length, timeoutMilliseconds: 10_000 };
            await relayFixture.withRelay(options, async ({ directory, sendRequest }) => {
                const port = await startEarlyUpstream(owner, respond);
                directory.onEntry(relayFixture.createUpstream("early", port, 1), 0);
                for (let iteration = 0; iteration < repetitions; iteration += 1) {
                    const response = await sendRequest({ body: upload, deadlineMilliseconds: 10_000 });
                    earl.expect([response.status, response.isComplete]).toEqual([status, true]);
                }
            });
        });
    }
});
