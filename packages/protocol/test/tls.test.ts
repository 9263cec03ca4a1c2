/** Mutual TLS between instances: messages from unauthenticated peers are never delivered. */
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";
import * as site from "@mulberryseam/site";
import * as earl from "earl";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as selfsigned from "selfsigned";

const createHello = (name: string): protocol.Hello => ({
    kind: "hello",
    version: 1,
    environment: "production",
    name,
    incarnation: "run-1",
});

const createCredentials = async (): Promise<protocol.PeerCredentials> => {
    const generated = await selfsigned.generate([{ name: "commonName", value: "mulberryseam" }], { keySize: 2048 });
    return { key: generated.private, certificate: generated.cert, authority: generated.cert };
};

/** Sends messages to a server that requires credentials and returns the messages that the server received. */
const sendWithCredentials = async (
    server: protocol.PeerCredentials,
    client: protocol.PeerCredentials | undefined,
): Promise<protocol.Message[]> => {
    const owner: foundation.Owner = foundation.createOwner();
    const received: protocol.Message[] = [];
    try {
        const [port] = await site.reservePorts(1);
        await protocol.createPeerServer({
            host: "127.0.0.1",
            port,
            hello: createHello("server"),
            credentials: server,
            logger: foundation.createSilentLogger(),
            onMessage: message => received.push(message),
        }, owner);
        const sender = protocol.createPeerClient({
            host: "127.0.0.1",
            port,
            hello: createHello("client"),
            credentials: client,
            timers: foundation.createTimerService(),
            logger: foundation.createSilentLogger(),
            onMessage: () => undefined,
        }, owner);
        for (let attempt = 0; attempt < 40 && received.length === 0; attempt++) {
            sender.send({ kind: "fetchState" });
            await timers.setTimeout(20);
        }
        return received;
    }
    finally {
        await owner.dispose();
    }
};

test.describe("mutual TLS", () => {
    test.it("delivers messages between peers with the same certificate authority", async () => {
        const credentials = await createCredentials();
        earl.expect((await sendWithCredentials(credentials, credentials))[0]).toEqual({ kind: "fetchState" });
    });

    test.it("rejects peers with another certificate authority or without credentials", async () => {
        const credentials = await createCredentials();
        earl.expect(await sendWithCredentials(credentials, await createCredentials())).toEqual([]);
        earl.expect(await sendWithCredentials(credentials, undefined)).toEqual([]);
    });
});
